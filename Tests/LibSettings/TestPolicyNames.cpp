//===- Tests/LibSettings/TestPolicyNames.cpp - Policy names in settings ---===//
///
/// \file
/// Guards against settings and libraries that differ: every policy name that
/// settings allow must be implemented by its library, and the default of the
/// settings must equal the default of the library.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FormationPolicy.h>
#include <LibFleet/GroupPlanner.h>
#include <LibFleet/RepairPolicy.h>
#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/AttemptBudget.h>
#include <LibRouting/DeadlinePolicy.h>
#include <LibRouting/RouterOptions.h>
#include <LibRouting/Spillover.h>
#include <LibRouting/StragglerPolicy.h>
#include <LibRouting/TargetChoice.h>
#include <LibSettings/PolicyNames.h>
#include <functional>
#include <gtest/gtest.h>

using namespace carobhinge;

using Maker = std::function<bool(std::string_view Name)>;

/// Returns a maker that sets one member of the router's policies.
template <typename Make>
static Maker withPolicy(std::string RouterPolicies::*Member, Make Function) {
  return [=](std::string_view Name) {
    RouterOptions Options;
    Options.Policies.*Member = Name;
    return Function(Options) != nullptr;
  };
}

static Maker budget() {
  return [](std::string_view Name) {
    return makeAttemptBudget(Name, 0.1, 1) != nullptr;
  };
}

/// Returns a maker that passes the name to \p Function.
template <typename Make> static Maker byName(Make Function) {
  return [=](std::string_view Name) { return Function(Name) != nullptr; };
}

TEST(PolicyNames, MatchTheLibraries) {
  struct {
    std::span<const std::string_view> Names;
    std::string Default;
    Maker Make;
  } const Policies[] = {
      {AdmissionPolicyNames, RouterPolicies().Admission,
       withPolicy(&RouterPolicies::Admission, makeAdmissionQueue)},
      {ChoicePolicyNames, RouterPolicies().Choice,
       withPolicy(&RouterPolicies::Choice, makeTargetChoice)},
      {SpilloverPolicyNames, RouterPolicies().Spillover,
       withPolicy(&RouterPolicies::Spillover, makeSpillover)},
      {DeadlinePolicyNames, RouterPolicies().Deadlines,
       byName(makeDeadlinePolicy)},
      {StragglerPolicyNames, RouterPolicies().Stragglers,
       byName(makeStragglerPolicy)},
      {RetryPolicyNames, RouterPolicies().Retries, budget()},
      {HedgePolicyNames, RouterPolicies().Hedges, budget()},
      {GroupPolicyNames, PlannerOptions().Formation,
       byName(makeFormationPolicy)},
      {RepairPolicyNames, PlannerOptions().Repair, byName(makeRepairPolicy)},
  };
  for (const auto &Policy : Policies) {
    EXPECT_EQ(Policy.Names.front(), Policy.Default);
    for (std::string_view Name : Policy.Names)
      EXPECT_TRUE(Policy.Make(Name)) << Name;
    EXPECT_THROW(Policy.Make("no-such-policy"), std::invalid_argument);
  }
}
