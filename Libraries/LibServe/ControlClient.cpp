//===- LibServe/ControlClient.cpp - Calls the replicated logs -------------===//
///
/// \file
/// One loop for all calls: calls the presumed leader, follows its hint or tries
/// the next control host, until an answer or the time limit.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ControlClient.h>
#include <LibWire/MessageParser.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Pause between two calls, so that retries do not overload an election.
static constexpr auto RetryInterval = std::chrono::milliseconds(40);
/// Time limit of a call to a log that was unreachable the last time. Callers
/// get an early answer instead of waiting for an election that may not happen.
static constexpr Duration UnreachableTimeout = std::chrono::milliseconds(200);

ControlClient::ControlClient(const Settings &LocalSettings, Peers &Links,
                             ControlHost *Local)
    : Self(LocalSettings.Host),
      Shards(static_cast<std::uint32_t>(LocalSettings.LedgerShards)),
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

Duration ControlClient::effectiveTimeLimit(std::uint32_t Log,
                                           Duration RequestedTimeLimit) const {
  std::lock_guard Guard(this->Lock);
  return this->Unreachable.at(Log)
             ? std::min(RequestedTimeLimit, UnreachableTimeout)
             : RequestedTimeLimit;
}

void ControlClient::recordReachability(std::uint32_t Log, bool Reached) {
  std::lock_guard Guard(this->Lock);
  this->Unreachable.at(Log) = !Reached;
}

/// Follows the hint of the contacted host, or selects the next control host.
void ControlClient::recordLeader(std::uint32_t Log, const HostName &Contacted,
                                 const HostName &Hint) {
  std::lock_guard Guard(this->Lock);
  if (this->Leaders[Log] != Contacted)
    return;
  const std::vector<HostName> &Hosts = this->Links.controlHosts();
  if (Hosts.empty())
    return;
  if (!Hint.empty() && Hint != Contacted) {
    this->Leaders[Log] = Hint;
    return;
  }
  auto Position = std::ranges::find(Hosts, Contacted);
  bool Last = Position == Hosts.end() || Position + 1 == Hosts.end();
  this->Leaders[Log] = Last ? Hosts.front() : *(Position + 1);
}

asio::awaitable<message::ProposeResult>
ControlClient::callLocal(message::ProposeCall Call) {
  return this->Local->propose(std::move(Call));
}
asio::awaitable<message::OpenResult>
ControlClient::callLocal(message::OpenCall Call) {
  return this->Local->open(std::move(Call));
}
asio::awaitable<message::HistoryResult>
ControlClient::callLocal(const message::HistoryCall &) {
  return this->Local->history();
}

template <class Result, class Message>
asio::awaitable<Result>
ControlClient::callLeader(std::uint32_t Log, std::string Method, Message Call,
                          Duration TimeLimit) {
  TimePoint Deadline =
      monotonicNow() + this->effectiveTimeLimit(Log, TimeLimit);
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  Result Answer;
  Answer.set_status(message::LOG_NOT_LEADER);
  for (TimePoint Now = monotonicNow(); Now < Deadline; Now = monotonicNow()) {
    HostName Contacted = this->candidate(Log);
    WireLink *Link = this->Links.link(Contacted);
    Answer.Clear();
    Answer.set_status(message::LOG_NOT_LEADER);
    if (this->Local && Contacted == this->Self) {
      Answer = co_await this->callLocal(Call);
    } else if (Link) {
      WireReply Reply =
          co_await Link->call(Method, Call.SerializeAsString(), Deadline - Now);
      bool Read = Reply.Outcome == WireCallOutcome::Complete &&
                  parseMessage(Answer, Reply.Message);
      if (!Read)
        Answer.set_status(Reply.Outcome == WireCallOutcome::NotSent
                              ? message::LOG_NOT_LEADER
                              : message::LOG_LOST);
    }
    if (Answer.status() == message::LOG_COMMITTED) {
      this->recordReachability(Log, true);
      co_return Answer;
    }
    this->recordLeader(Log, Contacted, Answer.leader());
    if (Answer.status() == message::LOG_LOST)
      co_return Answer;
    Pause.expires_after(RetryInterval);
    co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  this->recordReachability(Log, false);
  co_return Answer;
}

asio::awaitable<message::ProposeResult>
ControlClient::propose(std::uint32_t Log, std::string Command,
                       Duration TimeLimit) {
  message::ProposeCall Call;
  Call.set_log(Log);
  Call.set_command(std::move(Command));
  return this->callLeader<message::ProposeResult>(Log, "control.propose",
                                                  std::move(Call), TimeLimit);
}

asio::awaitable<std::optional<message::LedgerReply>>
ControlClient::open(message::LedgerKey Key, std::string ContentDigest,
                    Duration TimeLimit) {
  message::OpenCall Call;
  std::uint32_t Log = FirstLedgerLog + ledgerShard(Key, this->Shards);
  Call.set_log(Log);
  *Call.mutable_key() = std::move(Key);
  Call.set_content_digest(std::move(ContentDigest));
  TimePoint Deadline = monotonicNow() + TimeLimit;
  message::OpenResult Result;
  // A lost read changed nothing and may be retried.
  do {
    Result = co_await this->callLeader<message::OpenResult>(
        Log, "control.open", Call, Deadline - monotonicNow());
  } while (Result.status() == message::LOG_LOST && monotonicNow() < Deadline);
  if (Result.status() != message::LOG_COMMITTED)
    co_return std::nullopt;
  co_return Result.reply();
}

asio::awaitable<std::optional<message::LedgerReply>>
ControlClient::proposeLedger(const message::LedgerKey &Key,
                             message::LedgerCommand Command, Duration TimeLimit,
                             bool *DefinitelyNotProposed) {
  std::uint32_t Log = FirstLedgerLog + ledgerShard(Key, this->Shards);
  auto Result =
      co_await this->propose(Log, Command.SerializeAsString(), TimeLimit);
  if (DefinitelyNotProposed)
    *DefinitelyNotProposed = Result.status() == message::LOG_NOT_LEADER;
  message::LedgerReply Reply;
  if (Result.status() != message::LOG_COMMITTED ||
      !Reply.ParseFromString(Result.reply()))
    co_return std::nullopt;
  co_return Reply;
}

asio::awaitable<std::optional<std::string>>
ControlClient::history(Duration TimeLimit) {
  message::HistoryCall Call;
  auto Result = co_await this->callLeader<message::HistoryResult>(
      ControlLog, "control.history", Call, TimeLimit);
  if (Result.status() != message::LOG_COMMITTED)
    co_return std::nullopt;
  co_return Result.state();
}

} // namespace carobhinge
