//===- LibIntent/IntentDiff.h - What would change between two intents -----===//
///
/// \file
/// The changes between two intents, as an operator reads them before applying
/// one. Entries of lists are matched by name, never by position.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTDIFF_H
#define LIBINTENT_INTENTDIFF_H

#include <LibIntent/Intent.h>
#include <string>
#include <vector>

namespace carobhinge {

enum class ChangeKind { Added, Removed, Changed };

/// One difference. Empty lists of them mean that the intents mean the same.
struct IntentChange {
  ChangeKind Kind = ChangeKind::Changed;
  /// Names from the outside in, such as "services/ledger/deadline_ms".
  std::string Place;
  /// JSON before; empty if added.
  std::string Before;
  /// JSON after; empty if removed.
  std::string After;

  bool operator==(const IntentChange &) const = default;

  /// One line: "+ PLACE: AFTER", "- PLACE: BEFORE" or
  /// "~ PLACE: BEFORE -> AFTER".
  [[nodiscard]] std::string line() const;
};

/// The changes that lead from \p Before to \p After, in canonical order.
std::vector<IntentChange> diff(const Intent &Before, const Intent &After);

} // namespace carobhinge

#endif // LIBINTENT_INTENTDIFF_H
