//===- LibConsensus/ReplicaCluster.h - Replicas with fakes around them ----===//
///
/// \file
/// Replicas of one log on an in-memory network and in-memory disks, under a
/// clock that is turned by hand. Everything random comes from one seed.
///
///   ReplicaCluster Cluster({.Hosts = {"a", "b", "c"}, .Seed = 1});
///   Cluster.advance(3s);                      // time, ticks and messages
///   HostName L = Cluster.leader();            // "" if nobody holds a lease
///   std::size_t P = Cluster.propose(L, "x");  // then Cluster.outcome(P)
///   std::size_t R = Cluster.read(L);          // then Cluster.outcome(R)
///   Cluster.link("a", "b") = {.Cut = true};   // one way; isolate(), heal()
///   Cluster.kill("a"); Cluster.restart("a");  // power cut, then a new life
///   Cluster.freeze("a"); Cluster.thaw("a");   // what arrives waits
///   Cluster.disk("a").restore({});            // a lost disk, while killed
///   Cluster.Hook = [](Host, Step) {...};      // at each named step; may
///                                             // throw PowerCut: the host dies
///   Cluster.Violations                        // of what must always hold
///
/// After every event it checks: one leader per term; equal entries committed
/// at equal indexes, for ever; never two leases at once; every read sees all
/// that was known to be committed when it began.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICACLUSTER_H
#define LIBCONSENSUS_REPLICACLUSTER_H

#include <LibConsensus/ReplicaRunner.h>
#include <LibStore/FakeDisk.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carobhinge {

/// What a link does to messages that go one way.
struct LinkFaults {
  bool Cut = false;
  Duration Delay = std::chrono::milliseconds(1);
  /// Up to so much more, drawn for each message: messages change their order.
  Duration Jitter{};
  /// Of 100 messages.
  unsigned DropPercent = 0;
  unsigned DuplicatePercent = 0;
};

/// Remembers every command. A command may be as long as it likes.
class ListMachine : public StateMachine {
public:
  std::vector<std::string> Commands;

  std::string apply(std::uint64_t Index, std::int64_t /*StampMs*/,
                    std::string_view Command) override {
    this->Commands.emplace_back(Command);
    return std::to_string(Index);
  }
  [[nodiscard]] std::string snapshot() const override {
    std::string Text;
    for (const std::string &Command : this->Commands)
      Text += Command + "\n";
    return Text;
  }
  void restore(std::string_view Snapshot) override {
    this->Commands.clear();
    while (!Snapshot.empty()) {
      std::size_t End = Snapshot.find('\n');
      this->Commands.emplace_back(Snapshot.substr(0, End));
      Snapshot.remove_prefix(End + 1);
    }
  }
};

enum class Outcome { Open, Committed, Refused, Lost };

class ReplicaCluster {
public:
  struct Settings {
    std::vector<HostName> Hosts;
    std::uint64_t Seed = 1;
    ReplicaTimings Timings = {};
    ReplicaBounds Bounds = {};
    /// Hosts that hold no voter at first.
    std::vector<HostName> Spares = {};
  };

  explicit ReplicaCluster(Settings Given)
      : Given(std::move(Given)), Random(this->Given.Seed) {
    for (const HostName &Host : this->Given.Hosts)
      this->restart(Host);
    for (const HostName &Host : this->Given.Spares)
      this->restart(Host);
  }

  /// Called at each named step of a host.
  std::function<void(const HostName &Host, std::string_view Step)> Hook;
  std::vector<std::string> Violations;

  LinkFaults &link(const HostName &From, const HostName &To) {
    return this->Links[{From, To}];
  }
  void isolate(const HostName &Host, bool Cut = true) {
    for (auto &[Other, Unused] : this->Hosts) {
      this->link(Host, Other).Cut = Cut;
      this->link(Other, Host).Cut = Cut;
    }
  }
  void heal() { this->Links.clear(); }

  FakeDisk &disk(const HostName &Host) { return this->Hosts[Host].Files; }
  /// How fast a host's clock runs from now on; 1 is true time.
  void setClockRate(const HostName &Host, double Rate) {
    HostState &State = this->Hosts[Host];
    State.RateTime = this->now(Host);
    State.RateSince = this->Now;
    State.Rate = Rate;
  }

  void kill(const HostName &Host) {
    HostState &State = this->Hosts[Host];
    if (!State.Life)
      return;
    State.Life.reset();
    State.Inbox.clear();
    State.Frozen = false;
    State.Files.cutPower(this->Random);
    this->loseOperations(Host);
  }
  /// \returns whether the host came up.
  bool restart(const HostName &Host) {
    HostState &State = this->Hosts[Host];
    this->kill(Host);
    try {
      State.Life = std::make_unique<HostLife>(*this, Host, this->Random());
      return true;
    } catch (const std::runtime_error &Error) {
      State.Failure = Error.what();
    } catch (const PowerCut &) {
      State.Files.cutPower(this->Random);
    }
    return false;
  }
  void freeze(const HostName &Host) { this->Hosts[Host].Frozen = true; }
  void thaw(const HostName &Host) {
    HostState &State = this->Hosts[Host];
    State.Frozen = false;
    for (auto &[From, Message] : std::exchange(State.Inbox, {}))
      this->deliver(From, Host, Message);
  }
  [[nodiscard]] bool alive(const HostName &Host) const {
    return this->Hosts.at(Host).Life != nullptr;
  }
  /// Why the host stopped, if its disk failed.
  [[nodiscard]] const std::string &failure(const HostName &Host) const {
    return this->Hosts.at(Host).Failure;
  }
  [[nodiscard]] Replica &replica(const HostName &Host) {
    return this->Hosts.at(Host).Life->Runner.replica();
  }
  [[nodiscard]] const ListMachine &machine(const HostName &Host) {
    return this->Hosts.at(Host).Life->Machine;
  }
  [[nodiscard]] TimePoint now(const HostName &Host) {
    HostState &State = this->Hosts[Host];
    auto Passed = static_cast<double>((this->Now - State.RateSince).count());
    return State.RateTime +
           Duration(static_cast<std::int64_t>(Passed * State.Rate));
  }

  /// The host that holds the lease; empty if none does.
  [[nodiscard]] HostName leader() {
    for (auto &[Host, State] : this->Hosts)
      if (this->leads(Host))
        return Host;
    return {};
  }

  std::size_t propose(const HostName &Host, std::string Command) {
    std::size_t Id = this->begin(Host);
    this->act(Host, [&](HostLife &Alive) {
      auto Place = Alive.Runner.replica().propose(this->now(Host), 0,
                                                  std::move(Command));
      if (Place)
        Alive.Open[Place->Index] = {Place->Term, Id};
      else
        this->Operations[Id].Result = Outcome::Refused;
    });
    return Id;
  }
  std::size_t read(const HostName &Host) {
    std::size_t Id = this->begin(Host);
    this->act(Host, [&](HostLife &Alive) {
      Alive.Runner.replica().read(this->now(Host), Id);
    });
    return Id;
  }
  /// Any other event of a replica.
  void with(const HostName &Host,
            const std::function<void(Replica &, TimePoint)> &Event) {
    this->act(Host, [&](HostLife &Alive) {
      Event(Alive.Runner.replica(), this->now(Host));
    });
  }
  [[nodiscard]] Outcome outcome(std::size_t Id) const {
    return this->Operations[Id].Result;
  }

  void advance(Duration Length) {
    TimePoint End = this->Now + Length;
    while (true) {
      TimePoint Next = this->NextTick;
      if (!this->InFlight.empty())
        Next = std::min(Next, this->InFlight.begin()->first);
      if (Next > End)
        break;
      this->Now = std::max(this->Now, Next);
      if (Next == this->NextTick)
        this->tickAll();
      else
        this->deliverNext();
    }
    this->Now = End;
  }

private:
  struct Operation {
    HostName Host;
    Outcome Result = Outcome::Open;
    /// The highest index known to be committed when it began.
    std::uint64_t MustSee = 0;
  };

  struct HostLife : ReplicaListener {
    HostLife(ReplicaCluster &Owner, const HostName &Host, std::uint64_t Seed)
        : Owner(Owner), Host(Host),
          Runner({.Log = 0,
                  .Self = Host,
                  .Voters = Owner.Given.Hosts,
                  .Timings = Owner.Given.Timings,
                  .Bounds = Owner.Given.Bounds,
                  .Seed = Seed,
                  .Observer =
                      [this](std::string_view Step) {
                        if (this->Owner.Hook)
                          this->Owner.Hook(this->Host, Step);
                      }},
                 {.Files = &Owner.disk(Host),
                  .Folder = "/log",
                  .SegmentBytes = 4096},
                 this->Machine, *this, Owner.now(Host)) {}

    void send(const HostName &To,
              const message::ConsensusMessage &Message) override {
      this->Owner.transmit(this->Host, To, Message);
    }
    void applied(const message::Entry &Entry, std::string /*Reply*/) override {
      this->Owner.checkCommitted(this->Host, Entry);
      auto Found = this->Open.find(Entry.index());
      if (Found == this->Open.end())
        return;
      auto [Term, Id] = Found->second;
      bool Same = Term == Entry.term();
      this->Open.erase(Found);
      this->Owner.finish(Id, Same ? Outcome::Committed : Outcome::Lost,
                         Entry.index());
    }
    void readDone(std::uint64_t Id, bool Ready) override {
      std::uint64_t Seen = this->Runner.applied();
      if (Ready && Seen < this->Owner.Operations[Id].MustSee)
        this->Owner.violate(this->Host + " read what was out of date");
      this->Owner.finish(Id, Ready ? Outcome::Committed : Outcome::Refused,
                         Seen);
    }
    void leadershipLost() override {
      for (auto &[Index, Waiting] : std::exchange(this->Open, {}))
        this->Owner.finish(Waiting.second, Outcome::Lost, 0);
    }

    ReplicaCluster &Owner;
    HostName Host;
    ListMachine Machine;
    /// By index: term and operation.
    std::map<std::uint64_t, std::pair<std::uint64_t, std::size_t>> Open;
    ReplicaRunner Runner;
  };

  struct HostState {
    FakeDisk Files;
    std::unique_ptr<HostLife> Life;
    bool Frozen = false;
    /// The host's clock showed RateTime at the true time RateSince.
    double Rate = 1;
    TimePoint RateTime;
    TimePoint RateSince;
    std::string Failure;
    std::vector<std::pair<HostName, message::ConsensusMessage>> Inbox;
  };

  struct Parcel {
    HostName From;
    HostName To;
    message::ConsensusMessage Message;
  };

  static constexpr Duration TickLength = std::chrono::milliseconds(20);

  void violate(std::string What) {
    this->Violations.push_back(std::move(What));
  }

  std::size_t begin(const HostName &Host) {
    this->Operations.push_back({.Host = Host, .MustSee = this->KnownCommit});
    return this->Operations.size() - 1;
  }
  void finish(std::size_t Id, Outcome Result, std::uint64_t Index) {
    this->Operations[Id].Result = Result;
    if (Result == Outcome::Committed)
      this->KnownCommit = std::max(this->KnownCommit, Index);
  }
  void loseOperations(const HostName &Host) {
    for (Operation &Item : this->Operations)
      if (Item.Host == Host && Item.Result == Outcome::Open)
        Item.Result = Outcome::Lost;
  }

  /// Lets a host handle an event, unless it is down or frozen.
  template <typename Callable> void act(const HostName &Host, Callable Event) {
    HostState &State = this->Hosts[Host];
    if (!State.Life || State.Frozen)
      return;
    try {
      Event(*State.Life);
      State.Life->Runner.run(this->now(Host));
    } catch (const PowerCut &) {
      this->kill(Host);
    } catch (const DiskError &Error) {
      State.Failure = Error.what();
      this->kill(Host);
    }
    this->checkLeaders();
  }

  void tickAll() {
    this->NextTick += TickLength;
    for (auto &[Host, State] : this->Hosts)
      this->act(Host, [&, Name = Host](HostLife &Alive) {
        Alive.Runner.replica().tick(this->now(Name));
      });
  }

  void transmit(const HostName &From, const HostName &To,
                const message::ConsensusMessage &Message) {
    const LinkFaults &Link = this->link(From, To);
    if (Link.Cut || this->Random() % 100 < Link.DropPercent)
      return;
    bool Twice = this->Random() % 100 < Link.DuplicatePercent;
    for (int Copy = 0; Copy <= int(Twice); ++Copy) {
      auto Spread = static_cast<std::uint64_t>(Link.Jitter.count());
      Duration Extra(static_cast<std::int64_t>(this->Random() % (Spread + 1)));
      this->InFlight.emplace(this->Now + Link.Delay + Extra,
                             Parcel{From, To, Message});
    }
  }
  void deliverNext() {
    auto First = this->InFlight.begin();
    Parcel Next = std::move(First->second);
    this->InFlight.erase(First);
    this->deliver(Next.From, Next.To, Next.Message);
  }
  void deliver(const HostName &From, const HostName &To,
               const message::ConsensusMessage &Message) {
    HostState &State = this->Hosts[To];
    if (State.Frozen)
      State.Inbox.emplace_back(From, Message);
    this->act(To, [&](HostLife &Alive) {
      Alive.Runner.replica().receive(this->now(To), From, Message);
    });
  }

  [[nodiscard]] bool leads(const HostName &Host) {
    HostState &State = this->Hosts[Host];
    return State.Life && !State.Frozen &&
           State.Life->Runner.replica().holdsLease(this->now(Host));
  }
  void checkLeaders() {
    HostName Holder;
    for (auto &[Host, State] : this->Hosts) {
      if (!State.Life)
        continue;
      const Replica &Known = State.Life->Runner.replica();
      if (Known.role() == Role::Leader) {
        auto [Found, New] = this->LeaderOfTerm.emplace(Known.term(), Host);
        if (Found->second != Host)
          this->violate("two leaders in term " + std::to_string(Known.term()));
      }
      if (!this->leads(Host))
        continue;
      if (!Holder.empty())
        this->violate("a second lease at once, held by " + Host);
      Holder = Host;
    }
  }
  void checkCommitted(const HostName &Host, const message::Entry &Entry) {
    auto [Found, New] = this->CommittedEntries.emplace(
        Entry.index(), Entry.SerializeAsString());
    if (Found->second != Entry.SerializeAsString())
      this->violate(Host + " committed another entry at " +
                    std::to_string(Entry.index()));
  }

  Settings Given;
  std::mt19937_64 Random;
  std::map<HostName, HostState> Hosts;
  std::map<std::pair<HostName, HostName>, LinkFaults> Links;
  std::multimap<TimePoint, Parcel> InFlight;
  TimePoint Now{std::chrono::hours(1)};
  TimePoint NextTick{std::chrono::hours(1)};
  std::vector<Operation> Operations;
  std::uint64_t KnownCommit = 0;
  std::map<std::uint64_t, HostName> LeaderOfTerm;
  std::map<std::uint64_t, std::string> CommittedEntries;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICACLUSTER_H
