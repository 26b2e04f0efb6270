//===- LibConsensus/Members.h - Voters and the state they have claimed ----===//
///
/// \file
/// Helpers for configurations, and a record of the highest state that each
/// member is known to have claimed. A member whose disk holds less than it once
/// claimed has lost data that other members rely on.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_MEMBERS_H
#define LIBCONSENSUS_MEMBERS_H

#include <LibConsensus/Consensus.pb.h>
#include <LibCore/Names.h>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace carobhinge {

/// The disk identity of the voter on \p Host; empty if there is none.
std::string_view voterDisk(const message::Configuration &Configuration,
                           std::string_view Host);

bool isVoter(const message::Configuration &Configuration, std::string_view Host,
             std::string_view Disk);

bool hasHost(const message::Configuration &Configuration,
             std::string_view Host);

/// The number of voters that form a majority.
std::size_t quorum(const message::Configuration &Configuration);

void addVoter(message::Configuration &Configuration, std::string_view Host,
              std::string_view Disk);

void removeVoter(message::Configuration &Configuration, std::string_view Host);

/// \returns whether both hold the same voters and hosts in the same order.
bool equal(const message::Configuration &Left,
           const message::Configuration &Right);

/// The state that a member claimed: its term and the end of its log, compared
/// by term first, as in an election.
struct Claim {
  std::uint64_t Term = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t LastIndex = 0;

  /// \returns whether a disk that holds \p DiskState has lost part of the
  /// claimed state.
  [[nodiscard]] bool exceeds(const Claim &DiskState) const {
    return this->Term > DiskState.Term ||
           std::pair(this->LastTerm, this->LastIndex) >
               std::pair(DiskState.LastTerm, DiskState.LastIndex);
  }
};

class Claims {
public:
  /// Raises the recorded claim of the member to at least \p NewClaim.
  void raise(std::string_view Host, std::string_view Disk,
             const Claim &NewClaim);
  [[nodiscard]] Claim highestClaim(std::string_view Host,
                                   std::string_view Disk) const;

private:
  std::map<std::pair<std::string, std::string>, Claim> ByMember;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_MEMBERS_H
