//===- LibServe/ControlClient.h - Asking the logs from any host -----------===//
///
/// \file
/// Finds the leader of a log and asks it, within a bound. What a lost call
/// means is left to the asker; only what surely did not happen is repeated.
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
  ControlClient(const Settings &Own, Peers &Links, ControlHost *Local);

  /// Status LOG_NOT_LEADER after the bound: surely not in the log.
  boost::asio::awaitable<message::ProposeResult>
  propose(std::uint32_t Log, std::string Command, Duration Bound);

  /// Empty if no linearizable read succeeded within the bound.
  boost::asio::awaitable<std::optional<message::LedgerReply>>
  open(message::LedgerKey Key, std::string ContentDigest, Duration Bound);

  /// Proposes a ledger command at the key's shard. Empty if it was lost or
  /// could not be proposed; \p Surely is then set if it surely was not.
  boost::asio::awaitable<std::optional<message::LedgerReply>>
  proposeLedger(const message::LedgerKey &Key, message::LedgerCommand Command,
                Duration Bound, bool *SurelyNot = nullptr);

  /// An IntentRegisterState, or nothing if the control log cannot be read.
  boost::asio::awaitable<std::optional<std::string>> history(Duration Bound);

  [[nodiscard]] std::uint32_t ledgerShards() const { return this->Shards; }

private:
  [[nodiscard]] HostName candidate(std::uint32_t Log) const;
  [[nodiscard]] Duration boundFor(std::uint32_t Log, Duration Asked) const;
  void noteReached(std::uint32_t Log, bool Reached);
  void noteLeader(std::uint32_t Log, const HostName &Asked,
                  const HostName &Hint);

  template <class Result, class Message>
  boost::asio::awaitable<Result> ask(std::uint32_t Log, std::string Method,
                                     Message Call, Duration Bound);

  boost::asio::awaitable<message::ProposeResult>
  askLocal(message::ProposeCall Call);
  boost::asio::awaitable<message::OpenResult> askLocal(message::OpenCall Call);
  boost::asio::awaitable<message::HistoryResult>
  askLocal(const message::HistoryCall &Call);

  HostName Self;
  std::uint32_t Shards;
  Peers &Links;
  ControlHost *Local;
  mutable std::mutex Lock;
  /// The host asked first, by log.
  std::vector<HostName> Leaders;
  /// Whether the last question to the log met no leader within its bound.
  std::vector<bool> Unreachable;
};

} // namespace carobhinge

#endif // LIBSERVE_CONTROLCLIENT_H
