//===- Tests/Scenario/Parser.h - Reads scenario files ---------------------===//
///
/// \file
/// Turns the text of a scenario into steps. Every fault of the text is a
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

/// \p File is the name that findings carry; \p Verbs are those of the world.
Scenario parseScenario(std::string_view File, std::string_view Text,
                       std::span<const std::string_view> Verbs, Findings &Out);

} // namespace carobhinge::scenario

#endif // SCENARIO_PARSER_H
