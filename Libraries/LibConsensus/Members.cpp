//===- LibConsensus/Members.cpp - Voters and the state they claimed -------===//

#include <LibConsensus/Members.h>
#include <algorithm>

namespace carobhinge {

std::string_view voterDisk(const message::Configuration &Configuration,
                           std::string_view Host) {
  for (const message::Member &Voter : Configuration.voters())
    if (Voter.host() == Host)
      return Voter.disk();
  return {};
}

bool isVoter(const message::Configuration &Configuration, std::string_view Host,
             std::string_view Disk) {
  return !Disk.empty() && voterDisk(Configuration, Host) == Disk;
}

bool hasHost(const message::Configuration &Configuration,
             std::string_view Host) {
  const auto &Hosts = Configuration.hosts();
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

std::size_t quorum(const message::Configuration &Configuration) {
  return static_cast<std::size_t>(Configuration.voters_size()) / 2 + 1;
}

void addVoter(message::Configuration &Configuration, std::string_view Host,
              std::string_view Disk) {
  message::Member *Voter = Configuration.add_voters();
  Voter->set_host(std::string(Host));
  Voter->set_disk(std::string(Disk));
}

void removeVoter(message::Configuration &Configuration, std::string_view Host) {
  auto *Voters = Configuration.mutable_voters();
  auto NewEnd = std::remove_if(
      Voters->begin(), Voters->end(),
      [&](const message::Member &Voter) { return Voter.host() == Host; });
  Voters->erase(NewEnd, Voters->end());
}

bool equal(const message::Configuration &Left,
           const message::Configuration &Right) {
  auto IsSameMember = [](const message::Member &One,
                         const message::Member &Other) {
    return One.host() == Other.host() && One.disk() == Other.disk();
  };
  return std::equal(Left.voters().begin(), Left.voters().end(),
                    Right.voters().begin(), Right.voters().end(),
                    IsSameMember) &&
         std::equal(Left.hosts().begin(), Left.hosts().end(),
                    Right.hosts().begin(), Right.hosts().end());
}

void Claims::raise(std::string_view Host, std::string_view Disk,
                   const Claim &NewClaim) {
  Claim &Highest = this->ByMember[{std::string(Host), std::string(Disk)}];
  Highest.Term = std::max(Highest.Term, NewClaim.Term);
  if (std::pair(NewClaim.LastTerm, NewClaim.LastIndex) >
      std::pair(Highest.LastTerm, Highest.LastIndex)) {
    Highest.LastTerm = NewClaim.LastTerm;
    Highest.LastIndex = NewClaim.LastIndex;
  }
}

Claim Claims::highestClaim(std::string_view Host, std::string_view Disk) const {
  auto Found = this->ByMember.find({std::string(Host), std::string(Disk)});
  return Found == this->ByMember.end() ? Claim{} : Found->second;
}

} // namespace carobhinge
