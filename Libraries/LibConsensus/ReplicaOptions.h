//===- LibConsensus/ReplicaOptions.h - Timings and bounds of a replica ----===//
///
/// \file
/// What a replica is told when it is made, and the roles that it can have.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICAOPTIONS_H
#define LIBCONSENSUS_REPLICAOPTIONS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace carobhinge {

enum class Role {
  /// Has taken no part yet and doesn't know whether the log exists.
  Blank,
  /// Receives the log and never votes.
  Learner,
  Follower,
  /// Asks whether an election could be won, without a new term.
  PreCandidate,
  Candidate,
  Leader,
};

struct ReplicaTimings {
  Duration Heartbeat = std::chrono::milliseconds(100);
  /// A follower that heard a leader less than this ago votes for nobody.
  Duration ElectionLeast = std::chrono::milliseconds(1000);
  Duration ElectionMost = std::chrono::milliseconds(2000);
  /// By which share a monotonic clock may run fast or slow.
  double ClockDrift = 0.02;

  /// How long a leader may act after a quorum heard it: the shortest time, by
  /// a clock that runs slow, in which a follower whose clock runs fast sees
  /// ElectionLeast pass.
  [[nodiscard]] Duration lease() const {
    double Share = (1 - this->ClockDrift) / (1 + this->ClockDrift);
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(this->ElectionLeast.count()) * Share));
  }
};

struct ReplicaBounds {
  std::uint64_t EntriesPerMessage = 512;
  std::uint64_t BytesPerMessage = 512U << 10U;
  /// Entries on their way to one peer.
  std::uint64_t EntriesInFlight = 4096;
  /// Bytes on their way to one peer; one message may go beyond.
  std::uint64_t BytesInFlight = 4U << 20U;
  /// Entries that a leader holds uncommitted before it refuses proposals.
  std::uint64_t EntriesUncommitted = 16384;
  std::uint64_t SnapshotChunkBytes = 256U << 10U;
  /// A snapshot is due after this many entries ...
  std::uint64_t SnapshotEntries = 1000;
  /// ... once they weigh this share of the last snapshot.
  double SnapshotShare = 0.25;
  /// Entries kept in memory behind a snapshot for peers that lag a little.
  std::uint64_t EntriesKept = 1000;
  /// Proposals made durable together.
  std::uint64_t ProposalsPerBatch = 512;
};

/// Called with the name of each step: "message handled", "record persisted",
/// "effect sent".
using StepObserver = std::function<void(std::string_view Step)>;

struct ReplicaOptions {
  std::uint32_t Log = 0;
  HostName Self;
  std::vector<HostName> Voters;
  ReplicaTimings Timings = {};
  ReplicaBounds Bounds = {};
  /// Election timeouts and new disk identities come from it, so it must be
  /// another one in each life of a host.
  std::uint64_t Seed = 0;
  StepObserver Observer = {};
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICAOPTIONS_H
