//===- Tests/PlatformWorld/PlatformVerifyingCaller.h - Test callers -------===//
///
/// \file
/// Callers of the entry hosts that reuse their connections, verify that each
/// answer is complete and correct, and record its outcome. findViolations()
/// compares the outcomes with the executions at the endpoints.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_PLATFORMVERIFYINGCALLER_H
#define PLATFORMWORLD_PLATFORMVERIFYINGCALLER_H

#include <PlatformWorld/LostRequests.h>
#include <PlatformWorld/PlatformDeployment.h>
#include <random>

namespace carobhinge {

enum class CallKind { Stream, Post, Get };

/// The result of a call as its caller sees it.
enum class CallEnd {
  Answered,
  /// 429 or 503: the call has not run and never will.
  Refused,
  /// 400: the call has not run, and to repeat it is no use.
  RefusedForGood,
  /// 502 or 504: the call may or may not have run.
  Unknown,
  /// The connection ended without a complete answer.
  CutOff,
  /// No connection was accepted.
  NotReached,
};

/// What distinguishes a call from the others of its kind.
struct CallDetails {
  /// One more part ("ID", hexadecimal) in the prompt of a stream, before the
  /// last one.
  std::string_view ExtraPart = {};
  /// Query of the target, with its question mark.
  std::string_view Query = {};
  /// The model of a stream; drawn if it is empty.
  std::string_view Model = {};
  /// The caller keeps its connection from one call to the next.
  bool KeepsConnection = false;
};

struct CallCounts {
  std::map<CallEnd, unsigned> Ends;
  [[nodiscard]] unsigned count(CallEnd End) const {
    auto Found = this->Ends.find(End);
    return Found == this->Ends.end() ? 0 : Found->second;
  }
};

class PlatformVerifyingCaller {
public:
  /// \p Seed determines the requests and the pauses between them.
  PlatformVerifyingCaller(const PlatformDeployment &Deployment,
                          std::uint64_t Seed);
  ~PlatformVerifyingCaller();

  /// Starts \p Callers concurrent callers, spread over the entry hosts. Each
  /// pauses for less than \p Pause between its calls, until stop().
  void start(unsigned Callers, Duration Pause);
  void stop();
  /// Waits until more than \p Count calls have been answered, however slow the
  /// machine is. \throws std::runtime_error if that takes too long.
  void waitUntilAnswered(unsigned Count);
  /// Makes one call and waits for its end.
  CallEnd callOnce(std::size_t Host, CallKind Kind, CallDetails Details = {});

  /// The longest time by which the callers ran late between start() and stop().
  [[nodiscard]] Duration longestLag() const {
    return Duration(this->LongestLag.load());
  }
  [[nodiscard]] CallCounts counts() const;
  /// How each call ended, by attempt id.
  [[nodiscard]] std::map<std::string, CallEnd> ends() const;
  /// All calls that were connected, for LostRequests.
  [[nodiscard]] std::vector<CallRecord>
  calls(const ExecutionLog &Executions) const;
  /// Returns descriptions of all violations: those that callers and endpoints
  /// observed, and the outcomes that contradict \p Executions.
  [[nodiscard]] std::vector<std::string>
  findViolations(const ExecutionLog &Executions) const;

private:
  struct Record {
    CallKind Kind = CallKind::Stream;
    CallEnd End = CallEnd::NotReached;
    std::size_t Host = 0;
    TimePoint SentAt = {};
    TimePoint EndedAt = {};
    bool IsOnKeptConnection = false;
  };
  /// Collects one answer.
  class AnswerCollector;

  /// How long the caller of a call of this kind waits for its answer.
  [[nodiscard]] Duration timeoutOf(CallKind Kind) const;
  boost::asio::awaitable<void> measureLag();
  boost::asio::awaitable<void> callLoop(std::size_t Host, std::uint64_t Seed,
                                        Duration Pause);
  boost::asio::awaitable<CallEnd> call(HttpClient &Client, std::size_t Host,
                                       CallKind Kind, std::uint64_t Number,
                                       CallDetails Details = {});
  void recordResult(const std::string &AttemptId, const Record &Result);
  void reportWrongAnswer(std::string Violation);

  const PlatformDeployment &Deployment;
  const std::uint64_t Seed;
  boost::asio::io_context Context{1};
  std::atomic<bool> Stopping = false;
  std::atomic<unsigned> Running = 0;
  std::atomic<Duration::rep> LongestLag = 0;
  std::atomic<std::uint64_t> LastNumber = 0;
  mutable std::mutex Lock;
  std::map<std::string, Record> Records;
  std::vector<std::string> WrongAnswers;
  std::jthread Thread;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_PLATFORMVERIFYINGCALLER_H
