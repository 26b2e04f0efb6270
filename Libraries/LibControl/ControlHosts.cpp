//===- LibControl/ControlHosts.cpp - Discovery of control hosts -----------===//

#include <LibControl/ControlHosts.h>
#include <algorithm>
#include <limits>
#include <set>

namespace carobhinge {

bool ControlHosts::addHost(TimePoint Now, const HostName &Host) {
  if (Host == this->Self)
    return false;
  auto [Found, Inserted] = this->Hosts.try_emplace(Host);
  if (Inserted)
    Found->second.AddedAt = Now;
  return Inserted;
}

void ControlHosts::recordContact(TimePoint Now, const HostName &Host,
                                 const FailureDomainName &Domain,
                                 bool Stopping) {
  this->addHost(Now, Host);
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end())
    return;
  Found->second.Domain = Domain;
  Found->second.LastContactAt = Now;
  Found->second.Stopping = Stopping;
}

void ControlHosts::removeExpired(TimePoint Now) {
  std::erase_if(this->Hosts, [&](const auto &Entry) {
    TimePoint LastSeenAt =
        Entry.second.LastContactAt.value_or(Entry.second.AddedAt);
    return Now - LastSeenAt > this->Options.ExpireAfter;
  });
}

std::vector<HostName> ControlHosts::allHosts() const {
  std::vector<HostName> Names{this->Self};
  for (const auto &[Host, Entry] : this->Hosts)
    Names.push_back(Host);
  return Names;
}

bool ControlHosts::isReachable(TimePoint Now, const HostName &Host) const {
  if (Host == this->Self)
    return !this->IsStopping;
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && Found->second.LastContactAt &&
         !Found->second.Stopping &&
         Now - *Found->second.LastContactAt < this->Options.VoterTimeout;
}

/// \returns whether the host was added so recently that its first message may
/// still come.
bool ControlHosts::isAwaitingContact(TimePoint Now,
                                     const HostName &Host) const {
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && !Found->second.LastContactAt &&
         Now - Found->second.AddedAt < this->Options.VoterTimeout;
}

FailureDomainName ControlHosts::findDomain(const HostName &Host) const {
  if (Host == this->Self)
    return this->Domain;
  auto Found = this->Hosts.find(Host);
  return Found == this->Hosts.end() ? FailureDomainName()
                                    : Found->second.Domain;
}

std::optional<std::vector<HostName>>
ControlHosts::chooseVoters(TimePoint Now, std::span<const HostName> Current,
                           const FaultTolerance &Tolerance) const {
  auto VoterCount =
      static_cast<std::size_t>(2 * std::max(Tolerance.Hosts, 1) + 1);
  std::set<HostName> Candidates;
  for (const HostName &Host : this->allHosts())
    if (this->isReachable(Now, Host))
      Candidates.insert(Host);
  std::vector<HostName> Chosen;
  std::map<FailureDomainName, int> VotersPerDomain;
  auto AddVoter = [&](const HostName &Host) {
    Chosen.push_back(Host);
    ++VotersPerDomain[this->findDomain(Host)];
    Candidates.erase(Host);
  };
  // A voter that has sent nothing yet may have started just now, as this host.
  for (const HostName &Host : Current)
    if ((Candidates.contains(Host) || this->isAwaitingContact(Now, Host)) &&
        Chosen.size() < VoterCount)
      AddVoter(Host);
  while (Chosen.size() < VoterCount && !Candidates.empty()) {
    auto Best =
        std::ranges::min_element(Candidates, {}, [&](const HostName &Host) {
          auto Found = VotersPerDomain.find(this->findDomain(Host));
          return Found == VotersPerDomain.end() ? 0 : Found->second;
        });
    AddVoter(HostName(*Best));
  }
  // Unreachable voters stay as long as no other host can replace them.
  for (const HostName &Host : Current)
    if (Chosen.size() < VoterCount &&
        std::ranges::find(Chosen, Host) == Chosen.end())
      Chosen.push_back(Host);
  // An even number tolerates no more failures than the odd one below it.
  if (Chosen.size() % 2 == 0 && Chosen.size() > Current.size())
    Chosen.pop_back();
  std::ranges::sort(Chosen);
  std::vector<HostName> Sorted(Current.begin(), Current.end());
  std::ranges::sort(Sorted);
  if (Chosen == Sorted || Chosen.size() < Sorted.size())
    return std::nullopt;
  return Chosen;
}

std::optional<std::vector<HostName>>
ControlHosts::chooseRequest(TimePoint Now, std::span<const HostName> Current,
                            std::span<const HostName> Requested,
                            const FaultTolerance &Tolerance) const {
  auto Chosen = this->chooseVoters(Now, Current, Tolerance);
  // All voters should stay, so a replacement that has not begun is abandoned.
  // With more or fewer voters than requested, it has begun.
  if (!Chosen && Current.size() == Requested.size()) {
    Chosen.emplace(Current.begin(), Current.end());
    std::ranges::sort(*Chosen);
  }
  std::vector<HostName> Sorted(Requested.begin(), Requested.end());
  std::ranges::sort(Sorted);
  if (Chosen == Sorted)
    return std::nullopt;
  return Chosen;
}

bool ControlHosts::hasSuccessor(TimePoint Now,
                                std::span<const HostName> Voters) const {
  return std::ranges::any_of(this->Hosts, [&](const auto &Entry) {
    return this->isReachable(Now, Entry.first) &&
           std::ranges::find(Voters, Entry.first) == Voters.end();
  });
}

} // namespace carobhinge
