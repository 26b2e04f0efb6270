//===- Fuzz/FuzzHttpRequests.cpp - Fuzz target for requests in pieces -----===//
///
/// \file
/// Lets a caller on loopback write any bytes, in pieces, to an HttpServer.
/// Checks that the connection ends with its caller, that the allocated bytes
/// stay bounded after each piece, that the handler gets the requests that the
/// bytes hold when read at once, and nothing else, and that the budget of bytes
/// is given back.
///
//===----------------------------------------------------------------------===//

#include "HttpPieces.h"

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpServer.h>
#include <boost/beast/http.hpp>

using namespace carobhinge;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr std::size_t MaxHeadBytes = 8 * 1024;
static constexpr std::size_t MaxBodyBytes = 16 * 1024;
/// A caller whose requests are handled stops here, for the sake of time.
static constexpr std::size_t MaxHandledRequests = 32;
/// The head as bytes and as fields of four bytes each with the strings and
/// nodes that hold them, and the body twice while it grows.
static constexpr std::size_t MaxAllocatedBytes = 768 * 1024;

namespace {

struct ArrivedRequest {
  std::string Method;
  std::string Target;
  std::string Body;
  bool operator==(const ArrivedRequest &) const = default;
};

/// A server that keeps what its handler gets. Each input has its own, so that
/// nothing is kept between inputs.
class RecordingServer {
public:
  RecordingServer()
      : Server(
            this->Context.get_executor(),
            {.Listen = "127.0.0.1:0",
             .HeaderBytes = MaxHeadBytes,
             .BodyBytes = MaxBodyBytes,
             .Budget = &this->Budget},
            [this](HttpExchange &Exchange) { return this->handle(Exchange); }) {
    this->Server.start();
  }

  asio::io_context Context{1};
  SharedByteBudget Budget{1024 * 1024};
  std::vector<ArrivedRequest> Arrived;
  HttpServer Server;

private:
  asio::awaitable<void> handle(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    this->Arrived.push_back({.Method = Request.Method,
                             .Target = Request.Target,
                             .Body = Request.Body});
    if (Request.Target.ends_with('s')) {
      HttpResponseHead Head;
      co_await Exchange.startStream(std::move(Head));
      co_await Exchange.writeChunk("data");
      co_await Exchange.finishStream();
      co_return;
    }
    HttpResponse Response{.Body = "{}"};
    co_await Exchange.respond(std::move(Response));
  }
};

} // namespace

/// Returns whether the length of a request may be read in several ways, by what
/// RFC 9112, section 6, says, without the code under test. Fields after the
/// body are among those of \p Request, but none of them is a coding.
static bool isAmbiguous(const http::request<http::string_body> &Request) {
  auto Codings = Request.equal_range(http::field::transfer_encoding);
  if (Codings.first == Codings.second)
    return false;
  return Request.version() < 11 || std::next(Codings.first) != Codings.second ||
         !boost::beast::iequals(Codings.first->value(), "chunked");
}

/// Reads all that was sent at once.
static std::vector<ArrivedRequest> readAtOnce(std::string_view Bytes) {
  std::vector<ArrivedRequest> Result;
  while (!Bytes.empty()) {
    http::request_parser<http::string_body> Parser;
    Parser.eager(true);
    Parser.header_limit(UINT32_MAX);
    // A body of known length is reserved at once.
    Parser.body_limit(2 * HttpPieces::MaxBytes);
    boost::beast::error_code Error;
    while (!Error && !Parser.is_done() && !Bytes.empty()) {
      std::size_t Used =
          Parser.put(asio::buffer(Bytes.data(), Bytes.size()), Error);
      Bytes.remove_prefix(Used);
    }
    if (!Parser.is_done() || isAmbiguous(Parser.get()))
      break;
    Result.push_back({.Method = std::string(Parser.get().method_string()),
                      .Target = std::string(Parser.get().target()),
                      .Body = Parser.get().body()});
    if (!Parser.keep_alive())
      break;
  }
  return Result;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  RecordingServer Recorder;
  HttpPieces Pieces(Data, Size);
  tcp::socket Caller(Recorder.Context);
  Caller.connect(parseAddress(Recorder.Server.address()));
  Caller.non_blocking(true);
  runUntil(Recorder.Context,
           [&Recorder] { return Recorder.Server.openConnections() == 1; });

  std::string Sent;
  Sent.reserve(HttpPieces::MaxBytes + Size);
  std::string Discarded(16 * 1024, '\0');
  const std::size_t Before = allocatedBytes();
  boost::system::error_code Error;
  for (std::string Piece = Pieces.next();
       !Piece.empty() && !Error && Recorder.Arrived.size() < MaxHandledRequests;
       Piece = Pieces.next()) {
    std::string_view Unsent = Piece;
    TimePoint Limit = monotonicNow() + std::chrono::seconds(5);
    while (!Unsent.empty()) {
      std::size_t Count =
          Caller.write_some(asio::buffer(Unsent.data(), Unsent.size()), Error);
      Sent.append(Unsent.substr(0, Count));
      Unsent.remove_prefix(Count);
      runReady(Recorder.Context);
      boost::system::error_code Ignored;
      Caller.read_some(asio::buffer(Discarded), Ignored);
      if (Error && Error != asio::error::would_block)
        break;
      require(monotonicNow() < Limit);
      Error.clear();
    }
    // The requests that arrive in full are kept by this target, not by the
    // server.
    std::size_t Recorded = 0;
    for (const ArrivedRequest &Each : Recorder.Arrived)
      Recorded += Each.Method.capacity() + Each.Target.capacity() +
                  Each.Body.capacity() + 2 * sizeof(ArrivedRequest);
    require(allocatedBytes() < Before + MaxAllocatedBytes + 2 * Recorded);
  }
  boost::system::error_code Ignored;
  Caller.shutdown(tcp::socket::shutdown_send, Ignored);
  runUntil(Recorder.Context, [&] {
    boost::system::error_code ReadError;
    Caller.read_some(asio::buffer(Discarded), ReadError);
    return Recorder.Server.openConnections() == 0;
  });
  require(Recorder.Budget.heldBytes() == 0);
  Recorder.Server.stop();
  runReady(Recorder.Context);
  std::vector<ArrivedRequest> Whole = readAtOnce(Sent);
  require(Recorder.Arrived.size() <= Whole.size());
  require(std::equal(Recorder.Arrived.begin(), Recorder.Arrived.end(),
                     Whole.begin()));
  return 0;
}
