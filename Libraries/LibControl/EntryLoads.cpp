//===- LibControl/EntryLoads.cpp - What all entry hosts have in progress --===//

#include <LibControl/EntryLoads.h>

namespace carobhinge {

void EntryLoads::add(const message::PulseCall &Call, int Sign) {
  for (const message::PlaceLoadMessage &Each : Call.loads()) {
    if (Each.in_flight() == 0)
      continue;
    auto Found = this->Totals.try_emplace(Each.place(), 0).first;
    Found->second += Sign * Each.in_flight();
    if (Found->second == 0)
      this->Totals.erase(Found);
  }
}

void EntryLoads::said(TimePoint Now, const HostName &Host,
                      message::PulseCall Call) {
  Load &Its = this->Loads[Host];
  this->add(Its.Call, -1);
  Its = {.Call = std::move(Call), .At = Now};
  this->add(Its.Call, 1);
}

void EntryLoads::expire(TimePoint Limit) {
  for (auto Each = this->Loads.begin(); Each != this->Loads.end();) {
    if (Each->second.At >= Limit) {
      ++Each;
      continue;
    }
    this->add(Each->second.Call, -1);
    Each = this->Loads.erase(Each);
  }
}

} // namespace carobhinge
