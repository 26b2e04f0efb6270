//===- Tests/LibRouting/RouterTestDriver.h - Checks a Router --------------===//
///
/// \file
/// Drives a Router with a manual clock, checks every effect against the
/// Router's invariants and collects the violations.
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBROUTING_ROUTERTESTDRIVER_H
#define TESTS_LIBROUTING_ROUTERTESTDRIVER_H

#include <LibRouting/Router.h>
#include <map>
#include <set>

namespace carobhinge {

class RouterTestDriver {
public:
  explicit RouterTestDriver(const RouterOptions &Options)
      : Options(Options), TestedRouter(Options) {}

  /// A warm target with the given slot limit.
  static Target target(std::string_view Name, std::uint32_t SlotLimit,
                       Incarnation TargetIncarnation = 1);
  /// An idempotent request with a deadline a minute away.
  [[nodiscard]] RoutedRequest request(std::string_view Workspace = "tanta");

  RequestId submit(const RoutedRequest &Request);
  void setTargets(std::vector<Target> NewTargets);
  void setSpilloverDomains(std::vector<DomainSummary> Summaries);
  void reportFirstByte(AttemptId Attempt);
  void finish(AttemptId Attempt, AttemptResult Result,
              Duration RetryAfter = {});
  void callerDisconnected(RequestId Request);
  void drain();
  /// Advances the clock and calls tick() at each timer in between.
  void advance(Duration Step);

  [[nodiscard]] RouterStatus status() const {
    return this->TestedRouter.status();
  }
  /// Running attempts, cancelled ones among them, oldest first.
  [[nodiscard]] std::vector<AttemptId> running() const;
  [[nodiscard]] std::string findTargetKey(AttemptId Attempt) const;
  /// The attempts dispatched for \p Request so far.
  [[nodiscard]] std::vector<Dispatch> dispatches(RequestId Request) const;
  /// Outcome of the request: "", "complete", "refused", "forwarded" or "gone".
  [[nodiscard]] std::string ending(RequestId Request) const;
  [[nodiscard]] const Refuse &refusal(RequestId Request) const;

  TimePoint Now{std::chrono::hours(1)};
  /// One message for each violated invariant.
  std::vector<std::string> Violations;
  std::set<AttemptId> Cancelled;
  std::uint64_t FirstDispatches = 0;
  std::uint64_t HedgeCount = 0;
  std::uint64_t RetryCount = 0;

private:
  struct RequestRecord {
    RoutedRequest Request;
    std::vector<Dispatch> Dispatches;
    std::vector<AttemptResult> Results;
    bool AnswerStarted = false;
    std::string Ending;
    Refuse Refusal;
  };

  struct InFlightAttempt {
    RequestId Request = 0;
    std::string TargetKey;
  };

  void drainEffects();
  void check(const Dispatch &Effect);
  void check(const CancelAttempt &Effect);
  void check(const Refuse &Effect);
  void check(const Forward &Effect);
  void recordEnd(RequestId Request, std::string_view Outcome);
  void expect(bool Condition, std::string_view Rule);

  RouterOptions Options;
  Router TestedRouter;
  RequestId LastRequest = 0;
  std::map<std::string, Target> Targets;
  std::map<std::string, std::uint32_t> Outstanding;
  std::map<AttemptId, InFlightAttempt> InFlight;
  std::map<RequestId, RequestRecord> Requests;
};

} // namespace carobhinge

#endif // TESTS_LIBROUTING_ROUTERTESTDRIVER_H
