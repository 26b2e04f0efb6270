//===- LibConsensus/MessageCheck.h - Which messages a replica takes -------===//
///
/// \file
/// Decides whether a message of a peer may reach the state of a replica. Any
/// host can send anything to the port between hosts; what no sound replica
/// sends is refused before it changes a term, a vote or the log. Such a message
/// may come to all replicas of a log at once.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_MESSAGECHECK_H
#define LIBCONSENSUS_MESSAGECHECK_H

#include <LibConsensus/MemoryLog.h>
#include <LibCore/Findings.h>
#include <LibCore/Names.h>
#include <functional>

namespace carobhinge {

class MessageCheck {
public:
  /// Terms and indexes above this are refused, so that none of those that
  /// follow starts again at zero.
  static constexpr std::uint64_t MaxNumber = std::uint64_t(1) << 62U;
  /// Wall clock in milliseconds; the same for times added to it.
  static constexpr std::int64_t MaxStampMs = std::int64_t(1) << 62U;
  /// No protobuf message is longer.
  static constexpr std::uint64_t MaxSnapshotBytes = 0x7fffffff;
  /// Findings past this number are left out.
  static constexpr std::size_t MaxFindings = 8;

  /// Checks \p Message by itself. \p From is the sender as it named itself.
  void checkMessage(const HostName &From,
                    const message::ConsensusMessage &Message);

  /// Checks a message that checkMessage() has passed against committed entries,
  /// which are the same on all replicas. \p Term is the term of the replica; a
  /// leader of an earlier one may know less.
  void checkCommitted(const MemoryLog &Log, std::uint64_t CommitIndex,
                      std::uint64_t Term,
                      const message::ConsensusMessage &Message);

  /// Checks the whole snapshot whose last chunk was \p Chunk. \p CanRestore
  /// tells whether the state machine takes a state; all if empty.
  void
  checkSnapshot(const message::StoredSnapshot &Snapshot,
                const message::SnapshotChunk &Chunk,
                const std::function<bool(std::string_view State)> &CanRestore);
  /// The bytes of all chunks are no snapshot.
  void addUnreadableSnapshot();

  [[nodiscard]] bool passed() const { return this->Found.empty(); }
  /// Locations are JSON pointers into the message.
  [[nodiscard]] const Findings &findings() const { return this->Found; }

private:
  void checkHello(const message::ConsensusMessage &Message);
  void checkVote(const message::ConsensusMessage &Message);
  void checkVoteReply(const message::ConsensusMessage &Message);
  void checkAppend(const message::ConsensusMessage &Message);
  void checkEntries(const message::ConsensusMessage &Message);
  void checkAppendReply(const message::ConsensusMessage &Message);
  void checkSnapshotChunk(const message::ConsensusMessage &Message);
  void checkSnapshotReply(const message::ConsensusMessage &Message);
  void checkTimeoutNow(const message::ConsensusMessage &Message);
  void checkClaim(std::string_view Place, const message::Promise &Claim);
  void checkConfiguration(std::string_view Place,
                          const message::Configuration &Configuration);
  void checkCommittedTerm(const MemoryLog &Log, std::uint64_t CommitIndex,
                          std::string_view Place, std::uint64_t Index,
                          std::uint64_t Term);

  void expectBetween(std::string_view Place, std::uint64_t Value,
                     std::uint64_t Least, std::uint64_t Most);
  void add(std::string_view Place, std::string_view Expected,
           std::string_view Value);

  Findings Found;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_MESSAGECHECK_H
