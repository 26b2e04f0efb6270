//===- Tests/PlatformWorld/PromiseCaller.h - Callers that keep the books --===//
///
/// \file
/// Callers of the entry hosts that reuse their connections, check each answer
/// whole, and remember what they were promised. settle() compares that with
/// what the endpoints ran.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_PROMISECALLER_H
#define PLATFORMWORLD_PROMISECALLER_H

#include <PlatformWorld/PlatformDeployment.h>
#include <random>

namespace carobhinge {

enum class CallKind { Stream, Post, Reading };

/// What a call came to, as its caller sees it.
enum class CallEnd {
  Answered,
  /// 429 or 503: it has not run and never will.
  Refused,
  /// 502 or 504.
  Unknown,
  /// The connection ended without a whole answer.
  CutOff,
  /// Nobody took the connection.
  NotReached,
};

struct CallCounts {
  std::map<CallEnd, unsigned> Ends;
  [[nodiscard]] unsigned of(CallEnd End) const {
    auto Found = this->Ends.find(End);
    return Found == this->Ends.end() ? 0 : Found->second;
  }
};

class PromiseCaller {
public:
  /// \p Seed fixes what is asked for, and when.
  PromiseCaller(const PlatformDeployment &Where, std::uint64_t Seed);
  ~PromiseCaller();

  /// Calls from \p Callers callers at once, spread over the entry hosts, each
  /// with pauses of \p Pause at most, until stop().
  void start(unsigned Callers, Duration Pause);
  void stop();
  /// One call, waited for.
  CallEnd callOnce(std::size_t Host, CallKind Kind);

  [[nodiscard]] CallCounts counts() const;
  /// How each call ended, by its id.
  [[nodiscard]] std::map<std::string, CallEnd> ends() const;
  /// Broken promises, in words: what callers saw, and what \p Book tells.
  [[nodiscard]] std::vector<std::string>
  settle(const ExecutionBook &Book) const;

private:
  struct Record {
    CallKind Kind = CallKind::Stream;
    CallEnd End = CallEnd::NotReached;
  };
  /// Checks the pieces of one answer as they come.
  class Reader;

  boost::asio::awaitable<void> callLoop(std::size_t Host, std::uint64_t Seed,
                                        Duration Pause);
  boost::asio::awaitable<CallEnd> call(HttpClient &Client, std::size_t Host,
                                       CallKind Kind, std::uint64_t Number);
  void note(const std::string &AttemptId, CallKind Kind, CallEnd End);
  void complain(std::string What);

  const PlatformDeployment &Where;
  const std::uint64_t Seed;
  boost::asio::io_context Context{1};
  std::atomic<bool> Stopping = false;
  std::atomic<unsigned> Running = 0;
  std::atomic<std::uint64_t> LastNumber = 0;
  mutable std::mutex Lock;
  std::map<std::string, Record> Records;
  std::vector<std::string> Complaints;
  std::jthread Thread;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_PROMISECALLER_H
