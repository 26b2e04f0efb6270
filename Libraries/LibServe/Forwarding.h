//===- LibServe/Forwarding.h - Requests handed to another domain ----------===//
///
/// \file
/// The two ends of a forwarded request. The sending end relays the answer to
/// the caller part by part; the receiving end presents the request to the same
/// code that serves callers.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_FORWARDING_H
#define LIBSERVE_FORWARDING_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/Neighbours.h>
#include <LibWire/WireServer.h>

namespace carobhinge {

enum class ForwardEnd {
  /// The caller has the whole answer.
  Complete,
  /// The other host never saw the request.
  NotSent,
  /// The other host may have run it; the caller was given nothing.
  Lost,
  /// The answer broke off after its first part went to the caller.
  BrokenOff,
};

/// Hands the request of \p Exchange to an entry host of \p Domain.
boost::asio::awaitable<ForwardEnd> forwardRequest(HttpExchange &Exchange,
                                                  Peers &Links, HostName To,
                                                  TimePoint Deadline,
                                                  std::string RequestText);

/// A handler for "serve.forward" that gives the request to \p Handler.
WireHandler forwardHandler(HttpHandler Handler);

} // namespace carobhinge

#endif // LIBSERVE_FORWARDING_H
