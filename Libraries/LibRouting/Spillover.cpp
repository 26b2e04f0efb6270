//===- LibRouting/Spillover.cpp - Work handed to other failure domains ----===//
///
/// \file
/// Each summary is an allowance that is used up until the next one comes. A
/// domain that returns gets a growing part of its allowance.
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

  void neighboursChanged(TimePoint Now,
                         std::span<const DomainSummary> Summaries) override;
  std::optional<FailureDomainName> choose(TimePoint Now) override;

private:
  struct Neighbour {
    DomainSummary Summary;
    /// Since when it has taken work without a break.
    TimePoint InSince;
    /// Requests forwarded on the present summary. Never above the allowance.
    std::uint32_t Used = 0;
    /// Part of a request that the summaries before allowed and nobody used.
    /// Never above one, and zero where a summary allows whole requests: without
    /// it a share of less than one slot would be rounded down to nothing.
    double Carried = 0;
  };

  [[nodiscard]] double allowance(TimePoint Now, const Neighbour &Each) const;
  [[nodiscard]] double carry(TimePoint Now, const Neighbour &From) const;

  double Share;
  Duration Lifetime;
  Duration SlowStart;
  std::map<FailureDomainName, Neighbour> Neighbours;
  /// The first neighbours heard of are no returns.
  bool HeardBefore = false;
};

class NoSpillover final : public Spillover {
public:
  void neighboursChanged(TimePoint /*Now*/,
                         std::span<const DomainSummary> /*Each*/) override {}
  std::optional<FailureDomainName> choose(TimePoint /*Now*/) override {
    return std::nullopt;
  }
};

} // namespace

void SpareCapacity::neighboursChanged(
    TimePoint Now, std::span<const DomainSummary> Summaries) {
  std::map<FailureDomainName, Neighbour> Next;
  for (const DomainSummary &Summary : Summaries) {
    Neighbour Each{.Summary = Summary, .InSince = Now};
    auto Known = this->Neighbours.find(Summary.FailureDomain);
    bool WasIn = Known != this->Neighbours.end() &&
                 !Known->second.Summary.Out &&
                 Now - Known->second.Summary.ReceivedAt <= this->Lifetime;
    if (WasIn) {
      Each.InSince = Known->second.InSince;
      if (Known->second.Summary.ReceivedAt == Summary.ReceivedAt) {
        Each.Used = Known->second.Used;
        Each.Carried = Known->second.Carried;
      } else {
        Each.Carried = this->carry(Now, Known->second);
      }
    } else if (!this->HeardBefore) {
      Each.InSince = Now - this->SlowStart;
    }
    Next.emplace(Summary.FailureDomain, std::move(Each));
  }
  this->HeardBefore = this->HeardBefore || !Summaries.empty();
  this->Neighbours = std::move(Next);
}

double SpareCapacity::allowance(TimePoint Now, const Neighbour &Each) const {
  if (Each.Summary.Out || Now - Each.Summary.ReceivedAt > this->Lifetime)
    return 0;
  double Ramp =
      static_cast<double>((Now - Each.InSince).count()) /
      static_cast<double>(std::max<std::int64_t>(1, this->SlowStart.count()));
  // A slot serves many short requests before the next summary comes.
  double Turns = 1;
  if (Each.Summary.SlotTime > Duration::zero())
    Turns += static_cast<double>((Now - Each.Summary.ReceivedAt).count()) /
             static_cast<double>(Each.Summary.SlotTime.count());
  return std::min(1.0, Ramp) * this->Share * Each.Summary.SpareSlots * Turns;
}

double SpareCapacity::carry(TimePoint Now, const Neighbour &From) const {
  double Allowed = this->allowance(Now, From);
  if (Allowed >= 1)
    return 0;
  return std::clamp(Allowed + From.Carried - From.Used, 0.0, 1.0);
}

std::optional<FailureDomainName> SpareCapacity::choose(TimePoint Now) {
  Neighbour *Best = nullptr;
  double BestLeft = 0;
  for (auto &[Name, Each] : this->Neighbours) {
    double Left = this->allowance(Now, Each) + Each.Carried - Each.Used;
    if (Left < 1)
      continue;
    bool Nearer = Best && Each.Summary.Distance < Best->Summary.Distance;
    bool AsNear = Best && Each.Summary.Distance == Best->Summary.Distance;
    if (Best && !Nearer && !(AsNear && Left > BestLeft))
      continue;
    Best = &Each;
    BestLeft = Left;
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
