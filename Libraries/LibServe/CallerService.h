//===- LibServe/CallerService.h - Serves callers' requests ----------------===//
///
/// \file
/// The entry point for requests, both from callers and from entry hosts of
/// other failure domains.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CALLERSERVICE_H
#define LIBSERVE_CALLERSERVICE_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/CallContext.h>
#include <LibServe/ServerComponents.h>

namespace carobhinge {

class CallerService {
public:
  explicit CallerService(ServerComponents &Components)
      : Components(Components) {}

  boost::asio::awaitable<void> handle(HttpExchange &Exchange, bool Forwarded);

private:
  boost::asio::awaitable<void> serveNonIdempotent(HttpExchange &Exchange,
                                                  CallContext Call);
  boost::asio::awaitable<void> forwardToDomain(HttpExchange &Exchange,
                                               const CallContext &Call,
                                               FailureDomainName Domain);
  boost::asio::awaitable<void> refuse(HttpExchange &Exchange,
                                      const CallContext &Call, Problem Refusal);
  /// Returns why \p Call must not be sent to an engine now, if engines crashed
  /// on such calls.
  std::optional<Problem> refusalAfterCrashes(const CallContext &Call);
  std::string newRequestId();

  ServerComponents &Components;
  std::atomic<std::uint64_t> LastRequest = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_CALLERSERVICE_H
