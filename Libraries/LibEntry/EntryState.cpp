//===- LibEntry/EntryState.cpp - What an entry process has in force -------===//

#include <LibEntry/EntryState.h>

#include <LibCore/Hash.h>

namespace carobhinge {

/// A confirmation counts this much less than the time in which a key must
/// stop working: a request may still be on its way to an endpoint then.
static constexpr auto RevocationMargin = std::chrono::milliseconds(400);

EntryState::EntryState(const HostSettings &Own)
    : Own(Own),
      Board({.FailureDomain = Own.FailureDomain, .Seed = hash64(Own.Ip)}),
      Lease(Own.Bounds.RevocationTime - RevocationMargin) {}

RepeatBudget &EntryState::budget(const ServiceName &Service) {
  const PromisedBounds &Bounds = this->Own.Bounds;
  RepeatBudgetOptions Options{.Ratio = Bounds.RepeatRatio,
                              .Slack = Bounds.RepeatSlack,
                              .Window = Bounds.RepeatWindow};
  return this->Budgets.try_emplace(Service, Options).first->second;
}

} // namespace carobhinge
