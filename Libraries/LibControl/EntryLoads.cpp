//===- LibControl/EntryLoads.cpp - Requests in progress at entry hosts ----===//

#include <LibControl/EntryLoads.h>

namespace carobhinge {

void EntryLoads::addToTotals(const message::PulseCall &Call, int Sign) {
  for (const message::PlaceLoadMessage &TargetLoad : Call.loads()) {
    if (TargetLoad.in_flight() == 0)
      continue;
    auto Total = this->Totals.try_emplace(TargetLoad.place(), 0).first;
    Total->second += Sign * TargetLoad.in_flight();
    if (Total->second == 0)
      this->Totals.erase(Total);
  }
}

void EntryLoads::setLoad(TimePoint Now, const HostName &Host,
                         message::PulseCall Call) {
  HostLoad &Latest = this->Loads[Host];
  this->addToTotals(Latest.Call, -1);
  Latest = {.Call = std::move(Call), .ReceivedAt = Now};
  this->addToTotals(Latest.Call, 1);
}

void EntryLoads::expire(TimePoint Limit) {
  for (auto Entry = this->Loads.begin(); Entry != this->Loads.end();) {
    if (Entry->second.ReceivedAt >= Limit) {
      ++Entry;
      continue;
    }
    this->addToTotals(Entry->second.Call, -1);
    Entry = this->Loads.erase(Entry);
  }
}

} // namespace carobhinge
