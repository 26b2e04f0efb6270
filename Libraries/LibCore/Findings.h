//===- LibCore/Findings.h - Errors found while checking a text ------------===//
///
/// \file
/// A check collects the errors of a text, each with its location, and reports
/// them together, so that an operator can correct them at once. Texts come from
/// outside: the number and the length of findings are bounded.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_FINDINGS_H
#define LIBCORE_FINDINGS_H

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// One error in a checked text.
struct Finding {
  /// A JSON pointer such as "/services/0/deadline_ms", or FILE:LINE.
  std::string Location;
  std::string Expected;
  std::string Found;

  bool operator==(const Finding &) const = default;
};

/// The errors of one text, in the order in which they were found.
class Findings {
public:
  static constexpr std::size_t MaxItems = 100;
  /// Longer parts of a finding are cut.
  static constexpr std::size_t MaxPartBytes = 512;

  /// Adds a finding, unless isFull().
  void add(std::string_view Location, std::string_view Expected,
           std::string_view Found);

  [[nodiscard]] bool empty() const { return this->Items.empty(); }
  /// Returns whether further findings are not kept. A check may end then.
  [[nodiscard]] bool isFull() const { return this->Items.size() >= MaxItems; }
  [[nodiscard]] std::span<const Finding> items() const { return this->Items; }

  /// Returns one line per finding: "LOCATION: expected EXPECTED, found FOUND".
  /// If isFull(), a last line says that there may be more.
  [[nodiscard]] std::string report() const;

private:
  std::vector<Finding> Items;
};

/// Thrown when a text has findings and cannot be used. what() is the report.
class FindingsError : public std::runtime_error {
public:
  explicit FindingsError(Findings AllFindings);

  [[nodiscard]] const Findings &findings() const { return this->AllFindings; }

private:
  Findings AllFindings;
};

/// Returns the member of \p KnownNames closest to \p Name by edit distance, or
/// an empty view if none is close enough to be a misspelling.
std::string_view nearestName(std::string_view Name,
                             std::span<const std::string_view> KnownNames);

} // namespace carobhinge

#endif // LIBCORE_FINDINGS_H
