//===- Fuzz/FuzzHttpAnswers.cpp - Fuzz target for answers in pieces -------===//
///
/// \file
/// Lets a peer on loopback write any bytes, in pieces, to a call of HttpClient.
/// Checks that the call ends with the connection, that the allocated bytes stay
/// bounded after each piece, that the call reports a whole answer if and only
/// if the bytes read at once hold that answer, and that no head outside the
/// rule of messages is passed on.
///
//===----------------------------------------------------------------------===//

#include "HttpPieces.h"

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpClient.h>
#include <boost/beast/http.hpp>
#include <optional>

using namespace carobhinge;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr std::size_t MaxBodyBytes = 16 * 1024;
/// A head of 32 KiB, as bytes and as fields of four bytes each with the
/// strings and nodes that hold them, and the body twice while it grows.
static constexpr std::size_t MaxAllocatedBytes = 1792 * 1024;

static asio::io_context &context() {
  static asio::io_context Context(1);
  return Context;
}

/// Answers to other calls bear the field "Of".
static ResponseOwner findOwner(std::string_view Of) {
  if (Of == "other")
    return ResponseOwner::AnotherCall;
  return Of == "?" ? ResponseOwner::Unknown : ResponseOwner::ThisCall;
}

namespace {
struct WholeAnswer {
  unsigned Status = 0;
  std::string Body;
};
} // namespace

/// Returns whether a head is none, by what RFC 9110, section 15, and RFC 9112,
/// section 6, say of it, without the code under test.
static bool isBroken(unsigned Version, const HttpResponseHead &Head) {
  bool HasCoding = Head.Headers.count("Transfer-Encoding") > 0;
  bool IsBodiless = Head.Status < 200 || Head.Status == 204;
  bool HasLength = false;
  for (const HttpHeader &Field : Head.Headers.fields())
    HasLength = HasLength || (equalIgnoringCase(Field.Name, "Content-Length") &&
                              Field.Value != "0");
  if (Head.Status < 100 || Head.Status > 599 || Head.Status == 101)
    return true;
  if (IsBodiless && (HasCoding || HasLength))
    return true;
  return HasCoding &&
         (Version < 11 || Head.Headers.count("Transfer-Encoding") > 1 ||
          !equalIgnoringCase(Head.Headers.value("Transfer-Encoding"),
                             "chunked"));
}

/// Reads all that was sent at once.
static std::optional<WholeAnswer> readAtOnce(std::string_view Bytes,
                                             bool CompleteOnClose) {
  for (;;) {
    http::response_parser<http::string_body> Parser;
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
    if (Error && Error != http::error::need_more)
      return std::nullopt;
    if (!Parser.is_header_done())
      return std::nullopt;
    HttpResponseHead Head{.Status = Parser.get().result_int()};
    for (const auto &Field : Parser.get())
      Head.Headers.add(Field.name_string(), Field.value());
    if (isBroken(Parser.get().version(), Head))
      return std::nullopt;
    bool IsInterim = Parser.get().result_int() < 200;
    ResponseOwner Owner = ResponseOwner::ThisCall;
    if (!IsInterim)
      Owner = findOwner(Parser.get()["Of"]);
    bool IsOwn = !IsInterim && Owner == ResponseOwner::ThisCall;
    if (Owner == ResponseOwner::Unknown)
      return std::nullopt;
    if (!Parser.is_done()) {
      if (!IsOwn || !Parser.need_eof() || !CompleteOnClose)
        return std::nullopt;
    } else if (!IsOwn) {
      continue;
    }
    if (Parser.need_eof() && !CompleteOnClose)
      return std::nullopt;
    return WholeAnswer{.Status = Parser.get().result_int(),
                       .Body = Parser.get().body()};
  }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  static tcp::acceptor Acceptor(context(), parseAddress("127.0.0.1:0"));
  static const std::string Address = formatAddress(Acceptor.local_endpoint());
  bool CompleteOnClose = (Data[Size - 1] & 1) != 0;
  HttpPieces Pieces(Data, Size);
  HttpClient Client(context().get_executor(), {.SingleThread = true});
  std::optional<HttpFetchResult> Result;
  auto FindOwner = [](const HttpResponseHead &Head, const ResponseContext &) {
    return findOwner(Head.Headers.value("Of"));
  };
  HttpCallOptions Options{.FreshConnection = true,
                          .FindOwner = FindOwner,
                          .CompleteOnClose = CompleteOnClose};
  asio::co_spawn(
      context(),
      Client.fetch(Address, {.Method = "POST", .Target = "/", .Body = "{}"},
                   std::move(Options), MaxBodyBytes),
      [&Result](const std::exception_ptr &Cause, HttpFetchResult Ended) {
        require(!Cause);
        Result = std::move(Ended);
      });
  tcp::socket Peer(context());
  Acceptor.async_accept(
      Peer, [](const boost::system::error_code &Error) { require(!Error); });
  runUntil(context(),
           [&Peer] { return Peer.is_open() && Peer.available() > 0; });
  std::string Received(1024, '\0');
  Peer.read_some(asio::buffer(Received));
  Peer.non_blocking(true);

  std::string Sent;
  Sent.reserve(HttpPieces::MaxBytes + Size);
  const std::size_t Before = allocatedBytes();
  for (std::string Piece = Pieces.next(); !Piece.empty() && !Result;
       Piece = Pieces.next()) {
    boost::system::error_code Error;
    std::string_view Unsent = Piece;
    while (!Unsent.empty() && !Result &&
           (!Error || Error == asio::error::would_block)) {
      std::size_t Count =
          Peer.write_some(asio::buffer(Unsent.data(), Unsent.size()), Error);
      Sent.append(Unsent.substr(0, Count));
      Unsent.remove_prefix(Count);
      runReady(context());
    }
    require(allocatedBytes() < Before + MaxAllocatedBytes);
  }
  boost::system::error_code Ignored;
  Peer.shutdown(tcp::socket::shutdown_send, Ignored);
  runUntil(context(), [&Result] { return Result.has_value(); });
  // fetch() keeps the newest head that was passed on.
  require(!isBroken(11, Result->Head));
  require(!Result->Fault || Result->Outcome == HttpCallOutcome::Incomplete);
  std::optional<WholeAnswer> Whole = readAtOnce(Sent, CompleteOnClose);
  if (Result->Limit != HttpCallLimit::None) {
    require(Result->Outcome == HttpCallOutcome::Incomplete);
    return 0;
  }
  require((Result->Outcome == HttpCallOutcome::Complete) == Whole.has_value());
  require(!Whole || (Whole->Status == Result->Head.Status &&
                     Whole->Body == Result->Body));
  return 0;
}
