//===- Tests/State/ControlPlane.cpp - The replicated log, reached ---------===//
///
/// \file
/// Requests, their retries and their bounds.
///
//===----------------------------------------------------------------------===//

#include "ControlPlane.h"

#include <algorithm>

namespace carobhinge::state {

using std::chrono::milliseconds;

/// When a request is given up.
constexpr Duration RequestBound = milliseconds(1500);
/// When another voter is asked because the first one says nothing.
constexpr Duration ReplyBound = milliseconds(400);
constexpr Duration RetryInterval = milliseconds(50);

void ControlPlane::propose(const HostName &From, CommandKind Kind,
                           std::string_view Bytes, ProposalDone Done) {
  auto Asked = std::make_shared<Request>();
  Asked->From = From;
  std::int64_t StampMs =
      this->StartMs + carobhinge::milliseconds(this->Wires.now());
  Asked->Encoded = encodeCommand(++this->LastNumber, Kind, StampMs, Bytes);
  Asked->Proposed = std::move(Done);
  this->begin(Asked);
}

void ControlPlane::read(const HostName &From, ReadDone Done) {
  auto Asked = std::make_shared<Request>();
  Asked->From = From;
  Asked->Read = std::move(Done);
  this->begin(Asked);
}

void ControlPlane::begin(const RequestPointer &Asked) {
  Asked->Until = this->Wires.now() + RequestBound;
  Asked->Voter = this->Believed[Asked->From];
  this->Wires.after(RequestBound, Asked->From, [this, Asked] {
    this->finish(Asked, std::nullopt, nullptr);
  });
  this->send(Asked);
}

void ControlPlane::send(const RequestPointer &Asked) {
  if (Asked->Over)
    return;
  std::size_t At = Asked->Voter;
  const HostName &Voter = this->Voters[At % this->Voters.size()];
  this->Wires.post(Asked->From, Voter, [this, Asked, Voter] {
    if (!this->Cluster.alive(Voter))
      return;
    Asked->MaybeLogged = true;
    std::size_t Id = Asked->Encoded.empty()
                         ? this->Cluster.read(Voter)
                         : this->Cluster.propose(Voter, Asked->Encoded);
    this->Operations.push_back({.Id = Id, .Voter = Voter, .Asked = Asked});
  });
  this->Wires.after(ReplyBound, Asked->From, [this, Asked, At] {
    // A proposal that may be in a log is not sent again.
    if (Asked->Voter == At && (Asked->Encoded.empty() || !Asked->MaybeLogged))
      this->refused(Asked);
    else if (Asked->Voter == At)
      this->Believed[Asked->From] = At + 1;
  });
}

void ControlPlane::refused(const RequestPointer &Asked) {
  ++Asked->Voter;
  this->Believed[Asked->From] = Asked->Voter;
  this->Wires.after(RetryInterval, Asked->From,
                    [this, Asked] { this->send(Asked); });
}

void ControlPlane::finish(const RequestPointer &Asked,
                          const std::optional<std::string> &Reply,
                          const std::shared_ptr<ControlState> &State) {
  if (std::exchange(Asked->Over, true))
    return;
  if (Asked->Read)
    Asked->Read(State.get());
  else
    Asked->Proposed(Reply);
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
    this->answer(Each);
}

void ControlPlane::answer(const Operation &Done) {
  Outcome Result = this->Cluster.outcome(Done.Id);
  if (!this->Cluster.alive(Done.Voter) || Result == Outcome::Lost)
    return;
  const RequestPointer &Asked = Done.Asked;
  if (Result == Outcome::Refused) {
    this->Wires.post(Done.Voter, Asked->From, [this, Asked] {
      Asked->MaybeLogged = false;
      this->refused(Asked);
    });
    return;
  }
  ControlState &State = this->stateOf(Done.Voter);
  std::optional<std::string> Reply;
  std::shared_ptr<ControlState> Copy;
  if (Asked->Encoded.empty()) {
    Copy = std::make_shared<ControlState>();
    Copy->follow(this->Cluster.machine(Done.Voter).Commands);
  } else {
    Reply = State.replyTo(Asked->Encoded);
  }
  this->Wires.post(Done.Voter, Asked->From, [this, Asked, Reply, Copy] {
    this->finish(Asked, Reply, Copy);
  });
}

ControlState &ControlPlane::stateOf(const HostName &Voter) {
  ControlState &State = this->States[Voter];
  State.follow(this->Cluster.machine(Voter).Commands);
  return State;
}

const ControlState &ControlPlane::newest() {
  ControlState &All = this->States[""];
  static_cast<void>(this->broken());
  All.follow(this->History);
  return All;
}

std::optional<std::string> ControlPlane::broken() {
  for (const HostName &Voter : this->Voters) {
    if (!this->Cluster.alive(Voter))
      continue;
    const auto &Applied = this->Cluster.machine(Voter).Commands;
    std::size_t Common = std::min(Applied.size(), this->History.size());
    if (!std::equal(Applied.begin(), Applied.begin() + Common,
                    this->History.begin()))
      return Voter + " applied another history";
    if (Applied.size() > Common)
      this->History = Applied;
  }
  if (!this->Cluster.Violations.empty())
    return this->Cluster.Violations.front();
  return std::nullopt;
}

} // namespace carobhinge::state
