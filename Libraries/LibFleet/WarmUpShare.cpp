//===- LibFleet/WarmUpShare.cpp - Entry hosts' shares of slot budgets -----===//
///
/// \file
/// Assigns slots by rendezvous hashing and computes warm-up budgets.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/WarmUpShare.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <span>

namespace carobhinge {

/// After this many doublings any budget has reached its limit.
static constexpr std::int64_t MaxDoublings = 20;

/// Maximum number of targets whose shares are cached.
static constexpr std::size_t MaxCachedTargets = 4096;

std::uint32_t warmUpBudget(std::uint32_t Initial, std::uint32_t Limit,
                           Duration ColdTime, std::uint64_t Answered,
                           const WarmUpCurve &Curve) {
  assert(Curve.AnswersPerDoubling > 0 && Curve.TimePerDoubling.count() > 0);
  std::int64_t ByTime =
      std::max<std::int64_t>(0, ColdTime / Curve.TimePerDoubling);
  std::uint64_t ByAnswers = Answered / Curve.AnswersPerDoubling;
  std::uint64_t Doublings =
      std::min({static_cast<std::uint64_t>(ByTime), ByAnswers,
                static_cast<std::uint64_t>(MaxDoublings)});
  std::uint64_t Budget = static_cast<std::uint64_t>(Initial) << Doublings;
  return std::min<std::uint64_t>(Budget, Limit);
}

/// Returns the seed of a slot's hashes, which is the same on all entry hosts.
static std::uint64_t slotSeed(std::uint64_t TargetHash, std::uint32_t Slot) {
  std::string_view Bytes(reinterpret_cast<const char *>(&Slot), sizeof(Slot));
  return hash64(Bytes, TargetHash);
}

/// True if \p Self has the largest hash. \p Self must be in \p EntryHosts.
static bool isAssignedTo(const HostName &Self, std::uint64_t Seed,
                         std::span<const HostName> EntryHosts) {
  std::uint64_t SelfHash = hash64(Self, Seed);
  return std::ranges::none_of(EntryHosts, [&](const HostName &Host) {
    std::uint64_t OtherHash = hash64(Host, Seed);
    return OtherHash > SelfHash || (OtherHash == SelfHash && Host < Self);
  });
}

Duration timePerDoubling(Duration Length, std::uint32_t Initial,
                         std::uint32_t Limit) {
  std::int64_t Doublings = 1;
  std::uint64_t Budget = std::max<std::uint64_t>(1, Initial);
  for (Budget *= 2; Budget < Limit; Budget *= 2)
    ++Doublings;
  return std::max<Duration>(Length / Doublings, std::chrono::milliseconds(1));
}

WarmUpShare::WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
                         Duration Overlap)
    : Self(std::move(Self)), Overlap(Overlap), Current(std::move(EntryHosts)) {}

void WarmUpShare::setEntryHosts(TimePoint Now,
                                std::vector<HostName> EntryHosts) {
  if (EntryHosts == this->Current)
    return;
  std::erase_if(this->ReplacedLists, [this, Now](const ReplacedList &List) {
    return this->hasExpired(Now, List);
  });
  this->ReplacedLists.push_back(
      {.EntryHosts = std::move(this->Current), .ReplacedAt = Now});
  this->Current = std::move(EntryHosts);
  this->Cache.clear();
}

bool WarmUpShare::hasExpired(TimePoint Now, const ReplacedList &List) const {
  return Now - List.ReplacedAt >= this->Overlap;
}

std::uint32_t WarmUpShare::countAssignedSlots(TimePoint Now,
                                              std::string_view Target,
                                              Incarnation IncarnationNumber,
                                              std::uint32_t Budget) const {
  std::vector<std::span<const HostName>> Lists = {this->Current};
  for (const ReplacedList &List : this->ReplacedLists)
    if (!this->hasExpired(Now, List))
      Lists.emplace_back(List.EntryHosts);
  auto IsListed = [this](std::span<const HostName> List) {
    return std::ranges::find(List, this->Self) != List.end();
  };
  if (!std::ranges::all_of(Lists, IsListed))
    return 0;
  std::uint64_t TargetHash = hash64(Target, IncarnationNumber);
  std::uint32_t Result = 0;
  for (std::uint32_t Slot = 0; Slot < Budget; ++Slot) {
    std::uint64_t Seed = slotSeed(TargetHash, Slot);
    bool IsAssigned =
        std::ranges::all_of(Lists, [this, Seed](const auto &List) {
          return isAssignedTo(this->Self, Seed, List);
        });
    Result += IsAssigned ? 1 : 0;
  }
  return Result;
}

std::uint32_t WarmUpShare::share(TimePoint Now, const std::string &Target,
                                 Incarnation IncarnationNumber,
                                 std::uint32_t Budget) const {
  bool IsListChanging =
      std::ranges::any_of(this->ReplacedLists, [&](const ReplacedList &List) {
        return !this->hasExpired(Now, List);
      });
  if (IsListChanging)
    return this->countAssignedSlots(Now, Target, IncarnationNumber, Budget);
  if (this->Cache.size() > MaxCachedTargets)
    this->Cache.clear();
  CachedShare &Cached = this->Cache[Target];
  if (Cached.IncarnationNumber != IncarnationNumber || Cached.Budget != Budget)
    Cached = {.IncarnationNumber = IncarnationNumber,
              .Budget = Budget,
              .Slots = this->countAssignedSlots(Now, Target, IncarnationNumber,
                                                Budget)};
  return Cached.Slots;
}

} // namespace carobhinge
