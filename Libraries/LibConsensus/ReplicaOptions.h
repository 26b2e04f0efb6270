//===- LibConsensus/ReplicaOptions.h - Timings and bounds of a replica ----===//
///
/// \file
/// The settings of a replica and its possible roles.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICAOPTIONS_H
#define LIBCONSENSUS_REPLICAOPTIONS_H

#include <LibCore/Findings.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace carobhinge {

enum class Role {
  /// Has not joined the log yet and cannot tell yet whether the log exists.
  Blank,
  /// Receives the log but does not vote.
  Learner,
  Follower,
  /// Runs a pre-vote, which determines whether it could win an election without
  /// starting a new term.
  PreCandidate,
  Candidate,
  Leader,
};

struct ReplicaTimings {
  Duration Heartbeat = std::chrono::milliseconds(100);
  /// A follower that received a leader's message more recently than this grants
  /// no vote.
  Duration MinElectionTimeout = std::chrono::milliseconds(1000);
  Duration MaxElectionTimeout = std::chrono::milliseconds(2000);
  /// Maximum rate error of a monotonic clock, as a fraction: 0.02 is 2 %.
  double ClockDrift = 0.02;

  /// Time for which a leader may act after a quorum acknowledged it. A follower
  /// whose clock runs fast may see MinElectionTimeout pass early, and a leader
  /// whose clock runs slow notices late; this is the shortest such time by the
  /// leader's clock.
  [[nodiscard]] Duration lease() const {
    double Share = (1 - this->ClockDrift) / (1 + this->ClockDrift);
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(this->MinElectionTimeout.count()) * Share));
  }
};

struct ReplicaBounds {
  std::uint64_t EntriesPerMessage = 512;
  std::uint64_t BytesPerMessage = 512U << 10U;
  /// Entries in flight to one peer.
  std::uint64_t EntriesInFlight = 4096;
  /// Bytes in flight to one peer; a single message may exceed this limit.
  std::uint64_t BytesInFlight = 4U << 20U;
  /// Uncommitted entries at which a leader rejects further proposals.
  std::uint64_t EntriesUncommitted = 16384;
  std::uint64_t SnapshotChunkBytes = 256U << 10U;
  /// A snapshot is taken after at least this many entries ...
  std::uint64_t SnapshotEntries = 1000;
  /// ... once their size is at least this fraction of the last snapshot's size.
  double SnapshotSizeRatio = 0.25;
  /// Entries before a snapshot that stay in memory, so that peers that lag
  /// slightly do not need the snapshot.
  std::uint64_t RetainedEntries = 1000;
  /// Events that are handled together and made durable by one sync.
  std::uint64_t ProposalsPerBatch = 512;
};

/// Called with the name of each step: "message handled", "record persisted",
/// "effect sent".
using StepObserver = std::function<void(std::string_view Step)>;

/// Called for each message that was refused, with the sender as it named
/// itself.
using RefusalObserver =
    std::function<void(const HostName &From, const Findings &Found)>;

struct ReplicaOptions {
  std::uint32_t Log = 0;
  HostName Self;
  std::vector<HostName> Voters;
  ReplicaTimings Timings = {};
  ReplicaBounds Bounds = {};
  /// Seeds election timeouts and new disk identities, so it must differ in each
  /// incarnation of a host.
  std::uint64_t Seed = 0;
  StepObserver Observer = {};
  RefusalObserver OnRefused = {};
  /// Whether the state machine takes a leader's snapshot; all if empty.
  std::function<bool(std::string_view State)> CanRestore = {};
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICAOPTIONS_H
