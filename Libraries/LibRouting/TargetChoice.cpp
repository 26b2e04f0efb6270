//===- LibRouting/TargetChoice.cpp - Policies that choose a target --------===//
///
/// \file
/// The cost of two random choices does not depend on the number of targets.
/// Affinity looks up a consistent-hash ring first and falls back to two random
/// choices if the targets found there are too loaded.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/TargetChoice.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace carobhinge {

/// The weight of a load report falls linearly from one on arrival to zero at
/// this age.
static constexpr Duration ReportLifetime = 2s;

std::uint64_t RandomGenerator::next() {
  this->State += 0x9E3779B97F4A7C15U;
  std::uint64_t Mixed = this->State;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBU;
  return Mixed ^ (Mixed >> 31U);
}

/// Requests of other entry hosts at the target, weighted by the report's age.
static double freshRemoteWork(TimePoint Now, const TargetState &State) {
  Duration Age = Now - State.Info.Load.ReceivedAt;
  if (Age >= ReportLifetime)
    return 0;
  double Freshness = 1 - static_cast<double>(Age.count()) /
                             static_cast<double>(ReportLifetime.count());
  return Freshness * State.RemoteOutstanding;
}

/// Fraction of the target's slots that this entry host would use with one more
/// request. Work of other entry hosts is left out, because they apply the same
/// bound to the same ring.
static double localLoad(const TargetState &State) {
  double Limit = std::max(1U, TargetTable::effectiveSlotLimit(State));
  return (State.Outstanding + 1) / Limit;
}

double loadScore(TimePoint Now, const TargetState &State) {
  double Work = State.Outstanding + 1 + freshRemoteWork(Now, State);
  double Limit = std::max(1U, TargetTable::effectiveSlotLimit(State));
  double Slowness = std::max(0.0, State.Health.Slowness);
  return Work / Limit * std::exp(Slowness);
}

namespace {

/// Baseline: cycles through the open targets.
class RoundRobin final : public TargetChoice {
public:
  std::optional<TargetIndex> choose(TimePoint /*Now*/, const TargetTable &Table,
                                    const ChoiceRequest &Request) override {
    for (std::size_t Step = 0; Step < Table.size(); ++Step) {
      this->Next = (this->Next + 1) % Table.size();
      auto Index = static_cast<TargetIndex>(this->Next);
      if (Table.isOpen(Index) && Index != Request.AvoidedTarget)
        return Index;
    }
    return std::nullopt;
  }

private:
  std::size_t Next = 0;
};

/// Chooses the less loaded of two random open targets.
class TwoChoices final : public TargetChoice {
public:
  explicit TwoChoices(std::uint64_t Seed) : Random(Seed) {}

  std::optional<TargetIndex> choose(TimePoint Now, const TargetTable &Table,
                                    const ChoiceRequest &Request) override {
    std::span<const TargetIndex> Open = Table.openTargets();
    if (Open.empty())
      return std::nullopt;
    std::size_t First = this->Random.below(Open.size());
    if (Open.size() == 1)
      return Open[0] == Request.AvoidedTarget
                 ? std::nullopt
                 : std::optional<TargetIndex>(Open[0]);
    // A second index that differs from the first.
    std::size_t Second =
        (First + 1 + this->Random.below(Open.size() - 1)) % Open.size();
    if (Open[First] == Request.AvoidedTarget)
      return Open[Second];
    if (Open[Second] == Request.AvoidedTarget)
      return Open[First];
    bool FirstIsBetter = loadScore(Now, Table[Open[First]]) <=
                         loadScore(Now, Table[Open[Second]]);
    return Open[FirstIsBetter ? First : Second];
  }

private:
  RandomGenerator Random;
};

/// Sends requests with the same prefix to the same few targets unless these are
/// loaded well above the mean; then falls back to two random choices.
class PrefixAffinity final : public TargetChoice {
public:
  explicit PrefixAffinity(std::uint64_t Seed) : Fallback(Seed) {}

  std::optional<TargetIndex> choose(TimePoint Now, const TargetTable &Table,
                                    const ChoiceRequest &Request) override {
    if (Request.PrefixHash != 0)
      if (auto Index = this->chooseOnRing(Table, Request))
        return Index;
    return this->Fallback.choose(Now, Table, Request);
  }

private:
  struct Point {
    std::uint64_t Hash = 0;
    TargetIndex Index = 0;
  };

  std::optional<TargetIndex> chooseOnRing(const TargetTable &Table,
                                          const ChoiceRequest &Request);
  void rebuild(const TargetTable &Table);

  /// More points balance the ring better; each takes 16 bytes.
  static constexpr unsigned PointsPerTarget = 8;
  /// Targets tried along the ring before falling back.
  static constexpr unsigned MaxCandidates = 2;
  /// Maximum load of an affine target, relative to the mean load.
  static constexpr double LoadBound = 1.5;
  /// A target with a smaller fraction of its slots in use takes affine requests
  /// regardless of the mean load.
  static constexpr double LowLoad = 0.3;

  std::vector<Point> Ring;
  std::uint64_t RingVersion = 0;
  TwoChoices Fallback;
};

} // namespace

void PrefixAffinity::rebuild(const TargetTable &Table) {
  this->Ring.clear();
  for (TargetIndex Index = 0; Index < Table.size(); ++Index) {
    if (Table[Index].Delisted)
      continue;
    // Hashes the name, so that all entry hosts build the same ring and a
    // restart of a target moves no prefix.
    for (unsigned Seed = 0; Seed < PointsPerTarget; ++Seed)
      this->Ring.push_back(
          Point{.Hash = hash64(Table[Index].Info.Name, Seed), .Index = Index});
  }
  std::ranges::sort(this->Ring, {}, &Point::Hash);
  this->RingVersion = Table.membershipVersion();
}

std::optional<TargetIndex>
PrefixAffinity::chooseOnRing(const TargetTable &Table,
                             const ChoiceRequest &Request) {
  if (this->RingVersion != Table.membershipVersion())
    this->rebuild(Table);
  if (this->Ring.empty() || Table.usableSlots() == 0)
    return std::nullopt;
  double Mean = static_cast<double>(Table.outstanding()) /
                static_cast<double>(Table.usableSlots());
  double MaxLoad = std::max(LoadBound * Mean, LowLoad);
  auto Position = std::ranges::lower_bound(this->Ring, Request.PrefixHash, {},
                                           &Point::Hash);
  for (unsigned Step = 0; Step < MaxCandidates; ++Step, ++Position) {
    if (Position == this->Ring.end())
      Position = this->Ring.begin();
    TargetIndex Index = Position->Index;
    const TargetState &State = Table[Index];
    if (Table.isOpen(Index) && Index != Request.AvoidedTarget &&
        !State.Health.Straggler && localLoad(State) <= MaxLoad)
      return Index;
  }
  return std::nullopt;
}

std::unique_ptr<TargetChoice> makeTargetChoice(const RouterOptions &Options) {
  const std::string &Name = Options.Policies.Choice;
  if (Name == "prefix-affinity")
    return std::make_unique<PrefixAffinity>(Options.Seed);
  if (Name == "two-choices")
    return std::make_unique<TwoChoices>(Options.Seed);
  if (Name == "round-robin")
    return std::make_unique<RoundRobin>();
  throw std::invalid_argument("no choice policy named " + Name);
}

} // namespace carobhinge
