//===- LibServe/ServerComponents.h - Components for requests --------------===//
///
/// \file
/// References to the components of the process that serve requests. The
/// components outlive every request.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SERVERCOMPONENTS_H
#define LIBSERVE_SERVERCOMPONENTS_H

#include <LibHTTP/HttpClient.h>
#include <LibServe/ControlClient.h>
#include <LibServe/FleetManager.h>
#include <LibServe/IntentManager.h>
#include <LibServe/PromptExchange.h>
#include <LibServe/RouterTable.h>
#include <LibServe/SpilloverDomains.h>
#include <LibTelemetry/LimitReports.h>
#include <LibTelemetry/Metrics.h>

namespace carobhinge {

struct ServerComponents {
  const Settings &LocalSettings;
  Peers &Links;
  ControlClient &Control;
  IntentManager &Intents;
  FleetManager &Fleet;
  RouterTable &Routers;
  SpilloverDomains &RemoteDomains;
  Metrics &ProcessMetrics;
  SharedByteBudget &Budget;
  LimitLog &Limits;
  HttpClient &Endpoints;
  PromptExchange &Prompts;
  /// Incarnation of this process. Increased if the ledger has a newer one.
  std::atomic<Incarnation> &LocalIncarnationNumber;
  /// True if the ledger has retired the earlier incarnations of this host. No
  /// non-idempotent call is started before that.
  std::atomic<bool> &IncarnationRegistered;
  /// Last attempt number given to a non-idempotent call.
  std::atomic<std::uint64_t> &LastAttempt;
  /// Number of tasks of non-idempotent calls still running, including those
  /// that continue after the answer, such as recordings.
  std::atomic<std::size_t> &BackgroundTasks;
};

} // namespace carobhinge

#endif // LIBSERVE_SERVERCOMPONENTS_H
