//===- Tests/Processes/VerifyingCaller.h - Callers that verify answers ----===//
///
/// \file
/// Sends calls, verifies that each answer is complete and belongs to its call,
/// and records the results, which compareWithExecutions() checks at the end.
///
//===----------------------------------------------------------------------===//

#ifndef PROCESSES_VERIFYINGCALLER_H
#define PROCESSES_VERIFYINGCALLER_H

#include <Processes/Deployment.h>
#include <mutex>
#include <set>
#include <span>

namespace carobhinge {

/// The result of a call as its caller sees it.
enum class CallOutcome {
  Answered,
  NotRun,
  /// The answer says so, or the connection to the entry host was lost.
  Unknown,
  /// No byte of the call was sent: the host is down.
  HostDown,
  /// The answer is incomplete, belongs to another call, or contradicts an
  /// earlier one.
  Wrong,
};

struct LoadCounts {
  unsigned Answered = 0;
  unsigned NotRun = 0;
  unsigned Unknown = 0;
  unsigned HostDown = 0;
  unsigned ExecutedTwice = 0;
  unsigned Wrong = 0;
};

/// Thread-safe.
class VerifyingCaller {
public:
  VerifyingCaller(const Deployment &Cluster, std::uint64_t Seed)
      : Cluster(Cluster), Seed(Seed) {}

  /// \p Number makes the call's content unique.
  CallOutcome stream(const HostAddresses &Host, unsigned Number);
  CallOutcome completion(const HostAddresses &Host, unsigned Number);
  CallOutcome lookUp(const HostAddresses &Host, unsigned Number);
  /// Sends call \p Number, which must not run twice, with an idempotency key.
  /// Later calls with the same number repeat it with the same key.
  CallOutcome keyedCall(const HostAddresses &Host, unsigned Number);

  /// Announces that \p Host is about to be killed: from now on its connections
  /// may break without this being a wrong answer.
  void expectKill(const std::string &Host);

  /// Compares the recorded results with \p Executions, the number of executions
  /// by key. To be called once, after the last call.
  LoadCounts
  compareWithExecutions(const std::map<std::string, unsigned> &Executions);

private:
  /// The answers to all calls with one key.
  struct KeyRecord {
    std::string Answer;
    bool Answered = false;
    bool OnlyNotRun = true;
  };

  HttpRequest request(std::string Method, std::string Target, std::string Body,
                      unsigned Number) const;
  CallOutcome classify(const HostAddresses &Host, const HttpFetchResult &Answer,
                       bool IsExpected);
  CallOutcome recordOutcome(CallOutcome Outcome);
  void reportWrongAnswer(const HostAddresses &Host,
                         const HttpFetchResult &Answer);
  [[nodiscard]] std::string prompt(unsigned Number) const;

  const Deployment &Cluster;
  const std::uint64_t Seed;
  std::mutex Lock;
  std::set<std::string> KilledHosts;
  std::map<std::string, KeyRecord> Records;
  LoadCounts Counts;
};

/// Sends each host in \p Hosts \p PerHost calls of alternating kinds from a
/// thread of its own. The calls are numbered from \p FirstNumber.
void runMixedLoad(VerifyingCaller &Caller, std::span<const HostAddresses> Hosts,
                  unsigned PerHost, unsigned FirstNumber,
                  std::chrono::milliseconds Pause);

} // namespace carobhinge

#endif // PROCESSES_VERIFYINGCALLER_H
