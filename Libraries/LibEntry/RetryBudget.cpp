//===- LibEntry/RetryBudget.cpp - Limits the retries of requests ----------===//

#include <LibEntry/RetryBudget.h>
#include <algorithm>

namespace carobhinge {

void RetryBudget::removeExpired(TimePoint Now) {
  for (std::deque<TimePoint> *Times : {&this->Requests, &this->Retries})
    while (!Times->empty() && Now - Times->front() > this->Options.Window)
      Times->pop_front();
}

double RetryBudget::usedRetries(TimePoint Now) {
  this->removeExpired(Now);
  return static_cast<double>(this->Retries.size());
}

double RetryBudget::allowedRetries(TimePoint Now, int EntryHosts) {
  this->removeExpired(Now);
  return this->Options.SafetyFactor *
         (this->Options.Ratio * static_cast<double>(this->Requests.size()) +
          this->Options.Slack / std::max(EntryHosts, 1));
}

bool RetryBudget::tryAcquire(TimePoint Now, int EntryHosts) {
  if (!this->isAvailable(Now, EntryHosts))
    return false;
  this->Retries.push_back(Now);
  return true;
}

} // namespace carobhinge
