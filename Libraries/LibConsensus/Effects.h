//===- LibConsensus/Effects.h - Actions a replica requests from its driver ===//
///
/// \file
/// Effects are executed in order. Records must be durable before any later
/// effect is executed, with one exception: a leader may send its own entries
/// to its peers while it syncs them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_EFFECTS_H
#define LIBCONSENSUS_EFFECTS_H

#include <LibConsensus/Consensus.pb.h>
#include <LibCore/Names.h>
#include <cstdint>
#include <variant>
#include <vector>

namespace carobhinge {

struct PersistEffect {
  message::StoredRecord Record;
};

struct SendEffect {
  HostName To;
  message::ConsensusMessage Message;
};

/// Applies the next committed entry; indexes have no gaps. Entries that hold a
/// configuration do not change the state machine.
struct ApplyEffect {
  message::Entry Entry;
};

/// Replaces the stored log and the state machine with a leader's snapshot.
struct InstallSnapshotEffect {
  message::StoredSnapshot Snapshot;
  std::vector<message::StoredRecord> RetainedRecords;
};

/// Adds the state machine's state to Metadata, replaces the stored log with the
/// resulting snapshot and RetainedRecords, and calls
/// Replica::onSnapshotTaken().
struct TakeSnapshotEffect {
  message::StoredSnapshot Metadata;
  std::vector<message::StoredRecord> RetainedRecords;
};

/// The read may be served once all earlier effects have been executed.
struct ReadReadyEffect {
  std::uint64_t Id = 0;
};

struct ReadFailedEffect {
  std::uint64_t Id = 0;
};

/// The outcome of open proposals is unknown: another leader may commit them.
struct LeadershipLostEffect {};

using Effect =
    std::variant<PersistEffect, SendEffect, ApplyEffect, InstallSnapshotEffect,
                 TakeSnapshotEffect, ReadReadyEffect, ReadFailedEffect,
                 LeadershipLostEffect>;

} // namespace carobhinge

#endif // LIBCONSENSUS_EFFECTS_H
