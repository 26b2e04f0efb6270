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

namespace carobhinge {

/// Beyond this many doublings any budget has reached any limit.
static constexpr std::int64_t MostDoublings = 20;

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

static bool isDealtTo(const HostName &Self, std::uint64_t Seed,
                      std::span<const HostName> EntryHosts) {
  std::uint64_t Own = hash64(Self, Seed);
  bool Listed = false;
  for (const HostName &Host : EntryHosts) {
    if (Host == Self) {
      Listed = true;
      continue;
    }
    std::uint64_t Other = hash64(Host, Seed);
    if (Other > Own || (Other == Own && Host < Self))
      return false;
  }
  return Listed;
}

std::uint32_t dealtSlots(std::string_view Target, Incarnation Life,
                         std::uint32_t Budget, const HostName &Self,
                         std::span<const HostName> EntryHosts) {
  std::uint64_t TargetHash = hash64(Target, Life);
  std::uint32_t Result = 0;
  for (std::uint32_t Slot = 0; Slot < Budget; ++Slot)
    Result += isDealtTo(Self, slotSeed(TargetHash, Slot), EntryHosts) ? 1 : 0;
  return Result;
}

WarmUpShare::WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
                         Duration Overlap)
    : Self(std::move(Self)), Overlap(Overlap), Current(std::move(EntryHosts)) {}

void WarmUpShare::entryHostsChanged(TimePoint Now,
                                    std::vector<HostName> EntryHosts) {
  if (EntryHosts == this->Current)
    return;
  std::erase_if(this->Earlier, [this, Now](const Replaced &List) {
    return Now - List.At >= this->Overlap;
  });
  this->Earlier.push_back({.EntryHosts = std::move(this->Current), .At = Now});
  this->Current = std::move(EntryHosts);
}

bool WarmUpShare::dealtByAll(TimePoint Now, std::uint64_t Seed) const {
  if (!isDealtTo(this->Self, Seed, this->Current))
    return false;
  return std::ranges::all_of(this->Earlier, [&](const Replaced &List) {
    return Now - List.At >= this->Overlap ||
           isDealtTo(this->Self, Seed, List.EntryHosts);
  });
}

std::uint32_t WarmUpShare::share(TimePoint Now, std::string_view Target,
                                 Incarnation Life, std::uint32_t Budget) const {
  std::uint64_t TargetHash = hash64(Target, Life);
  std::uint32_t Result = 0;
  for (std::uint32_t Slot = 0; Slot < Budget; ++Slot)
    Result += this->dealtByAll(Now, slotSeed(TargetHash, Slot)) ? 1 : 0;
  return Result;
}

} // namespace carobhinge
