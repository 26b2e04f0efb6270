//===- LibFormation/GroupStalls.cpp - Groups that stand still -------------===//

#include <LibFormation/GroupStalls.h>

namespace carobhinge {

void GroupStalls::recordWork(TimePoint Now, const GroupName &Name,
                             std::uint64_t Epoch, const HostName &Host,
                             bool IsSilent) {
  Group &Entry = this->Groups[Name];
  if (Entry.Epoch != Epoch)
    Entry = {.Epoch = Epoch, .Hosts = {}};
  Statement &Latest = Entry.Hosts[Host];
  // After a gap the host may have had events meanwhile.
  if (!IsSilent || Now - Latest.ReportedAt > this->Options.MaxReportAge)
    Latest.SilentSince.reset();
  if (IsSilent && !Latest.SilentSince)
    Latest.SilentSince = Now;
  Latest.ReportedAt = Now;
}

void GroupStalls::recordIdle(const GroupName &Name, const HostName &Host) {
  auto Found = this->Groups.find(Name);
  if (Found != this->Groups.end())
    Found->second.Hosts.erase(Host);
}

bool GroupStalls::isStandingStill(TimePoint Now, const GroupName &Name,
                                  std::uint64_t Epoch) const {
  auto Found = this->Groups.find(Name);
  if (Found == this->Groups.end() || Found->second.Epoch != Epoch ||
      !this->mostSendEvents(Now))
    return false;
  std::size_t SilentHosts = 0;
  for (const auto &[Host, Latest] : Found->second.Hosts) {
    if (Now - Latest.ReportedAt > this->Options.MaxReportAge)
      continue;
    if (!Latest.SilentSince || Now - *Latest.SilentSince < EndingSilence)
      return false;
    ++SilentHosts;
  }
  return SilentHosts >= this->Options.MinHosts;
}

bool GroupStalls::mostSendEvents(TimePoint Now) const {
  std::size_t Sending = 0;
  std::size_t Silent = 0;
  for (const auto &[Name, Entry] : this->Groups) {
    bool HasStatement = false;
    bool SendsEvents = false;
    for (const auto &[Host, Latest] : Entry.Hosts) {
      bool IsFresh = Now - Latest.ReportedAt <= this->Options.MaxReportAge;
      HasStatement = HasStatement || IsFresh;
      SendsEvents = SendsEvents || (IsFresh && !Latest.SilentSince);
    }
    Sending += SendsEvents ? 1 : 0;
    Silent += HasStatement && !SendsEvents ? 1 : 0;
  }
  return Sending >= Silent;
}

void GroupStalls::removeExpired(TimePoint Now) {
  for (auto &[Name, Entry] : this->Groups)
    std::erase_if(Entry.Hosts, [&](const auto &Each) {
      return Now - Each.second.ReportedAt > this->Options.MaxReportAge;
    });
  std::erase_if(this->Groups,
                [](const auto &Entry) { return Entry.second.Hosts.empty(); });
}

} // namespace carobhinge
