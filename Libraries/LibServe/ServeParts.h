//===- LibServe/ServeParts.h - What the serving of a request needs --------===//
///
/// \file
/// References to the parts of the process that requests work with. The parts
/// outlive every request.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SERVEPARTS_H
#define LIBSERVE_SERVEPARTS_H

#include <LibHTTP/HttpClient.h>
#include <LibServe/ControlClient.h>
#include <LibServe/FleetKeeper.h>
#include <LibServe/IntentKeeper.h>
#include <LibServe/Neighbours.h>
#include <LibServe/RouterTable.h>
#include <LibTelemetry/Metrics.h>

namespace carobhinge {

struct ServeParts {
  const Settings &Own;
  Peers &Links;
  ControlClient &Control;
  IntentKeeper &Intents;
  FleetKeeper &Fleet;
  RouterTable &Routers;
  Neighbours &Others;
  Metrics &Figures;
  HttpClient &Endpoints;
  /// Of this process. Raised once if the ledger knows a newer one.
  std::atomic<Incarnation> &Life;
  /// The ledger has retired the earlier incarnations of this host; before
  /// that no call that must not repeat is started.
  std::atomic<bool> &LifeRegistered;
  /// Last attempt number given to a call that must not repeat.
  std::atomic<std::uint64_t> &LastAttempt;
  /// Calls that go on after their caller was answered, such as recordings.
  std::atomic<std::size_t> &Background;
};

} // namespace carobhinge

#endif // LIBSERVE_SERVEPARTS_H
