//===- LibControl/ControlHosts.cpp - Which control hosts there are --------===//

#include <LibControl/ControlHosts.h>
#include <algorithm>
#include <limits>
#include <set>

namespace carobhinge {

bool ControlHosts::learn(TimePoint Now, const HostName &Host) {
  if (Host == this->Self)
    return false;
  auto [Found, New] = this->Hosts.try_emplace(Host);
  if (New)
    Found->second.ToldAt = Now;
  return New;
}

void ControlHosts::heard(TimePoint Now, const HostName &Host,
                         const FailureDomainName &Domain) {
  this->learn(Now, Host);
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end())
    return;
  Found->second.Domain = Domain;
  Found->second.HeardAt = Now;
}

void ControlHosts::forget(TimePoint Now) {
  std::erase_if(this->Hosts, [&](const auto &Entry) {
    TimePoint Last = Entry.second.HeardAt.value_or(Entry.second.ToldAt);
    return Now - Last > this->Options.Forget;
  });
}

std::vector<HostName> ControlHosts::known() const {
  std::vector<HostName> Names{this->Self};
  for (const auto &[Host, Entry] : this->Hosts)
    Names.push_back(Host);
  return Names;
}

bool ControlHosts::isAlive(TimePoint Now, const HostName &Host) const {
  if (Host == this->Self)
    return true;
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && Found->second.HeardAt &&
         Now - *Found->second.HeardAt < this->Options.VoterSilence;
}

/// Whether it is too early to tell if the host is silent.
bool ControlHosts::isUnknown(TimePoint Now, const HostName &Host) const {
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && !Found->second.HeardAt &&
         Now - Found->second.ToldAt < this->Options.VoterSilence;
}

FailureDomainName ControlHosts::domainOf(const HostName &Host) const {
  if (Host == this->Self)
    return this->Domain;
  auto Found = this->Hosts.find(Host);
  return Found == this->Hosts.end() ? FailureDomainName()
                                    : Found->second.Domain;
}

std::optional<std::vector<HostName>>
ControlHosts::chooseVoters(TimePoint Now, std::span<const HostName> Current,
                           const FaultsBorne &Borne) const {
  auto Wanted = static_cast<std::size_t>(2 * std::max(Borne.Hosts, 1) + 1);
  std::set<HostName> Candidates;
  for (const HostName &Host : this->known())
    if (this->isAlive(Now, Host))
      Candidates.insert(Host);
  std::vector<HostName> Chosen;
  std::map<FailureDomainName, int> InDomain;
  auto Take = [&](const HostName &Host) {
    Chosen.push_back(Host);
    ++InDomain[this->domainOf(Host)];
    Candidates.erase(Host);
  };
  // A voter that was only told of so far may be as new as this host.
  for (const HostName &Host : Current)
    if ((Candidates.contains(Host) || this->isUnknown(Now, Host)) &&
        Chosen.size() < Wanted)
      Take(Host);
  while (Chosen.size() < Wanted && !Candidates.empty()) {
    auto Best =
        std::ranges::min_element(Candidates, {}, [&](const HostName &Host) {
          auto Found = InDomain.find(this->domainOf(Host));
          return Found == InDomain.end() ? 0 : Found->second;
        });
    Take(HostName(*Best));
  }
  // Silent voters keep their place as long as nobody else can take it.
  for (const HostName &Host : Current)
    if (Chosen.size() < Wanted &&
        std::ranges::find(Chosen, Host) == Chosen.end())
      Chosen.push_back(Host);
  // An even number bears no more losses than the odd one below it.
  if (Chosen.size() % 2 == 0 && Chosen.size() > Current.size())
    Chosen.pop_back();
  std::ranges::sort(Chosen);
  std::vector<HostName> Sorted(Current.begin(), Current.end());
  std::ranges::sort(Sorted);
  if (Chosen == Sorted || Chosen.size() < Sorted.size())
    return std::nullopt;
  return Chosen;
}

} // namespace carobhinge
