//===- Tests/Processes/CheckedCaller.h - Callers that check their answers -===//
///
/// \file
/// Sends calls, checks that each answer is whole and the caller's own, and
/// keeps the books that are compared with the executions at the end.
///
//===----------------------------------------------------------------------===//

#ifndef PROCESSES_CHECKEDCALLER_H
#define PROCESSES_CHECKEDCALLER_H

#include <Processes/Deployment.h>
#include <mutex>
#include <set>
#include <span>

namespace carobhinge {

/// What one call came to, as its caller sees it.
enum class Seen {
  Answered,
  NotRun,
  /// Said so, or the connection to the entry host was lost.
  Unknown,
  /// No byte of the call was taken: the host is down.
  HostDown,
  /// The answer is not whole, not this caller's, or contradicts an earlier one.
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
class CheckedCaller {
public:
  CheckedCaller(const Deployment &Where, std::uint64_t Seed)
      : Where(Where), Seed(Seed) {}

  /// \p Number makes the call's content unique.
  Seen stream(const HostAddresses &At, unsigned Number);
  Seen completion(const HostAddresses &At, unsigned Number);
  Seen lookUp(const HostAddresses &At, unsigned Number);
  /// Asks for call \p Number, or asks again, at \p At.
  Seen once(const HostAddresses &At, unsigned Number);

  /// The connection to this host may break without fault: it is being killed.
  void expectKill(const std::string &Host);

  /// Compares what callers were told with what was executed.
  LoadCounts settle(const std::map<std::string, unsigned> &Executions);

private:
  /// What the callers of one key were told.
  struct KeyBook {
    std::string Answer;
    bool Answered = false;
    bool OnlyNotRun = true;
  };

  HttpRequest request(std::string Method, std::string Target, std::string Body,
                      unsigned Number) const;
  Seen judge(const HostAddresses &At, const HttpAnswer &Answer, bool Right);
  Seen count(Seen What);
  void complain(const HostAddresses &At, const HttpAnswer &Answer);
  [[nodiscard]] std::string prompt(unsigned Number) const;

  const Deployment &Where;
  const std::uint64_t Seed;
  std::mutex Lock;
  std::set<std::string> Killed;
  std::map<std::string, KeyBook> Keys;
  LoadCounts Counts;
};

/// The seconds of load, call by call: each host in \p Hosts gets \p PerHost
/// mixed calls from a thread of its own, numbered from \p FirstNumber.
void runMixedLoad(CheckedCaller &Caller, std::span<const HostAddresses> Hosts,
                  unsigned PerHost, unsigned FirstNumber,
                  std::chrono::milliseconds Pause);

} // namespace carobhinge

#endif // PROCESSES_CHECKEDCALLER_H
