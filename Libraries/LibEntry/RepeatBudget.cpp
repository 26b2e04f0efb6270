//===- LibEntry/RepeatBudget.cpp - How often requests may be repeated -----===//

#include <LibEntry/RepeatBudget.h>
#include <algorithm>

namespace carobhinge {

void RepeatBudget::forget(TimePoint Now) {
  for (std::deque<TimePoint> *Each : {&this->Requests, &this->Repeats})
    while (!Each->empty() && Now - Each->front() > this->Options.Window)
      Each->pop_front();
}

bool RepeatBudget::take(TimePoint Now, int EntryHosts) {
  this->forget(Now);
  double Allowed =
      this->Options.Safety *
      (this->Options.Ratio * static_cast<double>(this->Requests.size()) +
       this->Options.Slack / std::max(EntryHosts, 1));
  if (static_cast<double>(this->Repeats.size()) + 1 > Allowed)
    return false;
  this->Repeats.push_back(Now);
  return true;
}

} // namespace carobhinge
