//===- LibFleet/FormationPolicy.cpp - Which hosts form a group ------------===//
///
/// \file
/// The two ways of choosing members.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FormationPolicy.h>

#include <algorithm>
#include <cassert>
#include <stdexcept>
#include <string>
#include <tuple>

namespace carobhinge {

namespace {

/// The baseline: whoever announced itself first takes the next rank.
class AnnouncementOrder : public FormationPolicy {
public:
  std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const override {
    assert(Free.size() >= Ranks.size());
    std::ranges::sort(Free, {}, &Candidate::FirstHeard);
    auto End = Free.begin() + static_cast<long>(Ranks.size());
    std::vector<Candidate> Chosen(Free.begin(), End);
    Free.erase(Free.begin(), End);
    return Chosen;
  }

  [[nodiscard]] bool completesGroupsFirst() const override { return false; }
};

/// Gives a rank to an endpoint that already holds its weights, so that
/// forming again after a loss loads as little as possible.
class LoadedRank : public FormationPolicy {
public:
  std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const override {
    assert(Free.size() >= Ranks.size());
    std::vector<std::optional<Candidate>> Chosen;
    for (std::uint32_t Rank : Ranks)
      Chosen.push_back(takeHolder(Free, Rank));
    std::vector<Candidate> Result;
    Result.reserve(Chosen.size());
    for (std::optional<Candidate> &Each : Chosen)
      Result.push_back(Each ? *Each : takeOther(Free));
    return Result;
  }

  [[nodiscard]] bool completesGroupsFirst() const override { return true; }

private:
  static std::optional<Candidate> takeHolder(std::vector<Candidate> &Free,
                                             std::uint32_t Rank) {
    auto Holder = std::ranges::find_if(Free, [Rank](const Candidate &Each) {
      return Each.LoadedRank == Rank && Each.FailedJoins == 0;
    });
    if (Holder == Free.end())
      return std::nullopt;
    Candidate Result = *Holder;
    Free.erase(Holder);
    return Result;
  }

  /// Endpoints that hold nothing go first: the others may yet be of use.
  static Candidate takeOther(std::vector<Candidate> &Free) {
    auto Least = std::ranges::min_element(Free, {}, [](const Candidate &Each) {
      return std::tuple(Each.FailedJoins, Each.LoadedRank.has_value(),
                        Each.FirstHeard);
    });
    Candidate Result = *Least;
    Free.erase(Least);
    return Result;
  }
};

} // namespace

std::unique_ptr<FormationPolicy> makeFormationPolicy(std::string_view Name) {
  if (Name == "announcement-order")
    return std::make_unique<AnnouncementOrder>();
  if (Name == "loaded-rank")
    return std::make_unique<LoadedRank>();
  throw std::invalid_argument("no formation policy named " + std::string(Name));
}

} // namespace carobhinge
