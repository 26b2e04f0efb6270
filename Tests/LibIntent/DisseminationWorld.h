//===- Tests/LibIntent/DisseminationWorld.h - Simulated hosts and links ---===//
///
/// \file
/// Runs many Dissemination objects on a simulated clock, with links that delay,
/// drop and duplicate messages and that can be cut. Control hosts share one log
/// that is never lost. After every delivery it checks that no host's version
/// decreased.
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
  /// Number of control hosts in each domain; these are its first hosts.
  std::size_t ControlPerDomain = 1;
  TreeShape Shape = {};
  Duration LinkDelay = std::chrono::milliseconds(2);
  /// Maximum random addition to the delay; reorders messages.
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
    /// Highest version in force while ready, over all incarnations.
    std::uint64_t MaxVersionInForce = 0;
    std::uint64_t BytesSent = 0;
    std::uint64_t BytesReceived = 0;
    std::uint64_t MessagesSent = 0;
  };

  explicit DisseminationWorld(WorldOptions Configured)
      : Options(std::move(Configured)), Random(this->Options.Seed) {
    for (const FailureDomainName &Domain : this->Options.Domains)
      for (std::size_t I = 0; I < this->Options.HostsPerDomain; ++I) {
        Host &NewHost = this->Hosts[name(Domain, I)];
        NewHost.Domain = Domain;
        NewHost.Control = I < this->Options.ControlPerDomain;
      }
    for (auto &[Name, Each] : this->Hosts)
      this->start(Name);
  }

  /// Padded so that name order is number order; control hosts come first.
  static HostName name(const FailureDomainName &Domain, std::size_t I) {
    std::string Number = std::to_string(I);
    return Domain + "-" + std::string(4 - Number.size(), '0') + Number;
  }

  /// Starts a new incarnation without the state of the previous one.
  void start(const HostName &Name) {
    Host &Each = this->Hosts.at(Name);
    TreeMembers Members{.Self = Name, .Domain = {}, .OtherControl = {}};
    for (const auto &[Other, OtherHost] : this->Hosts) {
      if (OtherHost.Domain == Each.Domain)
        Members.Domain.push_back(Other);
      else if (OtherHost.Control)
        Members.OtherControl.push_back(Other);
    }
    DisseminationOptions TreeOptions;
    TreeOptions.Parents = parentCandidates(Members, this->Options.Shape);
    TreeOptions.MaxChildren = 2 * this->Options.Shape.FanOut;
    TreeOptions.DomainPeers = std::move(Members.Domain);
    std::erase(TreeOptions.DomainPeers, Name);
    Each.InForce =
        std::make_unique<IntentInForce>(InForceOptions{.Domain = Each.Domain});
    Each.Tree = std::make_unique<Dissemination>(std::move(TreeOptions),
                                                *Each.InForce, this->Now);
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

  /// Applies an operator's order on one host.
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
  /// Number of hosts that are up, ready and have the newest version.
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
  /// Real time spent in the hosts' processing and serialization, for
  /// benchmarks.
  Duration ProcessingTime{};

private:
  /// Adds the time from construction to destruction to a sum.
  class Stopwatch {
  public:
    explicit Stopwatch(Duration &Sum) : Sum(Sum), StartedAt(monotonicNow()) {}
    ~Stopwatch() { this->Sum += monotonicNow() - this->StartedAt; }
    Stopwatch(const Stopwatch &) = delete;
    Stopwatch &operator=(const Stopwatch &) = delete;

  private:
    Duration &Sum;
    TimePoint StartedAt;
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

  std::vector<OutgoingIntentMessage> tick(Host &Each) {
    Stopwatch Timer(this->ProcessingTime);
    return Each.Tree->tick(this->Now);
  }

  /// The leader is the last control host that is up and not cut off. Only its
  /// reads of the log are linearizable.
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

  std::string encoded(const OutgoingIntentMessage &Each) {
    Stopwatch Timer(this->ProcessingTime);
    return Each.Message.SerializeAsString();
  }

  void sendAll(const HostName &From,
               const std::vector<OutgoingIntentMessage> &Sends) {
    Host &Sender = this->Hosts.at(From);
    for (const OutgoingIntentMessage &Each : Sends) {
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

  std::vector<OutgoingIntentMessage> handle(Host &To, const Delivery &Each) {
    Stopwatch Timer(this->ProcessingTime);
    message::IntentMessage Message;
    if (!Message.ParseFromString(Each.Bytes))
      throw std::logic_error("a serialized message cannot be read back");
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
    if (Each.InForce->version() < Each.MaxVersionInForce)
      throw std::logic_error(Name + " reverted from version " +
                             std::to_string(Each.MaxVersionInForce) + " to " +
                             std::to_string(Each.InForce->version()));
    if (Each.Tree->childCount() > 2 * this->Options.Shape.FanOut)
      throw std::logic_error(Name + " has too many children");
    Each.MaxVersionInForce = Each.InForce->version();
  }

  WorldOptions Options;
  std::mt19937_64 Random;
  std::multimap<TimePoint, Delivery> Queue;
  std::set<FailureDomainName> Cut;
  std::string Text;
};

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONWORLD_H
