//===- LibControl/EntrySubscriptions.cpp - Updates for entry hosts --------===//

#include <LibControl/EntrySubscriptions.h>
#include <LibWire/MessageParser.h>

namespace asio = boost::asio;

namespace carobhinge {

/// An update is sent at least this often, also without a change, so that entry
/// hosts can detect a failed connection.
static constexpr auto KeepAliveInterval = std::chrono::milliseconds(500);
/// Older loads are left out of the totals.
static constexpr auto MaxLoadAge = std::chrono::milliseconds(1500);

void EntrySubscriptions::notify() {
  std::shared_ptr<Signal> Previous = this->Changed;
  this->Changed = std::make_shared<Signal>(this->Executor);
  Previous->fire();
}

int EntrySubscriptions::findIndex(const HostName &Host) const {
  return static_cast<int>(
      std::distance(this->OpenCalls.begin(), this->OpenCalls.find(Host)));
}

/// Adds to \p Update what changed since \p LastSent. \returns whether anything
/// did.
bool EntrySubscriptions::fillUpdate(message::WatchUpdate &Update,
                                    const HostName &To,
                                    SentState &LastSent) const {
  bool HasChanges = false;
  const message::RegisterState &State = this->State.state();
  if (State.revision() > LastSent.Revision) {
    Update.set_revision(State.revision());
    Update.set_version(State.version());
    if (State.version() > LastSent.Version)
      Update.set_text(State.text());
    *Update.mutable_emptied_domains() = State.emptied_domains();
    for (const message::PromptRefusalMessage &Each : State.refused_prompts())
      *Update.add_refused_prompts()->mutable_parts() = Each.parts();
    LastSent.Revision = State.revision();
    LastSent.Version = State.version();
    HasChanges = true;
  }
  std::vector<HostName> CurrentHosts = this->Hosts.allHosts();
  int Index = this->findIndex(To);
  if (CurrentHosts != LastSent.ControlHosts ||
      LastSent.EntryHosts != this->count() || LastSent.EntryIndex != Index) {
    for (const HostName &Host : CurrentHosts)
      Update.add_control_hosts(Host);
    Update.set_entry_hosts(this->count());
    Update.set_entry_index(Index);
    LastSent.EntryIndex = Index;
    LastSent.ControlHosts = CurrentHosts;
    LastSent.EntryHosts = this->count();
    HasChanges = true;
  }
  if (auto Current = this->Peers.peersOf(To); Current != LastSent.Peers) {
    for (const EntryPeer &Each : Current) {
      auto &Peer = *Update.mutable_entry_peers()->add_peers();
      Peer.set_host(Each.Host);
      Peer.set_failure_domain(Each.FailureDomain);
    }
    // An empty list says that there is none.
    Update.mutable_entry_peers();
    LastSent.Peers = std::move(Current);
    HasChanges = true;
  }
  if (this->Refusals.suspectRevision() > LastSent.SuspectRevision) {
    const SuspectParts &Suspects = this->Refusals.suspects();
    message::SuspectPartsMessage &Message = *Update.mutable_suspects();
    Message.mutable_parts()->Assign(Suspects.Parts.begin(),
                                    Suspects.Parts.end());
    Message.mutable_not_retried()->Assign(Suspects.NotRetried.begin(),
                                          Suspects.NotRetried.end());
    Message.mutable_held_back()->Assign(Suspects.HeldBack.begin(),
                                        Suspects.HeldBack.end());
    LastSent.SuspectRevision = this->Refusals.suspectRevision();
    HasChanges = true;
  }
  if (this->Coordinator.isLeading() &&
      (this->Coordinator.revision() > LastSent.TargetRevision ||
       (!LastSent.AllTargets &&
        this->Coordinator.hasAllTargets(monotonicNow())))) {
    bool HasAllTargets = this->Coordinator.hasAllTargets(monotonicNow());
    Update.set_whole(HasAllTargets && !LastSent.AllTargets);
    for (const auto &[Name, Target] : this->Coordinator.targets()) {
      if ((LastSent.AllTargets || !HasAllTargets) &&
          Target.Revision <= LastSent.TargetRevision)
        continue;
      if (!Target.Removed)
        *Update.add_places() = Target.Message;
      else if (LastSent.AllTargets && HasAllTargets)
        Update.add_removed(Name);
    }
    LastSent.AllTargets = HasAllTargets;
    LastSent.TargetRevision = this->Coordinator.revision();
    HasChanges = true;
  }
  return HasChanges;
}

asio::awaitable<void> EntrySubscriptions::handleWatch(WireExchange &Exchange) {
  HostName Caller = Exchange.caller();
  if (!this->IsLeader()) {
    message::WatchUpdate Update;
    Update.set_not_leading(true);
    Update.set_leader(this->State.status().Leader);
    for (const HostName &Host : this->Hosts.allHosts())
      Update.add_control_hosts(Host);
    co_await Exchange.send(Update.SerializeAsString());
    co_return;
  }
  ++this->OpenCalls[Caller];
  this->notify();
  SentState LastSent;
  try {
    while (!Exchange.callerDisconnected() && this->IsLeader()) {
      std::shared_ptr<Signal> NextChange = this->Changed;
      message::WatchUpdate Update;
      this->fillUpdate(Update, Caller, LastSent);
      co_await Exchange.send(Update.SerializeAsString());
      co_await NextChange->wait(KeepAliveInterval);
    }
  } catch (const boost::system::system_error &) {
    // The connection failed; the entry host calls again if it still runs.
  }
  auto Found = this->OpenCalls.find(Caller);
  if (Found != this->OpenCalls.end() && --Found->second == 0) {
    this->OpenCalls.erase(Found);
    this->Peers.remove(Caller);
  }
}

void EntrySubscriptions::recordProgress(TimePoint Now,
                                        const message::PulseCall &Call) {
  for (const message::PlaceLoadMessage &Load : Call.loads()) {
    auto Found = this->Coordinator.targets().find(Load.place());
    if (Load.since_event_ms() >= 0 &&
        Found != this->Coordinator.targets().end())
      this->Refusals.recordProgress(
          Found->second.Message.endpoint(),
          Now - std::chrono::milliseconds(Load.since_event_ms()));
  }
}

void EntrySubscriptions::fillTotals(TimePoint Now,
                                    message::PulseResult &Result) {
  this->Loads.expire(Now - MaxLoadAge);
  for (const auto &[Target, Count] : this->Loads.totals()) {
    message::PlaceLoadMessage &Total = *Result.add_totals();
    Total.set_place(Target);
    Total.set_in_flight(Count);
  }
  Result.set_entry_hosts(this->count());
}

asio::awaitable<void> EntrySubscriptions::handlePulse(WireExchange &Exchange) {
  message::PulseCall Call;
  if (!parseMessage(Call, Exchange.message()))
    throw std::runtime_error("the pulse of an entry host cannot be decoded");
  TimePoint Now = monotonicNow();
  if (this->Coordinator.recordEntryLoad(Now, Exchange.caller(), Call))
    this->OnStall();
  if (this->Peers.record(Exchange.caller(), Call.failure_domain(),
                         !Call.cut_off()))
    this->notify();
  this->Refusals.recordPulse(Now, Call);
  this->recordProgress(Now, Call);
  this->Loads.setLoad(Now, Exchange.caller(), std::move(Call));
  message::PulseResult Result;
  bool Confirmed = co_await this->State.confirm();
  Result.set_confirmed(Confirmed);
  Result.set_revision(this->State.state().revision());
  this->fillTotals(monotonicNow(), Result);
  Result.set_limit_share(this->Loads.share(Exchange.caller()));
  if (Confirmed)
    this->Refusals.fillTrial(monotonicNow(), Result);
  co_await Exchange.send(Result.SerializeAsString());
}

} // namespace carobhinge
