//===- LibEntry/RepeatBudget.cpp - How often requests may be repeated -----===//

#include <LibEntry/RepeatBudget.h>
#include <algorithm>

namespace carobhinge {

void RepeatBudget::forget(TimePoint Now) {
  for (std::deque<TimePoint> *Each : {&this->Requests, &this->Repeats})
    while (!Each->empty() && Now - Each->front() > this->Options.Window)
      Each->pop_front();
}

double RepeatBudget::taken(TimePoint Now) {
  this->forget(Now);
  return static_cast<double>(this->Repeats.size());
}

double RepeatBudget::allowed(TimePoint Now, int EntryHosts) {
  this->forget(Now);
  return this->Options.Safety *
         (this->Options.Ratio * static_cast<double>(this->Requests.size()) +
          this->Options.Slack / std::max(EntryHosts, 1));
}

bool RepeatBudget::take(TimePoint Now, int EntryHosts) {
  if (this->taken(Now) + 1 > this->allowed(Now, EntryHosts))
    return false;
  this->Repeats.push_back(Now);
  return true;
}

} // namespace carobhinge
