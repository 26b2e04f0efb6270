//===- LibLedger/Ledger.h - At-most-once records of calls -----------------===//
///
/// \file
/// The replicated state of one ledger shard. It decides which attempt may
/// dispatch a non-idempotent call and records the outcome of each call. Every
/// replica applies the same commands and holds the same state, byte for byte.
///
/// A claim creates a record and an outcome completes it. Between the two only
/// its holder can change it. Refusals are recorded as closed marks: a closed
/// mark invalidates every earlier ticket, so that a slower attempt cannot run a
/// call that was already answered as not run.
///
//===----------------------------------------------------------------------===//

#ifndef LIBLEDGER_LEDGER_H
#define LIBLEDGER_LEDGER_H

#include <LibConsensus/StateMachine.h>
#include <LibCore/Names.h>
#include <LibLedger/KeyDate.h>
#include <LibLedger/Ledger.pb.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace carobhinge {

/// Limits of one shard. The result of a command depends on them, so they must
/// be equal on every voter.
struct LedgerLimits {
  /// Maximum size of a stored answer body. For longer bodies only digest and
  /// length are stored.
  std::size_t BodyBytes = 16 * 1024;
  /// Maximum total size of all stored bodies. A body that would exceed it is
  /// treated as too long.
  std::size_t BodyTotalBytes = 256 * 1024 * 1024;
  std::size_t KeyBytes = 256;
  /// Maximum number of records of one service under the rule `kept`.
  std::size_t KeptRecords = 50'000;
  /// Maximum number of records of the shard. Writing a snapshot blocks the log,
  /// so more records need more shards.
  std::size_t Records = 200'000;
  /// Maximum number of closed marks. Beyond it the oldest is dropped and the
  /// horizon rises to its index.
  std::size_t ClosedMarks = 65'536;
};

/// The shard that stores \p Key. Stable across processes and versions.
std::uint32_t ledgerShard(const message::LedgerKey &Key,
                          std::uint32_t ShardCount);

class Ledger : public StateMachine {
public:
  explicit Ledger(LedgerLimits Limits = {});

  /// Applies the serialized LedgerCommand committed at \p Index. \p StampMs is
  /// the log's wall clock, which never decreases along the log. Returns a
  /// serialized LedgerReply; a command that cannot be decoded changes nothing.
  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command) override;

  /// Serializes the whole state; equal states yield equal bytes.
  [[nodiscard]] std::string snapshot() const override;

  /// Replaces the whole state. Throws std::runtime_error and changes nothing
  /// if \p Snapshot cannot be decoded.
  void restore(std::string_view Snapshot) override;
  [[nodiscard]] bool canRestore(std::string_view Snapshot) const override;

  /// The status of \p Key at \p AppliedIndex, which must be the index of a
  /// linearizable read of this state. With LEDGER_FREE, reply.index is a
  /// ticket.
  [[nodiscard]] message::LedgerReply open(const message::LedgerKey &Key,
                                          std::string_view ContentDigest,
                                          std::uint64_t AppliedIndex) const;

  [[nodiscard]] std::size_t recordCount() const { return this->RecordCount; }
  [[nodiscard]] std::size_t closedCount() const { return this->Closed.size(); }
  [[nodiscard]] std::uint64_t horizon() const { return this->Horizon; }

private:
  struct Record {
    std::string ContentDigest;
    message::LedgerKeyRule Rule = message::LEDGER_KEY_DATED;
    HostName Host;
    Incarnation HostIncarnation = 0;
    std::uint64_t Attempt = 0;
    std::uint32_t Dispatch = 0;
    EndpointName Endpoint;
    /// Empty while the claim is in flight. Never changes once it holds an
    /// answer.
    std::optional<message::LedgerOutcome> Outcome;
  };
  /// Workspace and key of a record within its service.
  using KeyInService = std::pair<WorkspaceName, std::string>;
  using DayRecords = std::map<KeyInService, Record>;

  struct ServiceRecords {
    /// Keys of this day or an earlier one may have been pruned and are never
    /// granted again, even if the retention is raised later.
    DayNumber PrunedThrough = INT64_MIN;
    /// Keys without a date are stored under day zero.
    std::map<DayNumber, DayRecords> Days;
    std::size_t KeptRecordCount = 0;
  };
  using FullKey = std::pair<ServiceName, KeyInService>;

  message::LedgerReply claim(std::uint64_t Index, std::int64_t StampMs,
                             const message::LedgerClaim &Request);
  message::LedgerReply release(std::uint64_t Index,
                               const message::LedgerRelease &Request);
  message::LedgerReply
  recordOutcome(std::uint64_t Index,
                const message::LedgerRecordOutcome &Request);
  message::LedgerReply close(std::uint64_t Index,
                             const message::LedgerClose &Request);
  message::LedgerReply retire(std::uint64_t Index,
                              const message::LedgerRetireIncarnation &Request);
  message::LedgerReply prune(std::uint64_t Index, std::int64_t StampMs,
                             const message::LedgerPrune &Request);

  [[nodiscard]] const Record *find(const message::LedgerKey &Key) const;
  Record *find(const message::LedgerKey &Key);
  void insert(const message::LedgerKey &Key, Record NewRecord);
  void erase(const message::LedgerKey &Key);
  void markClosed(std::uint64_t Index, const message::LedgerKey &Key);

  [[nodiscard]] bool mayBePruned(const message::LedgerKey &Key) const;
  [[nodiscard]] bool isTicketValid(const message::LedgerClaim &Request) const;
  [[nodiscard]] message::LedgerKeyRefusal
  findKeyRefusal(const message::LedgerClaim &Request,
                 std::int64_t StampMs) const;
  static void writeRecord(message::LedgerSnapshotRecord &Out,
                          const Record &Entry);
  static Record readRecord(const message::LedgerSnapshotRecord &In);
  /// Renews the claim of the attempt that already holds it.
  static message::LedgerReply renewClaim(std::uint64_t Index, Record &Entry,
                                         const message::LedgerClaim &Request);

  LedgerLimits Limits;
  std::map<ServiceName, ServiceRecords, std::less<>> Services;
  std::size_t RecordCount = 0;
  /// Total size of the stored bodies of all records.
  std::size_t StoredBodyBytes = 0;
  /// The records without an outcome, and only these, by the host of their
  /// holder.
  std::set<std::pair<HostName, FullKey>> InFlight;
  /// Index of the newest closed mark of each key, and the keys ordered by that
  /// index. Both maps hold the same marks.
  std::map<FullKey, std::uint64_t> Closed;
  std::map<std::uint64_t, FullKey> ClosedByIndex;
  /// Tickets below this index may be older than a dropped closed mark and are
  /// refused.
  std::uint64_t Horizon = 0;
  /// Newest incarnation of each host, as retirements reported it.
  std::map<HostName, Incarnation> Incarnations;
};

} // namespace carobhinge

#endif // LIBLEDGER_LEDGER_H
