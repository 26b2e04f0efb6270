//===- Tests/LibHTTP/TestBrokenAnswers.cpp - Answers that are none --------===//
///
/// \file
/// Guards against bytes of a peer in trouble that are read as an answer, and
/// against calls that wait for more of them. The peer is a raw socket.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpClient.h>
#include <LibStandIn/BrokenAnswer.h>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace carobhinge;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::seconds;

namespace {

/// A call that waits for more of a broken answer ends by this timeout.
constexpr auto CallTimeout = seconds(30);
/// A call that ends at once has ended by then, however slow the machine is.
constexpr auto AtOnce = seconds(10);
const std::string SoundAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// An endpoint that answers one request with fixed bytes.
class RawEndpoint {
public:
  RawEndpoint(asio::io_context &Context, std::string Answer, bool IsByteByByte,
              bool Closes)
      : Acceptor(Context, parseAddress("127.0.0.1:0")), Socket(Context),
        Answer(std::move(Answer)), PieceBytes(IsByteByByte ? 1 : MaxBytes),
        Closes(Closes) {
    this->Acceptor.async_accept(this->Socket, [this](auto) {
      this->Socket.set_option(tcp::no_delay(true));
      this->Socket.async_read_some(asio::buffer(this->Request),
                                   [this](auto, auto) { this->write(0); });
    });
  }
  std::string address() {
    return formatAddress(this->Acceptor.local_endpoint());
  }

private:
  static constexpr std::size_t MaxBytes = 64 * 1024;

  void write(std::size_t At) {
    if (At >= this->Answer.size())
      return this->end();
    std::size_t Size = std::min(this->PieceBytes, this->Answer.size() - At);
    asio::async_write(this->Socket, asio::buffer(&this->Answer[At], Size),
                      [this, At](auto Error, std::size_t Count) {
                        if (!Error)
                          this->write(At + Count);
                      });
  }
  void end() {
    boost::system::error_code Ignored;
    if (this->Closes)
      this->Socket.close(Ignored);
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  const std::string Answer;
  const std::size_t PieceBytes;
  const bool Closes;
  std::array<char, 4096> Request{};
};

/// Counts what a call passes on.
class CountingSink : public HttpResponseSink {
public:
  asio::awaitable<void> head(const HttpResponseHead &) override {
    ++this->Heads;
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    this->Bytes += Data.size();
    co_return;
  }
  unsigned Heads = 0;
  std::size_t Bytes = 0;
};

struct CallResult {
  HttpCallOutcome Outcome = HttpCallOutcome::NotWritten;
  Duration Length{};
  unsigned Heads = 0;
  std::size_t Bytes = 0;
  /// Empty if there is none.
  std::string_view Fault = {};
};

CallResult callOnce(const std::string &Answer, bool IsByteByByte, bool Closes) {
  asio::io_context Context;
  RawEndpoint Endpoint(Context, Answer, IsByteByByte, Closes);
  HttpClient Client(Context.get_executor(), {.SingleThread = true});
  HttpCallOptions Options{.HeadTimeout = CallTimeout,
                          .ChunkTimeout = CallTimeout,
                          .CompleteOnClose = true};
  CountingSink Sink;
  HttpCallControl Control;
  CallResult Result;
  TimePoint Begin = monotonicNow();
  bool HasEnded = false;
  asio::co_spawn(Context,
                 Client.perform(Endpoint.address(),
                                {.Method = "GET", .Target = "/"}, Options, Sink,
                                Control),
                 [&](const std::exception_ptr &, HttpCallOutcome Outcome) {
                   Result.Outcome = Outcome;
                   HasEnded = true;
                 });
  while (!HasEnded)
    Context.run_one();
  Result.Length = monotonicNow() - Begin;
  Result.Heads = Sink.Heads;
  Result.Bytes = Sink.Bytes;
  if (Control.fault())
    Result.Fault = messageFaultName(Control.fault()->Kind);
  return Result;
}

/// Checks that \p Answer ends its call at once and that nothing of it is passed
/// on, whole or byte by byte, whatever the endpoint does afterwards.
void expectRejected(std::string_view Name, const std::string &Answer) {
  for (bool IsByteByByte : {false, true})
    for (auto After : {AfterBrokenAnswer::Close, AfterBrokenAnswer::Wait,
                       AfterBrokenAnswer::Answer}) {
      SCOPED_TRACE(std::string(Name) + (IsByteByByte ? ", byte by byte" : "") +
                   ", then " + std::to_string(static_cast<int>(After)));
      std::string Bytes =
          Answer + (After == AfterBrokenAnswer::Answer ? SoundAnswer : "");
      CallResult Result =
          callOnce(Bytes, IsByteByByte, After == AfterBrokenAnswer::Close);
      EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete);
      EXPECT_LT(Result.Length, AtOnce);
      EXPECT_EQ(Result.Heads, 0U);
      EXPECT_EQ(Result.Bytes, 0U);
      EXPECT_NE(Result.Fault, "");
    }
}

} // namespace

// Guards against a head that HTTP does not allow that is passed on, that is
// taken for an interim one, or whose body is read by another rule than its
// sender's.
TEST(BrokenAnswers, EndTheCallAndPassNothingOn) {
  for (const BrokenAnswer &Form : brokenAnswers())
    expectRejected(Form.Name, Form.makeFrom(SoundAnswer));
}

// Guards against fields after the body that end a call otherwise than those of
// its head: a body has been passed on by then, but is not a whole one.
TEST(BrokenAnswers, BrokenFieldsAfterTheBodyEndTheCall) {
  for (std::string_view Line :
       {"Bad Name: x", "Bad\tName: x", "Bad\x01Name: x", "Bad(Name: x",
        "Name : x", "Name\t: x", ": x", "Name"})
    for (bool IsByteByByte : {false, true}) {
      std::string Answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n5\r\nsound\r\n0\r\n" +
                           std::string(Line) + "\r\n\r\n";
      CallResult Result = callOnce(Answer, IsByteByByte, false);
      EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete) << Line;
      EXPECT_LT(Result.Length, AtOnce) << Line;
      EXPECT_EQ(Result.Fault, "syntax") << Line;
    }
}

// Guards against an operator who is not told why an answer was none, and
// against a lost connection that is taken for a broken answer.
TEST(BrokenAnswers, AreToldFromLostConnections) {
  const struct {
    std::string_view Answer;
    std::string_view Fault;
  } Cases[] = {
      {"HTTP/1.1 000 OK\r\n\r\n", "status"},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "upgrade"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "transfer-coding"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       "unknown-coding"},
      {"HTTP/1.1 204 OK\r\nContent-Length: 5\r\n\r\n", "content-length"},
      {"no answer in this protocol\r\n\r\n", "syntax"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n",
       "syntax"},
      {"", ""},
      {"HTTP/1.1 2", ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsou", ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsou", ""},
  };
  for (const auto &Each : Cases) {
    CallResult Result = callOnce(std::string(Each.Answer), false, true);
    EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete) << Each.Answer;
    EXPECT_EQ(Result.Fault, Each.Fault) << Each.Answer;
  }
}

// Guards against a rule that rejects what HTTP allows.
TEST(BrokenAnswers, SoundAnswersArePassedOn) {
  const std::string Chunks = "5\r\nsound\r\n0\r\n\r\n";
  for (const std::string &Answer :
       {SoundAnswer, "HTTP/1.1 100 Continue\r\n\r\n" + SoundAnswer,
        "HTTP/1.1 102 Processing\r\nName: x\r\n\r\n"
        "HTTP/1.1 199 Other\r\n\r\n" +
            SoundAnswer,
        std::string("HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nsound"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks,
        "HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked \r\n\r\n" + Chunks,
        std::string("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nsound"),
        std::string("HTTP/1.1 200 OK\r\n\r\nsound")})
    for (bool IsByteByByte : {false, true}) {
      SCOPED_TRACE(Answer);
      CallResult Result = callOnce(Answer, IsByteByByte, true);
      EXPECT_EQ(Result.Outcome, HttpCallOutcome::Complete);
      EXPECT_EQ(Result.Heads, 1U);
      EXPECT_EQ(Result.Bytes, 5U);
    }
  for (const std::string Answer :
       {"HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"}) {
    CallResult Result = callOnce(Answer, false, false);
    EXPECT_EQ(Result.Outcome, HttpCallOutcome::Complete) << Answer;
    EXPECT_EQ(Result.Bytes, 0U) << Answer;
  }
}
