//===- LibServe/ControlClient.cpp - Asking the logs from any host ---------===//
///
/// \file
/// One loop for all calls: ask the presumed leader, follow its hint, else try
/// the next control host, until an answer or the bound.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ControlClient.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Between two questions, so that an election is not drowned in them.
static constexpr auto AskAgainAfter = std::chrono::milliseconds(40);
/// How long is asked while the log was not to be reached the last time: its
/// callers get their answer at once instead of waiting for an election that
/// does not come.
static constexpr Duration UnreachableBound = std::chrono::milliseconds(200);

ControlClient::ControlClient(const Settings &Own, Peers &Links,
                             ControlHost *Local)
    : Self(Own.Host), Shards(static_cast<std::uint32_t>(Own.LedgerShards)),
      Links(Links), Local(Local) {
  const std::vector<HostName> &Hosts = Links.controlHosts();
  HostName First = Hosts.empty() ? HostName() : Hosts.front();
  this->Leaders.assign(FirstLedgerLog + this->Shards, First);
  this->Unreachable.assign(FirstLedgerLog + this->Shards, false);
}

HostName ControlClient::candidate(std::uint32_t Log) const {
  std::lock_guard Guard(this->Lock);
  return this->Leaders.at(Log);
}

Duration ControlClient::boundFor(std::uint32_t Log, Duration Asked) const {
  std::lock_guard Guard(this->Lock);
  return this->Unreachable.at(Log) ? std::min(Asked, UnreachableBound) : Asked;
}

void ControlClient::noteReached(std::uint32_t Log, bool Reached) {
  std::lock_guard Guard(this->Lock);
  this->Unreachable.at(Log) = !Reached;
}

/// Follows the hint of the asked host, or moves on to the next control host.
void ControlClient::noteLeader(std::uint32_t Log, const HostName &Asked,
                               const HostName &Hint) {
  std::lock_guard Guard(this->Lock);
  if (this->Leaders[Log] != Asked)
    return;
  const std::vector<HostName> &Hosts = this->Links.controlHosts();
  if (Hosts.empty())
    return;
  if (!Hint.empty() && Hint != Asked) {
    this->Leaders[Log] = Hint;
    return;
  }
  auto Place = std::ranges::find(Hosts, Asked);
  bool Last = Place == Hosts.end() || Place + 1 == Hosts.end();
  this->Leaders[Log] = Last ? Hosts.front() : *(Place + 1);
}

asio::awaitable<message::ProposeResult>
ControlClient::askLocal(message::ProposeCall Call) {
  return this->Local->propose(std::move(Call));
}
asio::awaitable<message::OpenResult>
ControlClient::askLocal(message::OpenCall Call) {
  return this->Local->open(std::move(Call));
}
asio::awaitable<message::HistoryResult>
ControlClient::askLocal(const message::HistoryCall &) {
  return this->Local->history();
}

template <class Result, class Message>
asio::awaitable<Result> ControlClient::ask(std::uint32_t Log,
                                           std::string Method, Message Call,
                                           Duration Bound) {
  TimePoint Deadline = monotonicNow() + this->boundFor(Log, Bound);
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  Result Answer;
  Answer.set_status(message::LOG_NOT_LEADER);
  for (TimePoint Now = monotonicNow(); Now < Deadline; Now = monotonicNow()) {
    HostName Asked = this->candidate(Log);
    WireLink *Link = this->Links.link(Asked);
    Answer.Clear();
    Answer.set_status(message::LOG_NOT_LEADER);
    if (this->Local && Asked == this->Self) {
      Answer = co_await this->askLocal(Call);
    } else if (Link) {
      WireReply Reply =
          co_await Link->call(Method, Call.SerializeAsString(), Deadline - Now);
      bool Read = Reply.End == WireCallEnd::Complete &&
                  Answer.ParseFromString(Reply.Message);
      if (!Read)
        Answer.set_status(Reply.End == WireCallEnd::NotSent
                              ? message::LOG_NOT_LEADER
                              : message::LOG_LOST);
    }
    if (Answer.status() == message::LOG_COMMITTED) {
      this->noteReached(Log, true);
      co_return Answer;
    }
    this->noteLeader(Log, Asked, Answer.leader());
    if (Answer.status() == message::LOG_LOST)
      co_return Answer;
    Pause.expires_after(AskAgainAfter);
    co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  this->noteReached(Log, false);
  co_return Answer;
}

asio::awaitable<message::ProposeResult>
ControlClient::propose(std::uint32_t Log, std::string Command, Duration Bound) {
  message::ProposeCall Call;
  Call.set_log(Log);
  Call.set_command(std::move(Command));
  return this->ask<message::ProposeResult>(Log, "control.propose",
                                           std::move(Call), Bound);
}

asio::awaitable<std::optional<message::LedgerReply>>
ControlClient::open(message::LedgerKey Key, std::string ContentDigest,
                    Duration Bound) {
  message::OpenCall Call;
  std::uint32_t Log = FirstLedgerLog + ledgerShard(Key, this->Shards);
  Call.set_log(Log);
  *Call.mutable_key() = std::move(Key);
  Call.set_content_digest(std::move(ContentDigest));
  TimePoint Deadline = monotonicNow() + Bound;
  message::OpenResult Result;
  // A lost read changed nothing and may be repeated.
  do {
    Result = co_await this->ask<message::OpenResult>(Log, "control.open", Call,
                                                     Deadline - monotonicNow());
  } while (Result.status() == message::LOG_LOST && monotonicNow() < Deadline);
  if (Result.status() != message::LOG_COMMITTED)
    co_return std::nullopt;
  co_return Result.reply();
}

asio::awaitable<std::optional<message::LedgerReply>>
ControlClient::proposeLedger(const message::LedgerKey &Key,
                             message::LedgerCommand Command, Duration Bound,
                             bool *SurelyNot) {
  std::uint32_t Log = FirstLedgerLog + ledgerShard(Key, this->Shards);
  auto Result = co_await this->propose(Log, Command.SerializeAsString(), Bound);
  if (SurelyNot)
    *SurelyNot = Result.status() == message::LOG_NOT_LEADER;
  message::LedgerReply Reply;
  if (Result.status() != message::LOG_COMMITTED ||
      !Reply.ParseFromString(Result.reply()))
    co_return std::nullopt;
  co_return Reply;
}

asio::awaitable<std::optional<std::string>>
ControlClient::history(Duration Bound) {
  message::HistoryCall Call;
  auto Result = co_await this->ask<message::HistoryResult>(
      ControlLog, "control.history", Call, Bound);
  if (Result.status() != message::LOG_COMMITTED)
    co_return std::nullopt;
  co_return Result.state();
}

} // namespace carobhinge
