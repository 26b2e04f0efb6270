//===- LibRouting/Spillover.cpp - Forwarding to failure domains -----------===//
///
/// \file
/// Each summary grants an allowance of requests until the next one arrives. A
/// domain that becomes available again gets a growing part of its allowance.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Spillover.h>

#include <algorithm>
#include <map>
#include <stdexcept>

namespace carobhinge {

namespace {

class SpareCapacity final : public Spillover {
public:
  explicit SpareCapacity(const RouterOptions &Options)
      : Share(Options.SpareShare), Lifetime(Options.SummaryLifetime),
        SlowStart(Options.SlowStart) {}

  void setSpilloverDomains(TimePoint Now,
                           std::span<const DomainSummary> Summaries) override;
  std::optional<FailureDomainName> choose(TimePoint Now) override;

private:
  struct SpilloverDomain {
    DomainSummary Summary;
    /// Start of the current uninterrupted period of availability.
    TimePoint AvailableSince;
    /// Requests forwarded under the current summary. Never above the allowance.
    std::uint32_t Used = 0;
    /// Unused fraction of a request carried over from earlier summaries. Never
    /// above one, and zero after a summary that allows whole requests. Without
    /// it, a share of less than one slot would be rounded down to nothing.
    double CarriedOver = 0;
  };

  [[nodiscard]] double allowance(TimePoint Now,
                                 const SpilloverDomain &Each) const;
  [[nodiscard]] double carryOver(TimePoint Now,
                                 const SpilloverDomain &Previous) const;

  double Share;
  Duration Lifetime;
  Duration SlowStart;
  std::map<FailureDomainName, SpilloverDomain> SpilloverDomains;
  /// False until the first summaries arrive. Their failure domains get the full
  /// allowance, because they do not return from being unavailable.
  bool HasReceivedSummaries = false;
};

class NoSpillover final : public Spillover {
public:
  void setSpilloverDomains(TimePoint /*Now*/,
                           std::span<const DomainSummary> /*Each*/) override {}
  std::optional<FailureDomainName> choose(TimePoint /*Now*/) override {
    return std::nullopt;
  }
};

} // namespace

void SpareCapacity::setSpilloverDomains(
    TimePoint Now, std::span<const DomainSummary> Summaries) {
  std::map<FailureDomainName, SpilloverDomain> Next;
  for (const DomainSummary &Summary : Summaries) {
    SpilloverDomain Each{.Summary = Summary, .AvailableSince = Now};
    auto Existing = this->SpilloverDomains.find(Summary.FailureDomain);
    bool WasAvailable =
        Existing != this->SpilloverDomains.end() &&
        !Existing->second.Summary.Unavailable &&
        Now - Existing->second.Summary.ReceivedAt <= this->Lifetime;
    if (WasAvailable) {
      Each.AvailableSince = Existing->second.AvailableSince;
      if (Existing->second.Summary.ReceivedAt == Summary.ReceivedAt) {
        Each.Used = Existing->second.Used;
        Each.CarriedOver = Existing->second.CarriedOver;
      } else {
        Each.CarriedOver = this->carryOver(Now, Existing->second);
      }
    } else if (!this->HasReceivedSummaries) {
      Each.AvailableSince = Now - this->SlowStart;
    }
    Next.emplace(Summary.FailureDomain, std::move(Each));
  }
  this->HasReceivedSummaries = this->HasReceivedSummaries || !Summaries.empty();
  this->SpilloverDomains = std::move(Next);
}

double SpareCapacity::allowance(TimePoint Now,
                                const SpilloverDomain &Each) const {
  if (Each.Summary.Unavailable ||
      Now - Each.Summary.ReceivedAt > this->Lifetime)
    return 0;
  double Ramp =
      static_cast<double>((Now - Each.AvailableSince).count()) /
      static_cast<double>(std::max<std::int64_t>(1, this->SlowStart.count()));
  // A slot can serve many short requests before the next summary arrives.
  double UsesPerSlot = 1;
  if (Each.Summary.SlotTime > Duration::zero())
    UsesPerSlot +=
        static_cast<double>((Now - Each.Summary.ReceivedAt).count()) /
        static_cast<double>(Each.Summary.SlotTime.count());
  return std::min(1.0, Ramp) * this->Share * Each.Summary.SpareSlots *
         UsesPerSlot;
}

double SpareCapacity::carryOver(TimePoint Now,
                                const SpilloverDomain &Previous) const {
  double Allowed = this->allowance(Now, Previous);
  if (Allowed >= 1)
    return 0;
  return std::clamp(Allowed + Previous.CarriedOver - Previous.Used, 0.0, 1.0);
}

std::optional<FailureDomainName> SpareCapacity::choose(TimePoint Now) {
  SpilloverDomain *Best = nullptr;
  double BestRemaining = 0;
  for (auto &[Name, Each] : this->SpilloverDomains) {
    double Remaining =
        this->allowance(Now, Each) + Each.CarriedOver - Each.Used;
    if (Remaining < 1)
      continue;
    bool IsNearer = Best && Each.Summary.Distance < Best->Summary.Distance;
    bool EquallyNear = Best && Each.Summary.Distance == Best->Summary.Distance;
    if (Best && !IsNearer && !(EquallyNear && Remaining > BestRemaining))
      continue;
    Best = &Each;
    BestRemaining = Remaining;
  }
  if (!Best)
    return std::nullopt;
  ++Best->Used;
  return Best->Summary.FailureDomain;
}

std::unique_ptr<Spillover> makeSpillover(const RouterOptions &Options) {
  const std::string &Name = Options.Policies.Spillover;
  if (Name == "spare-capacity")
    return std::make_unique<SpareCapacity>(Options);
  if (Name == "none")
    return std::make_unique<NoSpillover>();
  throw std::invalid_argument("no spillover policy named " + Name);
}

} // namespace carobhinge
