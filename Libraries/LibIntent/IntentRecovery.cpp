//===- LibIntent/IntentRecovery.cpp - Polls peers after a restart ---------===//
///
/// \file
/// Moves a sliding window over the peers.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentRecovery.h>

#include <algorithm>

namespace carobhinge {

IntentRecovery::IntentRecovery(RecoveryOptions Options)
    : Options(std::move(Options)) {}

std::vector<HostName> IntentRecovery::peersToPoll(TimePoint Now) {
  std::vector<HostName> Result;
  std::erase_if(this->PendingPolls, [&](const auto &Each) {
    return Each.second.Attempts >= this->Options.Attempts &&
           Now - Each.second.SentAt >= this->Options.Timeout;
  });
  for (auto &[Host, Poll] : this->PendingPolls) {
    if (Now - Poll.SentAt < this->Options.Timeout)
      continue;
    Poll = {.SentAt = Now, .Attempts = Poll.Attempts + 1};
    Result.push_back(Host);
  }
  while (this->Next < this->Options.Peers.size() &&
         this->PendingPolls.size() < this->Options.Window) {
    const HostName &Host = this->Options.Peers[this->Next++];
    this->PendingPolls[Host] = {.SentAt = Now, .Attempts = 1};
    Result.push_back(Host);
  }
  return Result;
}

void IntentRecovery::recordAnswer(const HostName &From, bool Ready,
                                  std::uint64_t Version) {
  if (this->PendingPolls.erase(From) == 0)
    return;
  this->HasReadyAnswer |= Ready;
  this->Highest = std::max(this->Highest, Version);
}

bool IntentRecovery::isRoundDone() const {
  return this->Next == this->Options.Peers.size() && this->PendingPolls.empty();
}

void IntentRecovery::startRound() {
  this->Next = 0;
  this->PendingPolls.clear();
  this->HasReadyAnswer = false;
  this->Highest = 0;
}

} // namespace carobhinge
