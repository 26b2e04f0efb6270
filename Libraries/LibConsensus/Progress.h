//===- LibConsensus/Progress.h - How far a leader has brought a peer ------===//
///
/// \file
/// What a leader knows about one peer and what is on its way there.
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

/// A message of entries without an answer yet.
struct Flight {
  std::uint64_t LastIndex = 0;
  std::uint64_t Entries = 0;
  std::uint64_t Bytes = 0;
};

struct Progress {
  /// The disk identity that the rest speaks of.
  std::string Disk = {};
  /// The peer's durable log equals the leader's up to here. Below Next.
  std::uint64_t Match = 0;
  /// The next entry to send.
  std::uint64_t Next = 1;
  std::deque<Flight> Flights = {};
  /// Sums over Flights.
  std::uint64_t EntriesInFlight = 0;
  std::uint64_t BytesInFlight = 0;
  /// The leader's clock when it sent the newest message that was answered.
  TimePoint Acknowledged = TimePoint::min();
  /// Refusals of what was sent before are out of date.
  TimePoint RewoundAt = TimePoint::min();
  TimePoint HeartbeatDue = TimePoint::min();

  /// The snapshot under way, serialized; null if none. Shared with the replica
  /// and with other peers that get the same one.
  std::shared_ptr<const std::string> Snapshot = {};
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  std::uint64_t SnapshotOffset = 0;
  bool ChunkInFlight = false;

  void launch(Flight Sent) {
    this->EntriesInFlight += Sent.Entries;
    this->BytesInFlight += Sent.Bytes;
    this->Next = Sent.LastIndex + 1;
    this->Flights.push_back(Sent);
  }

  void land(std::uint64_t Index) {
    this->Match = std::max(this->Match, Index);
    this->Next = std::max(this->Next, this->Match + 1);
    while (!this->Flights.empty() &&
           this->Flights.front().LastIndex <= this->Match) {
      this->EntriesInFlight -= this->Flights.front().Entries;
      this->BytesInFlight -= this->Flights.front().Bytes;
      this->Flights.pop_front();
    }
    if (this->Snapshot && this->Match >= this->SnapshotIndex)
      this->Snapshot.reset();
  }

  void rewind(std::uint64_t Index, TimePoint Now) {
    this->Next = std::max(this->Match + 1, std::min(Index, this->Next));
    this->Flights.clear();
    this->EntriesInFlight = 0;
    this->BytesInFlight = 0;
    this->RewoundAt = Now;
  }
};

} // namespace carobhinge

#endif // LIBCONSENSUS_PROGRESS_H
