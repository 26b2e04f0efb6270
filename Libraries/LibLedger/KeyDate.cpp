//===- LibLedger/KeyDate.cpp - The date at the start of a dated key -------===//
///
/// \file
/// Parses and validates dates with std::chrono.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/KeyDate.h>

#include <chrono>

namespace carobhinge {

/// Accepts digits only: a date contains no sign and no blank.
static std::optional<int> readDigits(std::string_view Text) {
  int Value = 0;
  for (char Digit : Text) {
    if (Digit < '0' || Digit > '9')
      return std::nullopt;
    Value = Value * 10 + (Digit - '0');
  }
  return Value;
}

std::optional<DayNumber> dayOfKey(std::string_view Key) {
  constexpr std::size_t DatePartBytes = 11;
  if (Key.size() < DatePartBytes || Key[4] != '-' || Key[7] != '-' ||
      Key[10] != '-')
    return std::nullopt;
  auto Year = readDigits(Key.substr(0, 4));
  auto Month = readDigits(Key.substr(5, 2));
  auto Day = readDigits(Key.substr(8, 2));
  if (!Year || !Month || !Day)
    return std::nullopt;
  std::chrono::year_month_day Date{std::chrono::year{*Year},
                                   std::chrono::month(*Month),
                                   std::chrono::day(*Day)};
  if (!Date.ok())
    return std::nullopt;
  return std::chrono::sys_days{Date}.time_since_epoch().count();
}

DayNumber dayOfTimestamp(std::int64_t TimestampMs) {
  return std::chrono::floor<std::chrono::days>(
             std::chrono::milliseconds{TimestampMs})
      .count();
}

} // namespace carobhinge
