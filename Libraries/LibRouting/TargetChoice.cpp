//===- LibRouting/TargetChoice.cpp - Which target takes a request ---------===//
///
/// \file
/// Two random choices cost the same at any number of targets. Affinity asks a
/// consistent-hash ring first and gives way where its target is too loaded.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/TargetChoice.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace carobhinge {

/// A load report counts in full when fresh and not at all at this age.
static constexpr Duration ReportLifetime = 2s;

std::uint64_t RandomNumbers::next() {
  this->State += 0x9E3779B97F4A7C15U;
  std::uint64_t Mixed = this->State;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBU;
  return Mixed ^ (Mixed >> 31U);
}

/// What others have running at the target, weighted by the report's age.
static double workOfOthers(TimePoint Now, const TargetState &State) {
  Duration Age = Now - State.Info.Load.ReceivedAt;
  if (Age >= ReportLifetime)
    return 0;
  double Freshness = 1 - static_cast<double>(Age.count()) /
                             static_cast<double>(ReportLifetime.count());
  return Freshness * State.WorkOfOthers;
}

/// The part of its slots in use from here with one more request. What others
/// send is left out: they keep the same bound with the same ring.
static double ownLoad(const TargetState &State) {
  double Limit = std::max(1U, TargetBoard::limitOf(State));
  return (State.Outstanding + 1) / Limit;
}

double loadScore(TimePoint Now, const TargetState &State) {
  double Work = State.Outstanding + 1 + workOfOthers(Now, State);
  double Limit = std::max(1U, TargetBoard::limitOf(State));
  double Slowness = std::max(0.0, State.Health.Slowness);
  return Work / Limit * std::exp(Slowness);
}

namespace {

/// The baseline: every open target in turn.
class RoundRobin final : public TargetChoice {
public:
  std::optional<TargetIndex> choose(TimePoint /*Now*/, const TargetBoard &Board,
                                    const ChoiceRequest &Request) override {
    for (std::size_t Step = 0; Step < Board.size(); ++Step) {
      this->Next = (this->Next + 1) % Board.size();
      auto Index = static_cast<TargetIndex>(this->Next);
      if (Board.isOpen(Index) && Index != Request.Avoid)
        return Index;
    }
    return std::nullopt;
  }

private:
  std::size_t Next = 0;
};

/// The less loaded of two open targets drawn at random.
class TwoChoices final : public TargetChoice {
public:
  explicit TwoChoices(std::uint64_t Seed) : Random(Seed) {}

  std::optional<TargetIndex> choose(TimePoint Now, const TargetBoard &Board,
                                    const ChoiceRequest &Request) override {
    std::span<const TargetIndex> Open = Board.open();
    if (Open.empty())
      return std::nullopt;
    std::size_t First = this->Random.below(Open.size());
    if (Open.size() == 1)
      return Open[0] == Request.Avoid ? std::nullopt
                                      : std::optional<TargetIndex>(Open[0]);
    // A second place that differs from the first.
    std::size_t Second =
        (First + 1 + this->Random.below(Open.size() - 1)) % Open.size();
    if (Open[First] == Request.Avoid)
      return Open[Second];
    if (Open[Second] == Request.Avoid)
      return Open[First];
    bool FirstIsBetter = loadScore(Now, Board[Open[First]]) <=
                         loadScore(Now, Board[Open[Second]]);
    return Open[FirstIsBetter ? First : Second];
  }

private:
  RandomNumbers Random;
};

/// Requests with the same prefix go to the same few targets while these are
/// not much more loaded than the mean; else two choices.
class PrefixAffinity final : public TargetChoice {
public:
  explicit PrefixAffinity(std::uint64_t Seed) : Fallback(Seed) {}

  std::optional<TargetIndex> choose(TimePoint Now, const TargetBoard &Board,
                                    const ChoiceRequest &Request) override {
    if (Request.PrefixHash != 0)
      if (auto Index = this->chooseOnRing(Board, Request))
        return Index;
    return this->Fallback.choose(Now, Board, Request);
  }

private:
  struct Point {
    std::uint64_t Hash = 0;
    TargetIndex Index = 0;
  };

  std::optional<TargetIndex> chooseOnRing(const TargetBoard &Board,
                                          const ChoiceRequest &Request);
  void rebuild(const TargetBoard &Board);

  /// More points even out the arcs, at 16 bytes each.
  static constexpr unsigned PointsPerTarget = 8;
  /// Targets asked along the ring before affinity is given up.
  static constexpr unsigned Candidates = 2;
  /// An affine target may be this much above the mean load.
  static constexpr double LoadBound = 1.5;
  /// Below this part of its slots a target takes affine work in any case.
  static constexpr double FreeLoad = 0.3;

  std::vector<Point> Ring;
  std::uint64_t BuiltFor = 0;
  TwoChoices Fallback;
};

} // namespace

void PrefixAffinity::rebuild(const TargetBoard &Board) {
  this->Ring.clear();
  for (TargetIndex Index = 0; Index < Board.size(); ++Index) {
    if (Board[Index].Gone)
      continue;
    // By name, so that all entry hosts agree and a restart moves nothing.
    for (unsigned Seed = 0; Seed < PointsPerTarget; ++Seed)
      this->Ring.push_back(
          Point{.Hash = hash64(Board[Index].Info.Name, Seed), .Index = Index});
  }
  std::ranges::sort(this->Ring, {}, &Point::Hash);
  this->BuiltFor = Board.membership();
}

std::optional<TargetIndex>
PrefixAffinity::chooseOnRing(const TargetBoard &Board,
                             const ChoiceRequest &Request) {
  if (this->BuiltFor != Board.membership())
    this->rebuild(Board);
  if (this->Ring.empty() || Board.usableSlots() == 0)
    return std::nullopt;
  double Mean = static_cast<double>(Board.outstanding()) /
                static_cast<double>(Board.usableSlots());
  double MostLoad = std::max(LoadBound * Mean, FreeLoad);
  auto Where = std::ranges::lower_bound(this->Ring, Request.PrefixHash, {},
                                        &Point::Hash);
  for (unsigned Step = 0; Step < Candidates; ++Step, ++Where) {
    if (Where == this->Ring.end())
      Where = this->Ring.begin();
    TargetIndex Index = Where->Index;
    const TargetState &State = Board[Index];
    if (Board.isOpen(Index) && Index != Request.Avoid &&
        !State.Health.Straggler && ownLoad(State) <= MostLoad)
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
