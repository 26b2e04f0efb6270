//===- LibEntry/EntryState.h - Applied state of an entry process ----------===//
///
/// \file
/// The state that the components of an entry process share. All of them run on
/// one executor thread, so it needs no locks.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENTRYSTATE_H
#define LIBENTRY_ENTRYSTATE_H

#include <LibCatalog/RouteTable.h>
#include <LibEntry/ConfirmationLease.h>
#include <LibEntry/Dispatcher.h>
#include <LibEntry/PeerCatalog.h>
#include <LibEntry/RetryBudget.h>
#include <LibEntry/StopAdmission.h>
#include <LibRouting/EngineContact.h>
#include <LibRouting/EngineCrashDetector.h>
#include <LibRouting/PeerChoice.h>
#include <LibRouting/PromptGuard.h>
#include <LibRouting/ReturnTime.h>
#include <LibSettings/HostSettings.h>
#include <algorithm>
#include <map>
#include <memory>

namespace carobhinge {

struct EntryState {
  explicit EntryState(const HostSettings &Settings);

  /// The retry budget of \p Service; created on first use.
  RetryBudget &retryBudget(const ServiceName &Service);
  /// Records that a request was admitted or refused.
  void recordArrival(TimePoint Now, const ServiceName &Service,
                     const ModelName &Model, bool IsRefused) {
    this->ReturnTimes[this->returnTimeKey(Service, Model)].recordArrival(
        Now, IsRefused);
  }
  /// \returns what is known of the refusals of a model.
  [[nodiscard]] ReturnTime returnTime(const ServiceName &Service,
                                      const ModelName &Model) const {
    auto Found = this->ReturnTimes.find(this->returnTimeKey(Service, Model));
    return Found == this->ReturnTimes.end() ? ReturnTime() : Found->second;
  }

  /// Models that no target names share a key, since a service without models
  /// serves requests of callers who may name any.
  [[nodiscard]] std::pair<ServiceName, ModelName>
  returnTimeKey(const ServiceName &Service, const ModelName &Model) const {
    bool IsServed = this->RequestDispatcher.servesModel(Service, Model);
    return {Service, IsServed ? Model : ModelName()};
  }

  /// Returns whether this host reaches no engine of some service.
  [[nodiscard]] bool isCutOff() const {
    return std::ranges::any_of(this->Contacts, [](const auto &Entry) {
      return Entry.second.isCutOff();
    });
  }

  const HostSettings &Settings;
  /// Null until the first catalog was received. A request keeps the table with
  /// which it started.
  std::shared_ptr<const RouteTable> Routes;
  Dispatcher RequestDispatcher;
  EngineCrashDetector Crashes;
  PromptGuard Guard;
  /// By service, so that a host which is cut off from some engines hands on
  /// what is for them.
  std::map<ServiceName, EngineContact> Contacts;
  PeerChoice Peers;
  ConfirmationLease Lease;
  std::map<ServiceName, RetryBudget> RetryBudgets;
  /// Refusals for want of capacity, by service and model; see returnTimeKey().
  std::map<std::pair<ServiceName, ModelName>, ReturnTime> ReturnTimes;
  /// Entry hosts that share the retry budgets, as reported by the control
  /// hosts; at least 1.
  int EntryHostCount = 1;
  /// This host does not decide by a catalog older than the one seen there.
  PeerCatalog SeenCatalog;
  bool IsStopping = false;
  StopAdmission Stop;
};

} // namespace carobhinge

#endif // LIBENTRY_ENTRYSTATE_H
