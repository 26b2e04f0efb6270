//===- LibServe/CallerService.h - Serves callers' requests ----------------===//
///
/// \file
/// The one entrance for requests, whether they come from a caller or from an
/// entry host of another failure domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CALLERSERVICE_H
#define LIBSERVE_CALLERSERVICE_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/CallContext.h>
#include <LibServe/ServeParts.h>

namespace carobhinge {

class CallerService {
public:
  explicit CallerService(ServeParts &Parts) : Parts(Parts) {}

  boost::asio::awaitable<void> handle(HttpExchange &Exchange, bool Forwarded);

private:
  boost::asio::awaitable<void> serveOnce(HttpExchange &Exchange,
                                         CallContext Call);
  boost::asio::awaitable<void> handOver(HttpExchange &Exchange,
                                        const CallContext &Call,
                                        FailureDomainName Domain);
  boost::asio::awaitable<void> refuse(HttpExchange &Exchange,
                                      const CallContext &Call, Problem Why);
  std::string freshRequestId();

  ServeParts &Parts;
  std::atomic<std::uint64_t> LastRequest = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_CALLERSERVICE_H
