//===- LibLedger/KeyDate.h - The day that a dated key carries -------------===//
///
/// \file
/// Keys under the rule `dated` start with their day. The day tells for ever
/// whether a record of the key may have been forgotten.
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

/// The day of a key that starts with YYYY-MM-DD-, or nothing.
std::optional<DayNumber> dayOfKey(std::string_view Key);

/// The day of a wall clock reading in milliseconds since 1970-01-01.
DayNumber dayOfStamp(std::int64_t StampMs);

} // namespace carobhinge

#endif // LIBLEDGER_KEYDATE_H
