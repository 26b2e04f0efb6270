//===- LibEntry/EntryState.cpp - Applied state of an entry process --------===//

#include <LibEntry/EntryState.h>

#include <LibCore/Hash.h>

namespace carobhinge {

/// The lease is this much shorter than the revocation time, because a request
/// with the revoked key may still be on its way to an endpoint when the lease
/// ends.
static constexpr auto RevocationMargin = std::chrono::milliseconds(400);

EntryState::EntryState(const HostSettings &Settings)
    : Settings(Settings),
      RequestDispatcher({.FailureDomain = Settings.FailureDomain,
                         .Seed = hash64(Settings.Ip)}),
      Peers({.FailureDomain = Settings.FailureDomain,
             .Seed = hash64(Settings.Ip)}),
      Lease(Settings.Bounds.RevocationTime - RevocationMargin) {}

RetryBudget &EntryState::retryBudget(const ServiceName &Service) {
  const ServiceBounds &Bounds = this->Settings.Bounds;
  RetryBudgetOptions Options{.Ratio = Bounds.RetryRatio,
                             .Slack = Bounds.RetrySlack,
                             .Window = Bounds.RetryWindow};
  return this->RetryBudgets.try_emplace(Service, Options).first->second;
}

} // namespace carobhinge
