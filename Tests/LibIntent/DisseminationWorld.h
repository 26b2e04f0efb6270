//===- Tests/LibIntent/DisseminationWorld.h - Hosts and links, simulated --===//
///
/// \file
/// Many Dissemination objects under one hand-turned clock, with links that
/// delay, drop, duplicate and cut. Control hosts share one log that is never
/// lost. After every delivery it checks that no host's version fell.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATIONWORLD_H
#define LIBINTENT_DISSEMINATIONWORLD_H

#include <LibIntent/Dissemination.h>
#include <LibIntent/DisseminationTree.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

namespace carobhinge {

struct WorldOptions {
  std::vector<FailureDomainName> Domains;
  std::size_t HostsPerDomain = 2;
  /// The first of each domain's hosts that are control hosts.
  std::size_t ControlPerDomain = 1;
  TreeShape Shape = {};
  Duration LinkDelay = std::chrono::milliseconds(2);
  /// Added to the delay, at random; reorders messages.
  Duration Jitter = std::chrono::milliseconds(0);
  double DropShare = 0;
  double DuplicateShare = 0;
  std::uint64_t Seed = 1;
};

class DisseminationWorld {
public:
  struct Host {
    FailureDomainName Domain;
    bool Control = false;
    bool Up = false;
    std::unique_ptr<IntentInForce> InForce;
    std::unique_ptr<Dissemination> Tree;
    /// Highest version in force while ready, over all lives.
    std::uint64_t MostInForce = 0;
    std::uint64_t BytesSent = 0;
    std::uint64_t BytesReceived = 0;
    std::uint64_t MessagesSent = 0;
  };

  explicit DisseminationWorld(WorldOptions Given)
      : Options(std::move(Given)), Random(this->Options.Seed) {
    for (const FailureDomainName &Domain : this->Options.Domains)
      for (std::size_t I = 0; I < this->Options.HostsPerDomain; ++I) {
        Host &Made = this->Hosts[name(Domain, I)];
        Made.Domain = Domain;
        Made.Control = I < this->Options.ControlPerDomain;
      }
    for (auto &[Name, Each] : this->Hosts)
      this->start(Name);
  }

  /// Padded so that name order is number order; control hosts come first.
  static HostName name(const FailureDomainName &Domain, std::size_t I) {
    std::string Number = std::to_string(I);
    return Domain + "-" + std::string(4 - Number.size(), '0') + Number;
  }

  /// A new life without memory of the last.
  void start(const HostName &Name) {
    Host &Each = this->Hosts.at(Name);
    TreeMembers Members{.Self = Name, .Domain = {}, .OtherControl = {}};
    for (const auto &[Other, Its] : this->Hosts) {
      if (Its.Domain == Each.Domain)
        Members.Domain.push_back(Other);
      else if (Its.Control)
        Members.OtherControl.push_back(Other);
    }
    DisseminationOptions Its;
    Its.Parents = parentCandidates(Members, this->Options.Shape);
    Its.MostChildren = 2 * this->Options.Shape.FanOut;
    Its.DomainPeers = std::move(Members.Domain);
    std::erase(Its.DomainPeers, Name);
    Each.InForce =
        std::make_unique<IntentInForce>(InForceOptions{.Domain = Each.Domain});
    Each.Tree = std::make_unique<Dissemination>(std::move(Its), *Each.InForce,
                                                this->Now);
    Each.Up = true;
  }
  void stop(const HostName &Name) { this->Hosts.at(Name).Up = false; }

  /// Cuts all links of a failure domain to other domains.
  void cut(const FailureDomainName &Domain) { this->Cut.insert(Domain); }
  void heal(const FailureDomainName &Domain) { this->Cut.erase(Domain); }

  [[nodiscard]] bool isCut(const FailureDomainName &Domain) const {
    return this->Cut.contains(Domain);
  }

  /// A quorum of control hosts accepts \p Text.
  void accept(std::string Text) {
    ++this->Version;
    this->Text = std::move(Text);
  }

  void run(Duration Length) {
    TimePoint End = this->Now + Length;
    while (this->Now < End) {
      this->tickAll();
      TimePoint Next = std::min(End, this->Now + TickInterval);
      while (!this->Queue.empty() && this->Queue.begin()->first <= Next)
        this->deliverFirst();
      this->Now = Next;
    }
  }

  /// An operator's order on the spot.
  void order(const HostName &Name, bool Held) {
    Host &Each = this->Hosts.at(Name);
    this->sendAll(Name, Each.Tree->order(Held, "amal", 0));
  }

  [[nodiscard]] const Host &host(const HostName &Name) const {
    return this->Hosts.at(Name);
  }
  [[nodiscard]] DomainRefusal refusal(const HostName &Name) const {
    return this->host(Name).InForce->refusal(this->Now);
  }
  [[nodiscard]] std::uint64_t version(const HostName &Name) const {
    return this->host(Name).InForce->version();
  }
  /// Hosts up that are ready and have the newest version.
  [[nodiscard]] std::size_t inForceCount() const {
    return std::ranges::count_if(this->Hosts, [&](const auto &Each) {
      return Each.second.Up && Each.second.InForce->ready() &&
             Each.second.InForce->version() == this->Version;
    });
  }
  [[nodiscard]] std::size_t upCount() const {
    return std::ranges::count_if(
        this->Hosts, [](const auto &Each) { return Each.second.Up; });
  }

  std::map<HostName, Host> Hosts;
  TimePoint Now;
  std::uint64_t Version = 0;
  /// Real time spent inside the hosts' decisions and codecs, for benchmarks.
  Duration InHosts{};

private:
  /// Adds the time until its end to InHosts.
  class Stopwatch {
  public:
    explicit Stopwatch(Duration &Sum) : Sum(Sum), Began(monotonicNow()) {}
    ~Stopwatch() { this->Sum += monotonicNow() - this->Began; }
    Stopwatch(const Stopwatch &) = delete;
    Stopwatch &operator=(const Stopwatch &) = delete;

  private:
    Duration &Sum;
    TimePoint Began;
  };

  struct Delivery {
    HostName From;
    HostName To;
    std::string Bytes;
  };

  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

  [[nodiscard]] double draw() {
    return std::uniform_real_distribution<>()(this->Random);
  }

  [[nodiscard]] bool connected(const Host &Left, const Host &Right) const {
    return Left.Domain == Right.Domain || (!this->Cut.contains(Left.Domain) &&
                                           !this->Cut.contains(Right.Domain));
  }

  std::vector<IntentSend> tick(Host &Each) {
    Stopwatch Watch(this->InHosts);
    return Each.Tree->tick(this->Now);
  }

  /// Only the leader's reads of the log are linearizable. It is the last of
  /// the control hosts that is up and not cut off.
  [[nodiscard]] HostName leader() const {
    HostName Last;
    for (const auto &[Name, Each] : this->Hosts)
      if (Each.Up && Each.Control && !this->Cut.contains(Each.Domain))
        Last = Name;
    return Last;
  }

  void feed(const HostName &Name, Host &Each, bool Leading) {
    if (!Each.Control || this->Cut.contains(Each.Domain))
      return;
    if (this->Version > 0)
      this->sendAll(Name, Each.Tree->publish(this->Version, this->Text));
    if (Leading)
      Each.Tree->confirmCurrent(this->Now);
  }

  void tickAll() {
    HostName Leader = this->leader();
    for (auto &[Name, Each] : this->Hosts) {
      if (!Each.Up)
        continue;
      this->feed(Name, Each, Name == Leader);
      this->sendAll(Name, this->tick(Each));
      this->check(Name, Each);
    }
  }

  std::string encoded(const IntentSend &Each) {
    Stopwatch Watch(this->InHosts);
    return Each.Message.SerializeAsString();
  }

  void sendAll(const HostName &From, const std::vector<IntentSend> &Sends) {
    Host &Sender = this->Hosts.at(From);
    for (const IntentSend &Each : Sends) {
      std::string Bytes = this->encoded(Each);
      Sender.BytesSent += Bytes.size();
      ++Sender.MessagesSent;
      int Copies = this->draw() < this->Options.DropShare ? 0 : 1;
      Copies += this->draw() < this->Options.DuplicateShare ? 1 : 0;
      for (int I = 0; I < Copies; ++I) {
        Duration Extra(static_cast<std::int64_t>(
            this->draw() * static_cast<double>(this->Options.Jitter.count())));
        this->Queue.emplace(this->Now + this->Options.LinkDelay + Extra,
                            Delivery{From, Each.To, Bytes});
      }
    }
  }

  std::vector<IntentSend> handle(Host &To, const Delivery &Each) {
    Stopwatch Watch(this->InHosts);
    message::IntentMessage Message;
    if (!Message.ParseFromString(Each.Bytes))
      throw std::logic_error("a message does not read back");
    return To.Tree->handle(this->Now, Each.From, Message);
  }

  void deliverFirst() {
    auto First = this->Queue.extract(this->Queue.begin());
    this->Now = std::max(this->Now, First.key());
    Delivery &Each = First.mapped();
    Host &To = this->Hosts.at(Each.To);
    if (!To.Up || !this->connected(To, this->Hosts.at(Each.From)))
      return;
    To.BytesReceived += Each.Bytes.size();
    this->sendAll(Each.To, this->handle(To, Each));
    this->check(Each.To, To);
  }

  void check(const HostName &Name, Host &Each) {
    if (!Each.InForce->ready())
      return;
    if (Each.InForce->version() < Each.MostInForce)
      throw std::logic_error(Name + " reverted from version " +
                             std::to_string(Each.MostInForce) + " to " +
                             std::to_string(Each.InForce->version()));
    if (Each.Tree->childCount() > 2 * this->Options.Shape.FanOut)
      throw std::logic_error(Name + " has too many children");
    Each.MostInForce = Each.InForce->version();
  }

  WorldOptions Options;
  std::mt19937_64 Random;
  std::multimap<TimePoint, Delivery> Queue;
  std::set<FailureDomainName> Cut;
  std::string Text;
};

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONWORLD_H
