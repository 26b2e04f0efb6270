//===- Tests/State/ControlPlane.cpp - Requests to the replicated log ------===//
///
/// \file
/// Sends requests to the voters, with retries and timeouts.
///
//===----------------------------------------------------------------------===//

#include "ControlPlane.h"

#include <algorithm>

namespace carobhinge::state {

using std::chrono::milliseconds;

/// Time after which a request is abandoned.
constexpr Duration RequestTimeout = milliseconds(1500);
/// Time without a reply after which another voter is tried.
constexpr Duration ReplyTimeout = milliseconds(400);
constexpr Duration RetryInterval = milliseconds(50);

void ControlPlane::propose(const HostName &Client, CommandKind Kind,
                           std::string_view Bytes, ProposalCallback OnDone) {
  auto PendingRequest = std::make_shared<Request>();
  PendingRequest->Client = Client;
  std::int64_t StampMs =
      this->StartMs + carobhinge::milliseconds(this->Network.now());
  PendingRequest->Encoded =
      encodeCommand(++this->LastNumber, Kind, StampMs, Bytes);
  PendingRequest->OnReply = std::move(OnDone);
  this->start(PendingRequest);
}

void ControlPlane::read(const HostName &Client, ReadCallback OnDone) {
  auto PendingRequest = std::make_shared<Request>();
  PendingRequest->Client = Client;
  PendingRequest->OnRead = std::move(OnDone);
  this->start(PendingRequest);
}

void ControlPlane::start(const RequestPointer &PendingRequest) {
  PendingRequest->Deadline = this->Network.now() + RequestTimeout;
  PendingRequest->VoterIndex = this->AssumedLeaders[PendingRequest->Client];
  this->Network.after(RequestTimeout, PendingRequest->Client,
                      [this, PendingRequest] {
                        this->finish(PendingRequest, std::nullopt, nullptr);
                      });
  this->send(PendingRequest);
}

void ControlPlane::send(const RequestPointer &PendingRequest) {
  if (PendingRequest->IsFinished)
    return;
  std::size_t VoterIndex = PendingRequest->VoterIndex;
  const HostName &Voter = this->Voters[VoterIndex % this->Voters.size()];
  this->Network.post(
      PendingRequest->Client, Voter, [this, PendingRequest, Voter] {
        if (!this->Cluster.isRunning(Voter))
          return;
        PendingRequest->MayBeLogged = true;
        std::size_t Id =
            PendingRequest->Encoded.empty()
                ? this->Cluster.read(Voter)
                : this->Cluster.propose(Voter, PendingRequest->Encoded);
        this->Operations.push_back(
            {.Id = Id, .Voter = Voter, .PendingRequest = PendingRequest});
      });
  this->Network.after(
      ReplyTimeout, PendingRequest->Client, [this, PendingRequest, VoterIndex] {
        // A proposal that may be in a log is not sent again.
        if (PendingRequest->VoterIndex == VoterIndex &&
            (PendingRequest->Encoded.empty() || !PendingRequest->MayBeLogged))
          this->retryWithNextVoter(PendingRequest);
        else if (PendingRequest->VoterIndex == VoterIndex)
          this->AssumedLeaders[PendingRequest->Client] = VoterIndex + 1;
      });
}

void ControlPlane::retryWithNextVoter(const RequestPointer &PendingRequest) {
  ++PendingRequest->VoterIndex;
  this->AssumedLeaders[PendingRequest->Client] = PendingRequest->VoterIndex;
  this->Network.after(RetryInterval, PendingRequest->Client,
                      [this, PendingRequest] { this->send(PendingRequest); });
}

void ControlPlane::finish(const RequestPointer &PendingRequest,
                          const std::optional<std::string> &Reply,
                          const std::shared_ptr<ControlState> &State) {
  if (std::exchange(PendingRequest->IsFinished, true))
    return;
  if (PendingRequest->OnRead)
    PendingRequest->OnRead(State.get());
  else
    PendingRequest->OnReply(Reply);
}

void ControlPlane::poll() {
  std::vector<Operation> Finished;
  std::erase_if(this->Operations, [&](const Operation &Each) {
    if (this->Cluster.outcome(Each.Id) == Outcome::Open)
      return false;
    Finished.push_back(Each);
    return true;
  });
  for (const Operation &Each : Finished)
    this->deliverResult(Each);
}

void ControlPlane::deliverResult(const Operation &Finished) {
  Outcome Result = this->Cluster.outcome(Finished.Id);
  if (!this->Cluster.isRunning(Finished.Voter) || Result == Outcome::Lost)
    return;
  const RequestPointer &PendingRequest = Finished.PendingRequest;
  if (Result == Outcome::Refused) {
    this->Network.post(Finished.Voter, PendingRequest->Client,
                       [this, PendingRequest] {
                         PendingRequest->MayBeLogged = false;
                         this->retryWithNextVoter(PendingRequest);
                       });
    return;
  }
  ControlState &State = this->stateOfVoter(Finished.Voter);
  std::optional<std::string> Reply;
  std::shared_ptr<ControlState> Copy;
  if (PendingRequest->Encoded.empty()) {
    Copy = std::make_shared<ControlState>();
    Copy->replay(this->Cluster.machine(Finished.Voter).Commands);
  } else {
    Reply = State.replyTo(PendingRequest->Encoded);
  }
  this->Network.post(Finished.Voter, PendingRequest->Client,
                     [this, PendingRequest, Reply, Copy] {
                       this->finish(PendingRequest, Reply, Copy);
                     });
}

ControlState &ControlPlane::stateOfVoter(const HostName &Voter) {
  ControlState &State = this->States[Voter];
  State.replay(this->Cluster.machine(Voter).Commands);
  return State;
}

const ControlState &ControlPlane::mostAdvancedState() {
  ControlState &Latest = this->States[""];
  static_cast<void>(this->violatedInvariant());
  Latest.replay(this->History);
  return Latest;
}

std::optional<std::string> ControlPlane::violatedInvariant() {
  for (const HostName &Voter : this->Voters) {
    if (!this->Cluster.isRunning(Voter))
      continue;
    const auto &Applied = this->Cluster.machine(Voter).Commands;
    std::size_t Common = std::min(Applied.size(), this->History.size());
    if (!std::equal(Applied.begin(), Applied.begin() + Common,
                    this->History.begin()))
      return Voter + " applied commands that differ from the history";
    if (Applied.size() > Common)
      this->History = Applied;
  }
  if (!this->Cluster.Violations.empty())
    return this->Cluster.Violations.front();
  return std::nullopt;
}

} // namespace carobhinge::state
