//===- Tests/LibRouting/RouterWorld.h - A driver that checks a Router -----===//
///
/// \file
/// Plays the driver of a Router with a clock turned by hand. Every effect is
/// checked against the rules that hold always; violations are collected.
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBROUTING_ROUTERWORLD_H
#define TESTS_LIBROUTING_ROUTERWORLD_H

#include <LibRouting/Router.h>
#include <map>
#include <set>

namespace carobhinge {

class RouterWorld {
public:
  explicit RouterWorld(const RouterOptions &Options)
      : Options(Options), Subject(Options) {}

  /// A warm target with one slot limit.
  static Target target(std::string_view Name, std::uint32_t SlotLimit,
                       Incarnation Life = 1);
  /// An idempotent request with a deadline a minute away.
  [[nodiscard]] RoutedRequest request(std::string_view Workspace = "tanta");

  RequestId submit(const RoutedRequest &Request);
  void setTargets(std::vector<Target> NewTargets);
  void setNeighbours(std::vector<DomainSummary> Summaries);
  void firstByte(AttemptId Attempt);
  void finish(AttemptId Attempt, AttemptResult Result,
              Duration RetryAfter = {});
  void callerGone(RequestId Request);
  void drain();
  /// Turns the clock and ticks at each timer on the way.
  void advance(Duration Step);

  [[nodiscard]] RouterStatus status() const { return this->Subject.status(); }
  /// Running attempts, cancelled ones among them, oldest first.
  [[nodiscard]] std::vector<AttemptId> running() const;
  [[nodiscard]] std::string whereIs(AttemptId Attempt) const;
  /// The attempts dispatched for \p Request so far.
  [[nodiscard]] std::vector<Dispatch> dispatches(RequestId Request) const;
  /// How the request ended: "", "complete", "refused", "forwarded" or "gone".
  [[nodiscard]] std::string ending(RequestId Request) const;
  [[nodiscard]] const Refuse &refusal(RequestId Request) const;

  TimePoint Now{std::chrono::hours(1)};
  /// One sentence for each broken rule.
  std::vector<std::string> Violations;
  std::set<AttemptId> Cancelled;
  std::uint64_t FirstDispatches = 0;
  std::uint64_t Hedged = 0;
  std::uint64_t Retried = 0;

private:
  struct History {
    RoutedRequest Request;
    std::vector<Dispatch> Dispatches;
    std::vector<AttemptResult> Results;
    bool AnswerBegan = false;
    std::string Ending;
    Refuse Refusal;
  };

  struct Flight {
    RequestId Request = 0;
    std::string TargetKey;
  };

  void drainEffects();
  void check(const Dispatch &Effect);
  void check(const CancelAttempt &Effect);
  void check(const Refuse &Effect);
  void check(const Forward &Effect);
  void end(RequestId Request, std::string_view How);
  void expect(bool Holds, std::string_view Rule);

  RouterOptions Options;
  Router Subject;
  RequestId LastRequest = 0;
  std::map<std::string, Target> Targets;
  std::map<std::string, std::uint32_t> Outstanding;
  std::map<AttemptId, Flight> Flights;
  std::map<RequestId, History> Requests;
};

} // namespace carobhinge

#endif // TESTS_LIBROUTING_ROUTERWORLD_H
