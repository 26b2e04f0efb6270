//===- LibServe/Forwarding.h - Forwards requests --------------------------===//
///
/// \file
/// Sends and receives forwarded requests. The sender relays the answer to the
/// caller part by part; the receiver passes the request to the code that serves
/// callers.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_FORWARDING_H
#define LIBSERVE_FORWARDING_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/SpilloverDomains.h>
#include <LibWire/WireServer.h>

namespace carobhinge {

enum class ForwardResult {
  /// The caller received the complete answer.
  Complete,
  /// The request was not sent to the other host.
  NotSent,
  /// The other host may have run the request; nothing was sent to the caller.
  Lost,
  /// The answer broke off after its first part went to the caller.
  BrokenOff,
};

/// Forwards the request of \p Exchange to the entry host \p To. An answer that
/// isn't streamed counts in \p Budget as \p Work; one that is too long, or is
/// given up, is lost.
boost::asio::awaitable<ForwardResult>
forwardRequest(HttpExchange &Exchange, Peers &Links, HostName To,
               TimePoint Deadline, std::string RequestIdText,
               const SharedByteBudget &Budget, HeldWork Work);

/// Returns a handler for "serve.forward" that passes the request to \p Handler.
WireHandler forwardHandler(HttpHandler Handler);

} // namespace carobhinge

#endif // LIBSERVE_FORWARDING_H
