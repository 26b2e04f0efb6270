//===- LibIntent/IntentDiff.h - Changes between two intents ---------------===//
///
/// \file
/// Lists the changes between two intents for an operator to review before
/// applying one. Entries of lists are matched by name, never by position.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTDIFF_H
#define LIBINTENT_INTENTDIFF_H

#include <LibIntent/Intent.h>
#include <string>
#include <vector>

namespace carobhinge {

enum class ChangeKind { Added, Removed, Changed };

/// One difference. An empty list means that the intents are equivalent.
struct IntentChange {
  ChangeKind Kind = ChangeKind::Changed;
  /// Path of the changed value, such as "services/ledger/deadline_ms".
  std::string Path;
  /// The old JSON value; empty if added.
  std::string OldValue;
  /// The new JSON value; empty if removed.
  std::string NewValue;

  bool operator==(const IntentChange &) const = default;

  /// Formats the change as one line: "+ PATH: NEW", "- PATH: OLD" or
  /// "~ PATH: OLD -> NEW".
  [[nodiscard]] std::string line() const;
};

/// The changes that lead from \p OldIntent to \p NewIntent, in canonical order.
std::vector<IntentChange> diff(const Intent &OldIntent,
                               const Intent &NewIntent);

} // namespace carobhinge

#endif // LIBINTENT_INTENTDIFF_H
