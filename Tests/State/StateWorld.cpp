//===- Tests/State/StateWorld.cpp - The state world's time and faults -----===//
///
/// \file
/// Hosts, faults and invariants. The verbs stand in StateVerbs.cpp.
///
//===----------------------------------------------------------------------===//

#include "StateWorld.h"

#include <LibCore/Hash.h>
#include <array>

namespace carobhinge::state {

/// The wall clock of the first moment: 2026-12-01.
constexpr std::int64_t StartMs = 20'788LL * 86'400'000;
/// The two clocks of cluster and wire are turned in turns of this length.
constexpr Duration Turn = std::chrono::milliseconds(5);

static const std::vector<HostName> Voters = {"a1", "b1", "c1"};

std::span<const HostName> StateWorld::hosts() {
  static const std::array<HostName, 5> Hosts = {"a1", "b1", "c1", "a2", "b2"};
  return Hosts;
}

StateWorld::StateWorld(std::uint64_t Seed)
    : Cluster({.Hosts = Voters, .Seed = Seed}), Wires(Cluster, Seed + 1),
      Control(Cluster, Wires, Voters, StartMs),
      Around{.Control = this->Control,
             .Wires = this->Wires,
             .Real = this->Real,
             .Hook = [this](const HostName &Host, std::string_view Step) {
               return this->atStep(Host, Step);
             }} {
  this->Cluster.Hook = [this](const HostName &Host, std::string_view Step) {
    if (this->Hook && this->Hook(Host, Step)) {
      this->Dying.insert(Host);
      throw PowerCut();
    }
  };
  for (const HostName &Host : hosts()) {
    this->Entries[Host] =
        std::make_unique<EntryHost>(this->Around, Host, ++this->Lives[Host]);
    this->Alive[Host] = true;
    this->Entries[Host]->start();
  }
}

bool StateWorld::atStep(const HostName &Host, std::string_view Step) {
  if (this->Dying.contains(Host))
    return true;
  if (!this->Hook || !this->Hook(Host, Step))
    return false;
  this->Dying.insert(Host);
  return true;
}

void StateWorld::advance(Duration Passed) {
  Duration End = this->Wires.now() + Passed;
  while (this->Wires.now() < End) {
    Duration Next = std::min(Turn, End - this->Wires.now());
    this->Cluster.advance(Next);
    this->Control.poll();
    this->Wires.runUntil(this->Wires.now() + Next);
    for (const HostName &Host : std::exchange(this->Dying, {}))
      this->kill(Host);
  }
}

void StateWorld::kill(const HostName &Host) {
  if (!this->Alive[Host])
    return;
  this->Alive[Host] = false;
  this->Wires.endLife(Host);
  this->Ended.push_back(std::move(this->Entries[Host]));
  for (auto &[Name, Told] : this->Real.Stories)
    if (Told.Host == Host && Told.Result == "open")
      Told.Result = "cut";
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.kill(Host);
}

void StateWorld::restart(const HostName &Host) {
  this->kill(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.restart(Host);
  this->Alive[Host] = true;
  this->Entries[Host] =
      std::make_unique<EntryHost>(this->Around, Host, ++this->Lives[Host]);
  this->Entries[Host]->start();
}

void StateWorld::loseDisk(const HostName &Host) {
  this->kill(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.disk(Host).restore({});
}

void StateWorld::freeze(const HostName &Host) {
  this->Wires.freeze(Host);
  if (std::ranges::count(Voters, Host) > 0)
    this->Cluster.freeze(Host);
}

void StateWorld::thaw(const HostName &Host) {
  this->Wires.thaw(Host);
  if (std::ranges::count(Voters, Host) > 0 && this->Cluster.alive(Host))
    this->Cluster.thaw(Host);
}

void StateWorld::cut(const HostName &Host, const HostName &Other, bool Cut) {
  this->Cluster.link(Host, Other).Cut = Cut;
  this->Cluster.link(Other, Host).Cut = Cut;
}

std::optional<std::string> StateWorld::brokenInvariant() {
  if (!this->Real.Violations.empty())
    return this->Real.Violations.front();
  if (auto Broken = this->Control.broken())
    return Broken;
  this->checkAccepted();
  if (!this->Real.Violations.empty())
    return this->Real.Violations.front();
  return std::nullopt;
}

void StateWorld::checkAccepted() {
  for (const auto &[Name, Told] : this->Real.Stories) {
    if (!Told.IsChange || Told.Result != "accepted")
      continue;
    auto [Known, Fresh] =
        this->AcceptedTexts.emplace(Told.Version, Told.Content);
    if (!Fresh && Known->second != Told.Content)
      this->Real.Violations.push_back("two texts accepted as version " +
                                      std::to_string(Told.Version));
  }
  if (this->AcceptedTexts.empty())
    return;
  std::map<std::uint64_t, std::string> Digests;
  for (const auto &Entry : this->Control.newest().intent().history())
    Digests[Entry.version()] = Entry.digest();
  for (const auto &[Version, Text] : this->AcceptedTexts)
    if (Digests[Version] != digest(Text))
      this->Real.Violations.push_back("accepted version " +
                                      std::to_string(Version) + " was lost");
}

} // namespace carobhinge::state
