//===- LibLedger/Ledger.h - At-most-once records of calls -----------------===//
///
/// \file
/// The replicated state of one ledger shard. It decides who may dispatch a
/// non-idempotent call and remembers how each one ended. Every replica applies
/// the same commands and holds the same state, byte for byte.
///
/// A record is made by a claim and ends with an outcome. Between the two only
/// its holder can change it. Refusals are recorded as closed marks: a closed
/// mark makes every ticket taken before it worthless, so that a slower attempt
/// cannot make the refusal untrue.
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

/// Bounds of one shard. They are part of the replicated state's rules, so they
/// must be equal on every voter.
struct LedgerLimits {
  /// Longest answer body that is kept whole; of longer ones digest and length.
  std::size_t BodyBytes = 16 * 1024;
  /// Most bytes of all kept bodies together; beyond it a body counts as too
  /// long.
  std::size_t BodyTotalBytes = 256 * 1024 * 1024;
  std::size_t KeyBytes = 256;
  /// Most records of one service under the rule `kept`.
  std::size_t KeptRecords = 50'000;
  /// Most records of the shard. A snapshot holds up the log while it is
  /// written, so more records take more shards.
  std::size_t Records = 200'000;
  /// Most closed marks; beyond them the oldest is dropped and the horizon
  /// rises to it.
  std::size_t ClosedMarks = 65'536;
};

/// The shard that keeps \p Key. Stable between processes and versions.
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

  /// The whole state; equal states give equal bytes.
  [[nodiscard]] std::string snapshot() const override;

  /// Replaces the whole state. Throws std::runtime_error and changes nothing
  /// if \p Snapshot cannot be decoded.
  void restore(std::string_view Snapshot) override;

  /// What stands at \p AppliedIndex, which must be the index this state was
  /// read at by a linearizable read. LEDGER_FREE makes reply.index a ticket.
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
    Incarnation Life = 0;
    std::uint64_t Attempt = 0;
    std::uint32_t Dispatch = 0;
    EndpointName Endpoint;
    /// Missing while the claim is in flight. Once it holds an answer it never
    /// changes again.
    std::optional<message::LedgerOutcome> Outcome;
  };
  /// Workspace and key of a record inside its service.
  using RecordName = std::pair<WorkspaceName, std::string>;
  using DayRecords = std::map<RecordName, Record>;

  struct ServiceRecords {
    /// Keys of this day or an earlier one may have been forgotten and are
    /// never run again, whatever the retention is changed to.
    DayNumber ForgottenThrough = INT64_MIN;
    /// Keys without a date stand under day zero.
    std::map<DayNumber, DayRecords> Days;
    std::size_t Kept = 0;
  };
  using KeyName = std::pair<ServiceName, RecordName>;

  message::LedgerReply claim(std::uint64_t Index, std::int64_t StampMs,
                             const message::LedgerClaim &Asked);
  message::LedgerReply release(std::uint64_t Index,
                               const message::LedgerRelease &Asked);
  message::LedgerReply recordOutcome(std::uint64_t Index,
                                     const message::LedgerRecordOutcome &Asked);
  message::LedgerReply close(std::uint64_t Index,
                             const message::LedgerClose &Asked);
  message::LedgerReply retire(std::uint64_t Index,
                              const message::LedgerRetireIncarnation &Asked);
  message::LedgerReply prune(std::uint64_t Index, std::int64_t StampMs,
                             const message::LedgerPrune &Asked);

  [[nodiscard]] const Record *find(const message::LedgerKey &Key) const;
  Record *find(const message::LedgerKey &Key);
  void insert(const message::LedgerKey &Key, Record Fresh);
  void erase(const message::LedgerKey &Key);
  void markClosed(std::uint64_t Index, const message::LedgerKey &Key);

  [[nodiscard]] bool maybeForgotten(const message::LedgerKey &Key) const;
  [[nodiscard]] bool ticketStands(const message::LedgerClaim &Asked) const;
  [[nodiscard]] message::LedgerKeyRefusal
  refusalOf(const message::LedgerClaim &Asked, std::int64_t StampMs) const;
  static void writeRecord(message::LedgerSnapshotRecord &Out,
                          const Record &Held);
  static Record readRecord(const message::LedgerSnapshotRecord &In);
  /// Grants the claim again to the attempt that already holds it.
  static message::LedgerReply claimAgain(std::uint64_t Index, Record &Held,
                                         const message::LedgerClaim &Asked);

  LedgerLimits Limits;
  std::map<ServiceName, ServiceRecords, std::less<>> Services;
  std::size_t RecordCount = 0;
  /// Bytes of the bodies of all records.
  std::size_t BodyTotal = 0;
  /// Exactly the records without an outcome, by the host that holds them.
  std::set<std::pair<HostName, KeyName>> InFlight;
  /// Index of the newest closed mark of a key, and the same by age. Both hold
  /// the same marks.
  std::map<KeyName, std::uint64_t> Closed;
  std::map<std::uint64_t, KeyName> ClosedByIndex;
  /// Tickets below may be older than a dropped closed mark.
  std::uint64_t Horizon = 0;
  std::map<HostName, Incarnation> Incarnations;
};

} // namespace carobhinge

#endif // LIBLEDGER_LEDGER_H
