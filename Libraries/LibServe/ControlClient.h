//===- LibServe/ControlClient.h - Calls the replicated logs ---------------===//
///
/// \file
/// Finds the leader of a log and calls it within a time limit. Retries only
/// calls that definitely had no effect; the caller decides what to do about a
/// lost call.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CONTROLCLIENT_H
#define LIBSERVE_CONTROLCLIENT_H

#include <LibServe/ControlHost.h>
#include <optional>

namespace carobhinge {

class ControlClient {
public:
  /// \p Local is null on a host without the control role.
  ControlClient(const Settings &LocalSettings, Peers &Links,
                ControlHost *Local);

  /// Returns status LOG_NOT_LEADER after \p TimeLimit if the command is
  /// definitely not in the log.
  boost::asio::awaitable<message::ProposeResult>
  propose(std::uint32_t Log, std::string Command, Duration TimeLimit);

  /// Empty if no linearizable read succeeded within \p TimeLimit.
  boost::asio::awaitable<std::optional<message::LedgerReply>>
  open(message::LedgerKey Key, std::string ContentDigest, Duration TimeLimit);

  /// Proposes a ledger command to the key's shard. Empty if the proposal was
  /// lost or could not be made; \p DefinitelyNotProposed is set in the second
  /// case.
  boost::asio::awaitable<std::optional<message::LedgerReply>>
  proposeLedger(const message::LedgerKey &Key, message::LedgerCommand Command,
                Duration TimeLimit, bool *DefinitelyNotProposed = nullptr);

  /// An IntentRegisterState, or nothing if the control log cannot be read.
  boost::asio::awaitable<std::optional<std::string>>
  history(Duration TimeLimit);

  [[nodiscard]] std::uint32_t ledgerShards() const { return this->Shards; }

private:
  [[nodiscard]] HostName candidate(std::uint32_t Log) const;
  [[nodiscard]] Duration effectiveTimeLimit(std::uint32_t Log,
                                            Duration RequestedTimeLimit) const;
  void recordReachability(std::uint32_t Log, bool Reached);
  void recordLeader(std::uint32_t Log, const HostName &Contacted,
                    const HostName &Hint);

  template <class Result, class Message>
  boost::asio::awaitable<Result> callLeader(std::uint32_t Log,
                                            std::string Method, Message Call,
                                            Duration TimeLimit);

  boost::asio::awaitable<message::ProposeResult>
  callLocal(message::ProposeCall Call);
  boost::asio::awaitable<message::OpenResult> callLocal(message::OpenCall Call);
  boost::asio::awaitable<message::HistoryResult>
  callLocal(const message::HistoryCall &Call);

  HostName Self;
  std::uint32_t Shards;
  Peers &Links;
  ControlHost *Local;
  mutable std::mutex Lock;
  /// The host to call first, by log.
  std::vector<HostName> Leaders;
  /// True if the last call to the log found no leader within its time limit.
  std::vector<bool> Unreachable;
};

} // namespace carobhinge

#endif // LIBSERVE_CONTROLCLIENT_H
