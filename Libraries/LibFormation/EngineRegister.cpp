//===- LibFormation/EngineRegister.cpp - Which endpoints there are --------===//

#include <LibFormation/EngineRegister.h>
#include <utility>

namespace carobhinge {

/// Whether \p New says something other than that the endpoint still lives.
static bool differs(const EngineReport &Old, const EngineReport &New) {
  return Old.BornMs != New.BornMs || Old.Address != New.Address ||
         Old.Leaving != New.Leaving || Old.Staged != New.Staged ||
         Old.Group != New.Group ||
         (Old.ColdLeft > Duration::zero()) != (New.ColdLeft > Duration::zero());
}

bool EngineRegister::accept(TimePoint HeardAt, EngineReport Report) {
  for (const auto &[Id, Record] : this->Records)
    if (Id != Report.Id && Record.Report.Address == Report.Address &&
        Record.Report.BornMs > Report.BornMs)
      // A heartbeat that was delayed beyond the end of its sender.
      return false;
  auto [Found, New] = this->Records.try_emplace(Report.Id);
  EngineRecord &Record = Found->second;
  if (!New && std::pair(Report.BornMs, Report.Sequence) <=
                  std::pair(Record.Report.BornMs, Record.Report.Sequence))
    return false;
  bool SameLife = !New && Report.BornMs == Record.Report.BornMs;
  // An announced end isn't taken back within a life.
  Report.Leaving = Report.Leaving || (SameLife && Record.Report.Leaving);
  Record.Changed = Record.Changed || New || differs(Record.Report, Report);
  if (!SameLife)
    Record.FirstHeardAt = HeardAt;
  if (New || differs(Record.Report, Report))
    ++this->Revision;
  Record.HeardAt = std::max(Record.HeardAt, HeardAt);
  Record.ColdUntil = HeardAt + Report.ColdLeft;
  Record.Report = std::move(Report);
  if (!SameLife)
    this->dropOlderAt(Record.Report);
  return true;
}

void EngineRegister::dropOlderAt(const EngineReport &Newer) {
  std::erase_if(this->Records, [&](const auto &Entry) {
    const EngineReport &Other = Entry.second.Report;
    return Other.Id != Newer.Id && Other.Address == Newer.Address &&
           Other.BornMs <= Newer.BornMs;
  });
}

bool EngineRegister::leave(const EndpointName &Id) {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return false;
  if (!Found->second.Report.Leaving) {
    Found->second.Report.Leaving = true;
    Found->second.Changed = true;
    ++this->Revision;
  }
  return true;
}

void EngineRegister::expire(TimePoint Limit, TimePoint LeavingLimit) {
  this->Revision += std::erase_if(this->Records, [&](const auto &Entry) {
    const EngineRecord &Record = Entry.second;
    return Record.HeardAt < (Record.Report.Leaving ? LeavingLimit : Limit);
  });
}

const EngineRecord *EngineRegister::find(const EndpointName &Id) const {
  auto Found = this->Records.find(Id);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

} // namespace carobhinge
