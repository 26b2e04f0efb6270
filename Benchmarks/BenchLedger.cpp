//===- Benchmarks/BenchLedger.cpp - Claims per second, bytes per record ---===//
///
/// \file
/// Measures one shard's state machine in process: the time of a claim with its
/// outcome at several sizes, the memory of a record, and the time and size of a
/// snapshot. The last line gives the slopes.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Time.h>
#include <LibLedger/Ledger.h>
#include <cstdio>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

using namespace carobhinge;

namespace {

constexpr std::int64_t StampMs = 20'788LL * 86'400'000;
constexpr std::size_t BodyBytes = 200;

message::LedgerKey makeKey(std::size_t Number) {
  message::LedgerKey Key;
  Key.set_workspace("workspace-" + std::to_string(Number % 10));
  Key.set_service("ledger");
  Key.set_key("2026-12-01-payout-" + std::to_string(Number));
  return Key;
}

/// Returns the log entries with the claim and the outcome of one call.
std::vector<std::string> makeCommands(std::size_t Number) {
  message::LedgerAttempt Attempt;
  Attempt.set_host("tanta-a-" + std::to_string(Number % 9));
  Attempt.set_incarnation(1'796'256'000'000);
  Attempt.set_attempt(Number);
  message::LedgerCommand Claim;
  *Claim.mutable_claim()->mutable_key() = makeKey(Number);
  *Claim.mutable_claim()->mutable_attempt() = Attempt;
  Claim.mutable_claim()->set_content_digest(std::string(32, 'd'));
  Claim.mutable_claim()->set_dispatch(1);
  Claim.mutable_claim()->set_endpoint("ledger-1");
  Claim.mutable_claim()->set_retention_days(30);
  message::LedgerCommand Record;
  *Record.mutable_record()->mutable_key() = makeKey(Number);
  *Record.mutable_record()->mutable_attempt() = Attempt;
  message::LedgerOutcome &Outcome = *Record.mutable_record()->mutable_outcome();
  Outcome.set_answered(true);
  Outcome.set_status(200);
  Outcome.set_content_type("application/json");
  Outcome.set_body(std::string(BodyBytes, 'b'));
  Outcome.set_body_bytes(BodyBytes);
  Outcome.set_body_digest(std::string(32, 'e'));
  return {Claim.SerializeAsString(), Record.SerializeAsString()};
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

struct Measurements {
  double ClaimsPerSecond = 0;
  double BytesPerRecord = 0;
};

Measurements measure(std::size_t Records) {
  std::size_t BytesBefore = heapBytes();
  auto Shard = std::make_unique<Ledger>();
  Duration ApplyTime{};
  std::uint64_t Index = 0;
  for (std::size_t Number = 0; Number < Records; ++Number) {
    auto Commands = makeCommands(Number);
    TimePoint Start = monotonicNow();
    for (const std::string &Command : Commands)
      Shard->apply(++Index, StampMs, Command);
    ApplyTime += monotonicNow() - Start;
  }
  double Bytes = static_cast<double>(heapBytes() - BytesBefore);
  TimePoint Start = monotonicNow();
  std::string Snapshot = Shard->snapshot();
  Duration SnapshotTime = monotonicNow() - Start;
  Start = monotonicNow();
  Shard->restore(Snapshot);
  Duration RestoreTime = monotonicNow() - Start;
  double Count = static_cast<double>(Records);
  Measurements Result{.ClaimsPerSecond =
                          Count /
                          std::chrono::duration<double>(ApplyTime).count(),
                      .BytesPerRecord = Bytes / Count};
  std::printf("records=%zu claims-with-outcome-per-second=%.0f "
              "heap-bytes-per-record=%.0f snapshot-bytes-per-record=%.0f "
              "snapshot-ms=%lld restore-ms=%lld\n",
              Records, Result.ClaimsPerSecond, Result.BytesPerRecord,
              static_cast<double>(Snapshot.size()) / Count,
              static_cast<long long>(milliseconds(SnapshotTime)),
              static_cast<long long>(milliseconds(RestoreTime)));
  return Result;
}

} // namespace

int main() {
  Measurements Last;
  for (std::size_t Records : {1'000, 10'000, 100'000, 200'000})
    Last = measure(Records);
  std::printf("bench ledger: claims-per-second=%.0f bytes-per-record=%.0f "
              "body-bytes=%zu\n",
              Last.ClaimsPerSecond, Last.BytesPerRecord, BodyBytes);
  return 0;
}
