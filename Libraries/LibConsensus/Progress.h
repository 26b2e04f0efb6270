//===- LibConsensus/Progress.h - Replication progress of a peer -----------===//
///
/// \file
/// A leader's view of one peer: how far its log matches and which messages are
/// in flight.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_PROGRESS_H
#define LIBCONSENSUS_PROGRESS_H

#include <LibCore/Time.h>
#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace carobhinge {

/// A message with entries that the peer has not acknowledged yet.
struct InFlightAppend {
  std::uint64_t LastIndex = 0;
  std::uint64_t Entries = 0;
  std::uint64_t Bytes = 0;
};

struct Progress {
  /// The disk identity of the peer that the other members refer to.
  std::string Disk = {};
  /// The peer's durable log equals the leader's up to this index. Below Next.
  std::uint64_t Match = 0;
  /// Index of the next entry to send.
  std::uint64_t Next = 1;
  std::deque<InFlightAppend> InFlightAppends = {};
  /// Totals over InFlightAppends.
  std::uint64_t EntriesInFlight = 0;
  std::uint64_t BytesInFlight = 0;
  /// Send time, by the leader's clock, of the newest message that the peer
  /// answered.
  TimePoint LastAcknowledged = TimePoint::min();
  /// Time of the last rewind(); rejections of messages sent earlier are
  /// ignored.
  TimePoint RewoundAt = TimePoint::min();
  TimePoint NextHeartbeatAt = TimePoint::min();

  /// The serialized snapshot being sent; null if none. Shared with the replica
  /// and with other peers that receive the same snapshot.
  std::shared_ptr<const std::string> Snapshot = {};
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  std::uint64_t SnapshotOffset = 0;
  bool ChunkInFlight = false;

  void recordSent(InFlightAppend Append) {
    this->EntriesInFlight += Append.Entries;
    this->BytesInFlight += Append.Bytes;
    this->Next = Append.LastIndex + 1;
    this->InFlightAppends.push_back(Append);
  }

  void recordAcknowledged(std::uint64_t Index) {
    this->Match = std::max(this->Match, Index);
    this->Next = std::max(this->Next, this->Match + 1);
    while (!this->InFlightAppends.empty() &&
           this->InFlightAppends.front().LastIndex <= this->Match) {
      this->EntriesInFlight -= this->InFlightAppends.front().Entries;
      this->BytesInFlight -= this->InFlightAppends.front().Bytes;
      this->InFlightAppends.pop_front();
    }
    if (this->Snapshot && this->Match >= this->SnapshotIndex)
      this->Snapshot.reset();
  }

  void rewind(std::uint64_t Index, TimePoint Now) {
    this->Next = std::max(this->Match + 1, std::min(Index, this->Next));
    this->InFlightAppends.clear();
    this->EntriesInFlight = 0;
    this->BytesInFlight = 0;
    this->RewoundAt = Now;
  }
};

} // namespace carobhinge

#endif // LIBCONSENSUS_PROGRESS_H
