//===- Tests/LibRouting/TestRouterProperties.cpp - Router invariants ------===//
///
/// \file
/// Guards against requests that never end and effects that break the Router's
/// rules in rare sequences: for any sequence of requests, outcomes, disconnects
/// and lost targets, every effect satisfies the invariants of RouterTestDriver
/// and every request ends.
///
//===----------------------------------------------------------------------===//

#include "RouterTestDriver.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

namespace {

/// One event. The meaning of the values depends on the kind.
struct Step {
  unsigned Kind = 0;
  unsigned First = 0;
  unsigned Second = 0;
};

void showValue(const Step &Each, std::ostream &Stream) {
  Stream << Each.Kind << ':' << Each.First << ',' << Each.Second;
}

class RandomRun {
public:
  explicit RandomRun(const RouterOptions &Options) : Driver(Options) {
    this->changeTargets(0xFF, 0);
  }

  void perform(const Step &Each) {
    std::vector<AttemptId> Running = this->Driver.running();
    switch (Each.Kind % 12) {
    case 0:
    case 1:
    case 2:
    case 3:
      this->submit(Each.First, Each.Second);
      return;
    case 4:
      if (!Running.empty())
        this->Driver.reportFirstByte(Running[Each.First % Running.size()]);
      return;
    case 5:
    case 6:
      if (!Running.empty())
        this->Driver.finish(Running[Each.First % Running.size()],
                            AttemptResult::Complete);
      return;
    case 7:
      this->fail(Running, Each.First, Each.Second);
      return;
    case 8:
      this->Driver.callerDisconnected(1 + Each.First % this->Submitted);
      return;
    case 9:
      this->changeTargets(Each.First, Each.Second);
      return;
    case 10:
      this->Driver.setSpilloverDomains(
          {DomainSummary{.FailureDomain = "mansoura-b",
                         .Service = "",
                         .SpareSlots = Each.First % 4,
                         .Unavailable = Each.Second % 4 == 0,
                         .ReceivedAt = this->Driver.Now}});
      return;
    default:
      this->Driver.advance(std::chrono::milliseconds(Each.First % 3000));
    }
  }

  /// Completes the run: all attempts complete, queued requests are dispatched
  /// or expire, and the dispatched ones complete as well.
  void completeRun() {
    this->completeAll();
    this->Driver.advance(100s);
    this->completeAll();
    for (RequestId Id = 1; Id <= this->Submitted; ++Id)
      if (this->Driver.ending(Id).empty())
        this->Driver.Violations.emplace_back("a request did not end");
  }

  RouterTestDriver Driver;

private:
  void completeAll() {
    while (!this->Driver.running().empty())
      this->Driver.finish(this->Driver.running().front(),
                          AttemptResult::Complete);
  }

  void submit(unsigned First, unsigned Second) {
    RoutedRequest Request = this->Driver.request(First % 3 ? "large" : "small");
    Request.Class = First % 2 ? "sheet" : "report";
    Request.Priority = static_cast<int>(First / 2 % 2);
    Request.Idempotent = Second % 3 != 0;
    Request.Resumable = Second % 5 == 0;
    Request.Forwarded = Second % 7 == 0;
    Request.Cost = 1 + First % 4;
    Request.PrefixHash = Second % 6;
    Request.Deadline =
        this->Driver.Now + std::chrono::milliseconds(First * 37 % 20000);
    this->Submitted = this->Driver.submit(Request);
  }

  void fail(const std::vector<AttemptId> &Running, unsigned First,
            unsigned Second) {
    if (Running.empty())
      return;
    AttemptId Attempt = Running[First % Running.size()];
    constexpr std::array Failures{
        AttemptResult::FailedBeforeSend, AttemptResult::FailedAfterSend,
        AttemptResult::Overloaded, AttemptResult::Cancelled};
    this->Driver.finish(Attempt, Failures[Second % Failures.size()],
                        std::chrono::milliseconds(Second % 900));
  }

  /// Lists some of six targets: bits of \p Listed select them, and \p Variant
  /// selects which of them are draining, warming up or restarted.
  void changeTargets(unsigned Listed, unsigned Variant) {
    std::vector<Target> Targets;
    for (unsigned I = 0; I < 6; ++I) {
      if (!(Listed >> I & 1U))
        continue;
      Target Each = RouterTestDriver::target(
          "engine-" + std::to_string(I), (Variant + I) % 4, 1 + Variant % 2);
      Each.Draining = (Variant >> I & 5U) == 5;
      Targets.push_back(Each);
    }
    this->Driver.setTargets(Targets);
  }

  unsigned Submitted = 1;
};

} // namespace

namespace rc {
template <> struct Arbitrary<Step> {
  static Gen<Step> arbitrary() {
    return gen::build<Step>(gen::set(&Step::Kind, gen::inRange(0U, 12U)),
                            gen::set(&Step::First, gen::inRange(0U, 5000U)),
                            gen::set(&Step::Second, gen::inRange(0U, 5000U)));
  }
};
} // namespace rc

/// Runs \p Steps and returns the violated invariants, one per line.
static std::string findViolations(const RouterOptions &Options,
                                  const std::vector<Step> &Steps) {
  RandomRun Run(Options);
  Run.perform(Step{.Kind = 0, .First = 0, .Second = 1});
  for (const Step &Each : Steps)
    Run.perform(Each);
  Run.completeRun();
  std::string Report;
  for (const std::string &Rule : Run.Driver.Violations)
    Report += Rule + "\n";
  return Report;
}

RC_GTEST_PROP(RouterProperties, InvariantsHoldForAnyEventSequence,
              (const std::vector<Step> &Steps)) {
  RouterOptions Options;
  Options.QueueLimit = 6;
  Options.BudgetBurst = 2;
  RC_ASSERT(findViolations(Options, Steps) == "");
}

RC_GTEST_PROP(RouterProperties, InvariantsHoldWithBaselinePolicies,
              (const std::vector<Step> &Steps)) {
  RouterOptions Options;
  Options.QueueLimit = 6;
  Options.Policies = {.Admission = "fifo",
                      .Choice = "round-robin",
                      .Deadlines = "none",
                      .Hedges = "none",
                      .Stragglers = "none",
                      .Spillover = "none"};
  RC_ASSERT(findViolations(Options, Steps) == "");
}
