//===- Tests/Scenario/Parser.h - Reads scenario files ---------------------===//
///
/// \file
/// Parses the text of a scenario into steps. Every error in the text is a
/// finding with FILE:LINE.
///
//===----------------------------------------------------------------------===//

#ifndef SCENARIO_PARSER_H
#define SCENARIO_PARSER_H

#include "Step.h"

#include <LibCore/Findings.h>
#include <optional>
#include <span>
#include <string_view>

namespace carobhinge::scenario {

/// Parses a duration such as "250ms", "3s" or "31d".
std::optional<Duration> parseDuration(std::string_view Text);

/// Parses \p Text and adds its errors to \p Problems. \p File is the file name
/// in the findings; \p Verbs are the verbs of the world.
Scenario parseScenario(std::string_view File, std::string_view Text,
                       std::span<const std::string_view> Verbs,
                       Findings &Problems);

} // namespace carobhinge::scenario

#endif // SCENARIO_PARSER_H
