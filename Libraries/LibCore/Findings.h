//===- LibCore/Findings.h - Faults of a text, with their places -----------===//
///
/// \file
/// Checks collect every fault they find, each with its place, and report all
/// of them together, so that an operator mends a text in one go.
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

/// One fault of a checked text.
struct Finding {
  /// Where: a JSON pointer such as "/services/0/deadline_ms", or FILE:LINE.
  std::string Place;
  std::string Expected;
  std::string Found;

  bool operator==(const Finding &) const = default;
};

/// The faults of one text, in the order in which they were found.
class Findings {
public:
  void add(std::string_view Place, std::string_view Expected,
           std::string_view Found);

  [[nodiscard]] bool empty() const { return this->Items.empty(); }
  [[nodiscard]] std::span<const Finding> items() const { return this->Items; }

  /// One line a finding: "PLACE: expected EXPECTED, found FOUND".
  [[nodiscard]] std::string report() const;

private:
  std::vector<Finding> Items;
};

/// Thrown where a text with findings cannot be used. what() is the report.
class FindingsError : public std::runtime_error {
public:
  explicit FindingsError(Findings Collected);

  [[nodiscard]] const Findings &findings() const { return this->Collected; }

private:
  Findings Collected;
};

/// The member of \p Known closest to \p Name by edit distance, or an empty
/// view if none is close enough to be a slip of the pen.
std::string_view nearestName(std::string_view Name,
                             std::span<const std::string_view> Known);

} // namespace carobhinge

#endif // LIBCORE_FINDINGS_H
