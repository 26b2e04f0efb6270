//===- LibFleet/WarmUpShare.cpp - A budget split without messages ---------===//
///
/// \file
/// Rendezvous dealing of slots and the growth of a warm-up budget.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/WarmUpShare.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <span>

namespace carobhinge {

/// Beyond this many doublings any budget has reached any limit.
static constexpr std::int64_t MostDoublings = 20;

/// Targets whose dealing is remembered.
static constexpr std::size_t MostCached = 4096;

std::uint32_t warmUpBudget(std::uint32_t Initial, std::uint32_t Limit,
                           Duration Age, std::uint64_t Answered,
                           const WarmUpCurve &Curve) {
  assert(Curve.AnswersPerDoubling > 0 && Curve.TimePerDoubling.count() > 0);
  std::int64_t ByTime = std::max<std::int64_t>(0, Age / Curve.TimePerDoubling);
  std::uint64_t ByAnswers = Answered / Curve.AnswersPerDoubling;
  std::uint64_t Doublings =
      std::min({static_cast<std::uint64_t>(ByTime), ByAnswers,
                static_cast<std::uint64_t>(MostDoublings)});
  std::uint64_t Budget = static_cast<std::uint64_t>(Initial) << Doublings;
  return std::min<std::uint64_t>(Budget, Limit);
}

/// The seed of a slot's hashes: the same on all entry hosts.
static std::uint64_t slotSeed(std::uint64_t TargetHash, std::uint32_t Slot) {
  std::string_view Bytes(reinterpret_cast<const char *>(&Slot), sizeof(Slot));
  return hash64(Bytes, TargetHash);
}

/// \p Self must be one of \p EntryHosts.
static bool isDealtTo(const HostName &Self, std::uint64_t Seed,
                      std::span<const HostName> EntryHosts) {
  std::uint64_t Own = hash64(Self, Seed);
  return std::ranges::none_of(EntryHosts, [&](const HostName &Host) {
    std::uint64_t Other = hash64(Host, Seed);
    return Other > Own || (Other == Own && Host < Self);
  });
}

Duration timePerDoubling(Duration Length, std::uint32_t Initial,
                         std::uint32_t Limit) {
  std::int64_t Doublings = 1;
  std::uint64_t Reached = std::max<std::uint64_t>(1, Initial);
  for (Reached *= 2; Reached < Limit; Reached *= 2)
    ++Doublings;
  return std::max<Duration>(Length / Doublings, std::chrono::milliseconds(1));
}

WarmUpShare::WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
                         Duration Overlap)
    : Self(std::move(Self)), Overlap(Overlap), Current(std::move(EntryHosts)) {}

void WarmUpShare::entryHostsChanged(TimePoint Now,
                                    std::vector<HostName> EntryHosts) {
  if (EntryHosts == this->Current)
    return;
  std::erase_if(this->Earlier, [this, Now](const Replaced &List) {
    return this->isOver(Now, List);
  });
  this->Earlier.push_back({.EntryHosts = std::move(this->Current), .At = Now});
  this->Current = std::move(EntryHosts);
  this->Cache.clear();
}

bool WarmUpShare::isOver(TimePoint Now, const Replaced &List) const {
  return Now - List.At >= this->Overlap;
}

std::uint32_t WarmUpShare::deal(TimePoint Now, std::string_view Target,
                                Incarnation Life, std::uint32_t Budget) const {
  std::vector<std::span<const HostName>> Lists = {this->Current};
  for (const Replaced &List : this->Earlier)
    if (!this->isOver(Now, List))
      Lists.emplace_back(List.EntryHosts);
  auto IsListed = [this](std::span<const HostName> List) {
    return std::ranges::find(List, this->Self) != List.end();
  };
  if (!std::ranges::all_of(Lists, IsListed))
    return 0;
  std::uint64_t TargetHash = hash64(Target, Life);
  std::uint32_t Result = 0;
  for (std::uint32_t Slot = 0; Slot < Budget; ++Slot) {
    std::uint64_t Seed = slotSeed(TargetHash, Slot);
    bool Ours = std::ranges::all_of(Lists, [this, Seed](const auto &List) {
      return isDealtTo(this->Self, Seed, List);
    });
    Result += Ours ? 1 : 0;
  }
  return Result;
}

std::uint32_t WarmUpShare::share(TimePoint Now, const std::string &Target,
                                 Incarnation Life, std::uint32_t Budget) const {
  bool Changing = std::ranges::any_of(this->Earlier, [&](const Replaced &List) {
    return !this->isOver(Now, List);
  });
  if (Changing)
    return this->deal(Now, Target, Life, Budget);
  if (this->Cache.size() > MostCached)
    this->Cache.clear();
  Dealt &Known = this->Cache[Target];
  if (Known.Life != Life || Known.Budget != Budget)
    Known = {.Life = Life,
             .Budget = Budget,
             .Slots = this->deal(Now, Target, Life, Budget)};
  return Known.Slots;
}

} // namespace carobhinge
