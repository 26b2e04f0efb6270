//===- LibRouting/EndpointHoldOffs.cpp - Endpoints that want no requests --===//

#include <LibRouting/EndpointHoldOffs.h>

#include <algorithm>
#include <utility>

namespace carobhinge {

static bool isSameLife(Incarnation Left, Incarnation Right) {
  return Left == Right || Left == 0 || Right == 0;
}

const EndpointHoldOffs::Entry *
EndpointHoldOffs::find(const Endpoint &Each) const {
  auto Found = this->Entries.find(Each.Name);
  return Found != this->Entries.end() &&
                 isSameLife(Found->second.Number, Each.Number)
             ? &Found->second
             : nullptr;
}

EndpointHoldOffs::Entry *EndpointHoldOffs::makeEntry(TimePoint Now,
                                                     const Endpoint &Each) {
  Entry &Result = this->Entries[Each.Name];
  bool IsSame = isSameLife(Result.Number, Each.Number);
  if (!IsSame && Result.Number > Each.Number)
    return nullptr;
  if (!IsSame)
    Result = Entry();
  Result.Number = std::max(Result.Number, Each.Number);
  Result.ListedAt = Now;
  return &Result;
}

TimePoint EndpointHoldOffs::recordPause(TimePoint Now, const Endpoint &From,
                                        Duration Length, double Random) {
  Entry *Changed = this->makeEntry(Now, From);
  if (Changed == nullptr)
    return Now;
  auto Spread = std::min(
      std::chrono::duration_cast<Duration>(Length * this->Options.Spread),
      this->Options.MaxSpread);
  TimePoint End =
      Now + Length + std::chrono::duration_cast<Duration>(Spread * Random);
  Changed->Until = Changed->Until ? std::max(*Changed->Until, End) : End;
  Changed->TrialSentAt.reset();
  return *Changed->Until;
}

bool EndpointHoldOffs::recordLeaving(TimePoint Now, const Endpoint &From) {
  Entry *Changed = this->makeEntry(Now, From);
  return Changed != nullptr && !std::exchange(Changed->Leaving, true);
}

bool EndpointHoldOffs::mayWrite(TimePoint Now, const Endpoint &To) const {
  const Entry *Found = this->find(To);
  return Found == nullptr ||
         (!Found->Leaving && (!Found->Until || Now >= *Found->Until));
}

bool EndpointHoldOffs::mayReceive(TimePoint Now, const Endpoint &To) const {
  const Entry *Found = this->find(To);
  if (Found == nullptr)
    return true;
  bool IsTried =
      Found->TrialSentAt && Now - *Found->TrialSentAt < this->Options.TrialTime;
  return this->mayWrite(Now, To) && !IsTried;
}

std::optional<TimePoint> EndpointHoldOffs::pauseEnd(const Endpoint &Of) const {
  const Entry *Found = this->find(Of);
  if (Found == nullptr || !Found->Until)
    return std::nullopt;
  return Found->TrialSentAt ? *Found->TrialSentAt + this->Options.TrialTime
                            : *Found->Until;
}

bool EndpointHoldOffs::isLeaving(const Endpoint &Each) const {
  const Entry *Found = this->find(Each);
  return Found != nullptr && Found->Leaving;
}

void EndpointHoldOffs::recordSent(TimePoint Now, const Endpoint &To) {
  auto Found = this->Entries.find(To.Name);
  if (Found != this->Entries.end() &&
      isSameLife(Found->second.Number, To.Number) && Found->second.Until)
    Found->second.TrialSentAt = Now;
}

void EndpointHoldOffs::recordServed(const Endpoint &From, TimePoint SentAt) {
  auto Found = this->Entries.find(From.Name);
  if (Found == this->Entries.end() ||
      !isSameLife(Found->second.Number, From.Number))
    return;
  // A request from before the pause says nothing about its end.
  Entry &Served = Found->second;
  if (!Served.Until || SentAt < *Served.Until)
    return;
  Served.Until.reset();
  Served.TrialSentAt.reset();
  if (!Served.Leaving)
    this->Entries.erase(Found);
}

void EndpointHoldOffs::removeUnlisted(
    TimePoint Now, const std::function<bool(const EndpointName &)> &IsListed) {
  for (auto &[Name, Each] : this->Entries)
    if (IsListed(Name))
      Each.ListedAt = Now;
  std::erase_if(this->Entries, [&](const auto &Each) {
    return Now - Each.second.ListedAt > this->Options.UnlistedTime;
  });
}

} // namespace carobhinge
