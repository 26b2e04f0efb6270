//===- LibFleet/FormationPolicy.cpp - Selects the members of groups -------===//
///
/// \file
/// Selection in the order of announcement and by loaded weights.
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

/// The baseline: assigns ranks in the order in which endpoints announced
/// themselves.
class AnnouncementOrder : public FormationPolicy {
public:
  std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const override {
    assert(Free.size() >= Ranks.size());
    std::ranges::sort(Free, {}, &Candidate::DiscoveryOrder);
    auto End = Free.begin() + static_cast<long>(Ranks.size());
    std::vector<Candidate> Chosen(Free.begin(), End);
    Free.erase(Free.begin(), End);
    return Chosen;
  }

  [[nodiscard]] bool completesGroupsFirst() const override { return false; }
};

/// Prefers an endpoint that already has the weights of the rank in memory, so
/// that as few weights as possible are loaded when a group forms after a loss.
class LoadedRank : public FormationPolicy {
public:
  std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const override {
    assert(Free.size() >= Ranks.size());
    std::vector<std::optional<Candidate>> Chosen;
    for (std::uint32_t Rank : Ranks)
      Chosen.push_back(takeLoaded(Free, Rank));
    std::vector<Candidate> Result;
    Result.reserve(Chosen.size());
    for (std::optional<Candidate> &Each : Chosen)
      Result.push_back(Each ? *Each : takeLeastUseful(Free));
    return Result;
  }

  [[nodiscard]] bool completesGroupsFirst() const override { return true; }

private:
  static std::optional<Candidate> takeLoaded(std::vector<Candidate> &Free,
                                             std::uint32_t Rank) {
    auto Loaded = std::ranges::find_if(Free, [Rank](const Candidate &Each) {
      return Each.LoadedRank == Rank && Each.FailedJoins == 0;
    });
    if (Loaded == Free.end())
      return std::nullopt;
    Candidate Result = *Loaded;
    Free.erase(Loaded);
    return Result;
  }

  /// Prefers endpoints without loaded weights: a later group may need the
  /// weights of the others.
  static Candidate takeLeastUseful(std::vector<Candidate> &Free) {
    auto Best = std::ranges::min_element(Free, {}, [](const Candidate &Each) {
      return std::tuple(Each.FailedJoins, Each.LoadedRank.has_value(),
                        Each.DiscoveryOrder);
    });
    Candidate Result = *Best;
    Free.erase(Best);
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
