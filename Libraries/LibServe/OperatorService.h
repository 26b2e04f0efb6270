//===- LibServe/OperatorService.h - Answers operators ---------------------===//
///
/// \file
/// Health, readiness, metrics and status of this host; reading and changing the
/// intent; holding this failure domain; and changes of voters and hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_OPERATORSERVICE_H
#define LIBSERVE_OPERATORSERVICE_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/ServerComponents.h>

namespace carobhinge {

class OperatorService {
public:
  /// \p Local is null on a host without the control role. \p Stopping is set
  /// while the process shuts down.
  OperatorService(ServerComponents &Components, ControlHost *Local,
                  const std::atomic<bool> &Stopping)
      : Components(Components), Local(Local), Stopping(Stopping) {}

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);

private:
  HttpResponse ready() const;
  HttpResponse metrics() const;
  HttpResponse status() const;
  HttpResponse hold(const HttpRequest &Request);
  HttpResponse currentIntent() const;
  HttpResponse refusedPrompts() const;
  /// Ends the refusal of the parts in the path, "HEX" or "HEX+HEX".
  HttpResponse liftRefusal(std::string_view Parts);
  boost::asio::awaitable<HttpResponse> history();
  boost::asio::awaitable<HttpResponse> apply(const HttpRequest &Request);
  boost::asio::awaitable<HttpResponse> changeVoters(const HttpRequest &Request);
  boost::asio::awaitable<HttpResponse> retireHost(const HttpRequest &Request);

  ServerComponents &Components;
  ControlHost *Local;
  const std::atomic<bool> &Stopping;
};

} // namespace carobhinge

#endif // LIBSERVE_OPERATORSERVICE_H
