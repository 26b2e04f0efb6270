//===- LibLedger/KeyDate.h - The date at the start of a dated key ---------===//
///
/// \file
/// Keys under the rule `dated` start with a date, from which it can always be
/// determined whether a record of the key may have been pruned.
///
//===----------------------------------------------------------------------===//

#ifndef LIBLEDGER_KEYDATE_H
#define LIBLEDGER_KEYDATE_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobhinge {

/// Days since 1970-01-01, UTC.
using DayNumber = std::int64_t;

/// The day of a key that starts with YYYY-MM-DD-; std::nullopt for other keys.
std::optional<DayNumber> dayOfKey(std::string_view Key);

/// The day of a wall clock time in milliseconds since 1970-01-01, UTC.
DayNumber dayOfTimestamp(std::int64_t TimestampMs);

} // namespace carobhinge

#endif // LIBLEDGER_KEYDATE_H
