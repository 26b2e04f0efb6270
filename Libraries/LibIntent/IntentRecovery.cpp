//===- LibIntent/IntentRecovery.cpp - Asking the domain after a restart ---===//
///
/// \file
/// A window that slides over the peers.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentRecovery.h>

#include <algorithm>

namespace carobhinge {

IntentRecovery::IntentRecovery(RecoveryOptions Options)
    : Options(std::move(Options)) {}

std::vector<HostName> IntentRecovery::due(TimePoint Now) {
  std::vector<HostName> Result;
  std::erase_if(this->Open, [&](const auto &Each) {
    return Each.second.Attempts >= this->Options.Attempts &&
           Now - Each.second.AskedAt >= this->Options.Timeout;
  });
  for (auto &[Host, Question] : this->Open) {
    if (Now - Question.AskedAt < this->Options.Timeout)
      continue;
    Question = {.AskedAt = Now, .Attempts = Question.Attempts + 1};
    Result.push_back(Host);
  }
  while (this->Next < this->Options.Peers.size() &&
         this->Open.size() < this->Options.Window) {
    const HostName &Host = this->Options.Peers[this->Next++];
    this->Open[Host] = {.AskedAt = Now, .Attempts = 1};
    Result.push_back(Host);
  }
  return Result;
}

void IntentRecovery::answered(const HostName &From, bool Ready,
                              std::uint64_t Version) {
  if (this->Open.erase(From) == 0)
    return;
  this->SawReady |= Ready;
  this->Highest = std::max(this->Highest, Version);
}

bool IntentRecovery::roundDone() const {
  return this->Next == this->Options.Peers.size() && this->Open.empty();
}

void IntentRecovery::startRound() {
  this->Next = 0;
  this->Open.clear();
  this->SawReady = false;
  this->Highest = 0;
}

} // namespace carobhinge
