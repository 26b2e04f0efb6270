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
  this->InFlight -= Latest.InFlight;
  Latest = {.Call = std::move(Call), .InFlight = 0, .ReceivedAt = Now};
  for (const message::PlaceLoadMessage &TargetLoad : Latest.Call.loads())
    Latest.InFlight += TargetLoad.in_flight();
  this->addToTotals(Latest.Call, 1);
  this->InFlight += Latest.InFlight;
}

double EntryLoads::share(const HostName &Host) const {
  auto Found = this->Loads.find(Host);
  if (Found == this->Loads.end())
    return 0;
  return (Found->second.InFlight + 1.0) /
         (this->InFlight + static_cast<double>(this->Loads.size()));
}

void EntryLoads::expire(TimePoint Limit) {
  for (auto Entry = this->Loads.begin(); Entry != this->Loads.end();) {
    if (Entry->second.ReceivedAt >= Limit) {
      ++Entry;
      continue;
    }
    this->addToTotals(Entry->second.Call, -1);
    this->InFlight -= Entry->second.InFlight;
    Entry = this->Loads.erase(Entry);
  }
}

} // namespace carobhinge
