//===- Tests/Scenario/Step.h - One line of a scenario ---------------------===//
///
/// \file
/// The language of the scripted tests. A scenario is a text file with one step
/// per line; '#' starts a comment.
///
///     scenario A payout completes although the leader fails
///     seed 7
///     after 200ms  tanta-a-1  kill
///     mansoura-b-1 call payout key=2026-12-01-a
///     within 3s    payout expect answered status=200
///
/// A step is [after D | within D] WHO VERB [word...] [name=value...], where D
/// is a number with ms, s, m, h or d. `after` advances the clock before the
/// step. `within` is allowed with `expect` only: the clock advances until the
/// expectation holds, by D at most.
///
//===----------------------------------------------------------------------===//

#ifndef SCENARIO_STEP_H
#define SCENARIO_STEP_H

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge::scenario {

struct Step {
  /// File name without folders.
  std::string File;
  /// Line number, counted from one.
  int Line = 0;
  Duration Delay{};
  Duration TimeLimit{};
  std::string Subject;
  std::string Verb;
  std::vector<std::string> Arguments;
  std::map<std::string, std::string, std::less<>> Options;

  [[nodiscard]] std::string location() const {
    return this->File + ":" + std::to_string(this->Line);
  }
  /// Returns the value of the option \p Name, or \p Default if it is not set.
  [[nodiscard]] std::string option(std::string_view Name,
                                   std::string_view Default = "") const {
    auto Found = this->Options.find(Name);
    return std::string(Found == this->Options.end() ? Default : Found->second);
  }
};

struct Scenario {
  std::string Title;
  std::uint64_t Seed = 1;
  std::vector<Step> Steps;
};

} // namespace carobhinge::scenario

#endif // SCENARIO_STEP_H
