//===- Tests/State/StateWorld.cpp - Hosts and faults of the state world ---===//
///
/// \file
/// Simulates hosts and faults and checks the invariants. StateVerbs.cpp
/// implements the verbs.
///
//===----------------------------------------------------------------------===//

#include "StateWorld.h"

#include <LibCore/Hash.h>
#include <array>

namespace carobhinge::state {

/// The wall clock at the start of the simulation: 2026-12-01, in milliseconds
/// since the epoch.
constexpr std::int64_t StartMs = 20'788LL * 86'400'000;
/// The clocks of the cluster and the network advance alternately by this step.
constexpr Duration ClockStep = std::chrono::milliseconds(5);

static const std::vector<HostName> Voters = {"a1", "b1", "c1"};

std::span<const HostName> StateWorld::hosts() {
  static const std::array<HostName, 5> Hosts = {"a1", "b1", "c1", "a2", "b2"};
  return Hosts;
}

StateWorld::StateWorld(std::uint64_t Seed)
    : Cluster({.Hosts = Voters, .Seed = Seed}), Network(Cluster, Seed + 1),
      Control(Cluster, Network, Voters, StartMs),
      Environment{.Control = this->Control,
                  .Network = this->Network,
                  .Records = this->Records,
                  .Hook = [this](const HostName &Host, std::string_view Step) {
                    return this->endsAtStep(Host, Step);
                  }} {
  this->Cluster.Hook = [this](const HostName &Host, std::string_view Step) {
    if (this->Hook && this->Hook(Host, Step)) {
      this->EndingHosts.insert(Host);
      throw PowerCut();
    }
  };
  for (const HostName &Host : hosts()) {
    this->EntryHosts[Host] = std::make_unique<EntryHost>(
        this->Environment, Host, ++this->Incarnations[Host]);
    this->IsRunning[Host] = true;
    this->EntryHosts[Host]->start();
  }
}

bool StateWorld::endsAtStep(const HostName &Host, std::string_view Step) {
  if (this->EndingHosts.contains(Host))
    return true;
  if (!this->Hook || !this->Hook(Host, Step))
    return false;
  this->EndingHosts.insert(Host);
  return true;
}

void StateWorld::advance(Duration Interval) {
  Duration End = this->Network.now() + Interval;
  while (this->Network.now() < End) {
    Duration Step = std::min(ClockStep, End - this->Network.now());
    this->Cluster.advance(Step);
    this->Control.poll();
    this->Network.runUntil(this->Network.now() + Step);
    for (const HostName &Host : std::exchange(this->EndingHosts, {}))
      this->kill(Host);
  }
}

void StateWorld::kill(const HostName &Host) {
  if (!this->IsRunning[Host])
    return;
  this->IsRunning[Host] = false;
  this->Network.endIncarnation(Host);
  this->EndedHosts.push_back(std::move(this->EntryHosts[Host]));
  for (auto &[Name, Record] : this->Records.Requests)
    if (Record.Host == Host && Record.Result == "open")
      Record.Result = "cut";
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.kill(Host);
}

void StateWorld::restart(const HostName &Host) {
  this->kill(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.restart(Host);
  this->IsRunning[Host] = true;
  this->EntryHosts[Host] = std::make_unique<EntryHost>(
      this->Environment, Host, ++this->Incarnations[Host]);
  this->EntryHosts[Host]->start();
}

void StateWorld::loseDisk(const HostName &Host) {
  this->kill(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.disk(Host).restore({});
}

void StateWorld::freeze(const HostName &Host) {
  this->Network.freeze(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.freeze(Host);
}

void StateWorld::thaw(const HostName &Host) {
  this->Network.thaw(Host);
  if (std::ranges::count(Voters, Host) > 0 && this->Cluster.isRunning(Host))
    this->Cluster.thaw(Host);
}

void StateWorld::cut(const HostName &Host, const HostName &Other, bool Cut) {
  this->Cluster.link(Host, Other).Cut = Cut;
  this->Cluster.link(Other, Host).Cut = Cut;
}

std::optional<std::string> StateWorld::brokenInvariant() {
  if (!this->Records.Violations.empty())
    return this->Records.Violations.front();
  if (auto Violation = this->Control.violatedInvariant())
    return Violation;
  this->checkAcceptedVersions();
  if (!this->Records.Violations.empty())
    return this->Records.Violations.front();
  return std::nullopt;
}

void StateWorld::checkAcceptedVersions() {
  for (const auto &[Name, Record] : this->Records.Requests) {
    if (!Record.IsChange || Record.Result != "accepted")
      continue;
    auto [Existing, Inserted] =
        this->AcceptedTexts.emplace(Record.Version, Record.Content);
    if (!Inserted && Existing->second != Record.Content)
      this->Records.Violations.push_back("two texts accepted as version " +
                                         std::to_string(Record.Version));
  }
  if (this->AcceptedTexts.empty())
    return;
  std::map<std::uint64_t, std::string> Digests;
  for (const auto &Entry : this->Control.mostAdvancedState().intent().history())
    Digests[Entry.version()] = Entry.digest();
  for (const auto &[Version, Text] : this->AcceptedTexts)
    if (Digests[Version] != digest(Text))
      this->Records.Violations.push_back("accepted version " +
                                         std::to_string(Version) + " was lost");
}

} // namespace carobhinge::state
