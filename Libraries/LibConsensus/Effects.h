//===- LibConsensus/Effects.h - What a replica asks its driver to do ------===//
///
/// \file
/// Effects are carried out in order. Records are durable before any effect
/// behind them is carried out, except that a leader's own entries may be on
/// their way to its peers while they are being synced.
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

/// The next committed entry, without gaps. Entries that hold a configuration
/// change nothing in the state machine.
struct ApplyEffect {
  message::Entry Entry;
};

/// Replace the stored log and the state machine by a leader's snapshot.
struct InstallSnapshotEffect {
  message::StoredSnapshot Snapshot;
  std::vector<message::StoredRecord> Carried;
};

/// Put the state machine's state into Frame, replace the stored log by it and
/// Carried, and tell the replica.
struct TakeSnapshotEffect {
  message::StoredSnapshot Frame;
  std::vector<message::StoredRecord> Carried;
};

/// The read sees everything that it must once all effects before are done.
struct ReadReadyEffect {
  std::uint64_t Id = 0;
};

struct ReadFailedEffect {
  std::uint64_t Id = 0;
};

/// Whether open proposals get committed is no longer known here.
struct LeadershipLostEffect {};

using Effect =
    std::variant<PersistEffect, SendEffect, ApplyEffect, InstallSnapshotEffect,
                 TakeSnapshotEffect, ReadReadyEffect, ReadFailedEffect,
                 LeadershipLostEffect>;

} // namespace carobhinge

#endif // LIBCONSENSUS_EFFECTS_H
