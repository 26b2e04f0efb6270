//===- LibServe/LedgerState.h - What the log of a ledger shard holds ------===//
///
/// \file
/// The ledger of one shard as the state machine of a replicated log.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_LEDGERSTATE_H
#define LIBSERVE_LEDGERSTATE_H

#include <LibConsensus/StateMachine.h>
#include <LibLedger/Ledger.h>

namespace carobhinge {

class LedgerState : public StateMachine {
public:
  explicit LedgerState(LedgerLimits Limits) : Records(Limits) {}

  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command) override {
    return this->Records.apply(Index, StampMs, Command);
  }
  [[nodiscard]] std::string snapshot() const override {
    return this->Records.snapshot();
  }
  void restore(std::string_view Snapshot) override {
    this->Records.restore(Snapshot);
  }

  [[nodiscard]] const Ledger &records() const { return this->Records; }

private:
  Ledger Records;
};

} // namespace carobhinge

#endif // LIBSERVE_LEDGERSTATE_H
