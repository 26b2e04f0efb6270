//===- Tests/LibRouting/RoutingScenarioWorld.h - Routing scenarios --------===//
///
/// \file
/// The verbs of routing scenarios, which run on one RouterTestDriver:
///
///     ENGINE list slots=4 [life=2] [draining=yes]
///     ENGINE unlist
///     ENGINE serve|break|unreached|hold [time=200ms]
///     NAME submit [count=9] [workspace=W] [deadline=5s] [payout=yes]
///     DOMAIN tell spare=4 [out=yes]
///     entry drain
///     NAME expect served|refused|forwarded|gone|open [least=N] [most=N]
///     entry expect retried|hedged [least=N] [most=N]
///     ENGINE expect running [least=N] [most=N]
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBROUTING_ROUTINGSCENARIOWORLD_H
#define TESTS_LIBROUTING_ROUTINGSCENARIOWORLD_H

#include "RouterTestDriver.h"

#include <Scenario/World.h>

namespace carobhinge {

class RoutingScenarioWorld final : public scenario::World {
public:
  RoutingScenarioWorld() : Entry(RouterOptions{}) {}

  [[nodiscard]] std::span<const std::string_view> verbs() const override;
  void advance(Duration Passed) override;
  void execute(const scenario::Step &Action) override;
  std::optional<std::string>
  expectationFailure(const scenario::Step &Expectation) override;
  std::optional<std::string> brokenInvariant() override;

private:
  struct Behaviour {
    /// "hold", "serve", "break" or "unreached".
    std::string Verb = "hold";
    Duration Time{};
  };

  void submit(const scenario::Step &Action);
  void stepEngines();
  [[nodiscard]] std::uint64_t count(const scenario::Step &Expectation) const;

  RouterTestDriver Entry;
  std::map<std::string, Target> Listed;
  std::map<std::string, DomainSummary> SpilloverDomains;
  std::map<std::string, Behaviour> Behaviours;
  std::map<AttemptId, TimePoint> FirstSeenAt;
  std::map<std::string, std::vector<RequestId>> Submitted;
};

} // namespace carobhinge

#endif // TESTS_LIBROUTING_ROUTINGSCENARIOWORLD_H
