//===- LibControl/EntryWatchers.cpp - Tells entry hosts of changes --------===//

#include <LibControl/EntryWatchers.h>

namespace asio = boost::asio;

namespace carobhinge {

/// Shows an entry host that its call is alive.
static constexpr auto KeepAlive = std::chrono::milliseconds(500);
/// Loads older than this are left out of the totals.
static constexpr auto LoadAge = std::chrono::milliseconds(1500);

void EntryWatchers::wake() {
  std::shared_ptr<Signal> Old = this->Changed;
  this->Changed = std::make_shared<Signal>(this->Executor);
  Old->fire();
}

int EntryWatchers::indexOf(const HostName &Host) const {
  return static_cast<int>(
      std::distance(this->Watching.begin(), this->Watching.find(Host)));
}

/// \returns whether there is anything to tell.
bool EntryWatchers::fill(message::WatchUpdate &Update, const HostName &To,
                         Told &So) const {
  bool Any = false;
  const message::RegisterState &State = this->State.state();
  if (State.revision() > So.Revision) {
    Update.set_revision(State.revision());
    Update.set_version(State.version());
    if (State.version() > So.Version)
      Update.set_text(State.text());
    *Update.mutable_emptied_domains() = State.emptied_domains();
    So.Revision = State.revision();
    So.Version = State.version();
    Any = true;
  }
  std::vector<HostName> Known = this->Hosts.known();
  int Index = this->indexOf(To);
  if (Known != So.ControlHosts || So.EntryHosts != this->count() ||
      So.EntryIndex != Index) {
    for (const HostName &Host : Known)
      Update.add_control_hosts(Host);
    Update.set_entry_hosts(this->count());
    Update.set_entry_index(Index);
    So.EntryIndex = Index;
    So.ControlHosts = Known;
    So.EntryHosts = this->count();
    Any = true;
  }
  if (this->Foreman.leads() &&
      (this->Foreman.revision() > So.Places ||
       (!So.Whole && this->Foreman.settled(monotonicNow())))) {
    bool Settled = this->Foreman.settled(monotonicNow());
    Update.set_whole(Settled && !So.Whole);
    for (const auto &[Name, Place] : this->Foreman.places()) {
      if ((So.Whole || !Settled) && Place.Revision <= So.Places)
        continue;
      if (!Place.Removed)
        *Update.add_places() = Place.Message;
      else if (So.Whole && Settled)
        Update.add_removed(Name);
    }
    So.Whole = Settled;
    So.Places = this->Foreman.revision();
    Any = true;
  }
  return Any;
}

asio::awaitable<void> EntryWatchers::watch(WireExchange &Exchange) {
  HostName Caller = Exchange.caller();
  if (!this->Leads()) {
    message::WatchUpdate Update;
    Update.set_not_leading(true);
    Update.set_leader(this->State.status().Leader);
    for (const HostName &Host : this->Hosts.known())
      Update.add_control_hosts(Host);
    co_await Exchange.send(Update.SerializeAsString());
    co_return;
  }
  ++this->Watching[Caller];
  this->wake();
  Told So;
  try {
    while (!Exchange.callerGone() && this->Leads()) {
      std::shared_ptr<Signal> Next = this->Changed;
      message::WatchUpdate Update;
      this->fill(Update, Caller, So);
      co_await Exchange.send(Update.SerializeAsString());
      co_await Next->wait(KeepAlive);
    }
  } catch (const boost::system::system_error &) {
    // The entry host is gone; it calls again if it lives.
  }
  auto Found = this->Watching.find(Caller);
  if (Found != this->Watching.end() && --Found->second == 0)
    this->Watching.erase(Found);
}

void EntryWatchers::fillTotals(TimePoint Now, message::PulseResult &Result) {
  this->Loads.expire(Now - LoadAge);
  for (const auto &[Place, Count] : this->Loads.totals()) {
    message::PlaceLoadMessage &Total = *Result.add_totals();
    Total.set_place(Place);
    Total.set_in_flight(Count);
  }
  Result.set_entry_hosts(this->count());
}

asio::awaitable<void> EntryWatchers::pulse(WireExchange &Exchange) {
  message::PulseCall Call;
  Call.ParseFromString(Exchange.message());
  TimePoint Now = monotonicNow();
  if (this->Foreman.entryLoad(Now, Call))
    this->OnSuspicion();
  this->Loads.said(Now, Exchange.caller(), std::move(Call));
  message::PulseResult Result;
  bool Confirmed = co_await this->State.confirm();
  Result.set_confirmed(Confirmed);
  Result.set_revision(this->State.state().revision());
  this->fillTotals(monotonicNow(), Result);
  co_await Exchange.send(Result.SerializeAsString());
}

} // namespace carobhinge
