//===- LibHTTP/DecimalField.h - Numbers in header fields ------------------===//
///
/// \file
/// Reads the numbers that peers write into header fields. Whatever a peer
/// writes, the result is a finite number that is not negative, or nothing.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_DECIMALFIELD_H
#define LIBHTTP_DECIMALFIELD_H

#include <LibCore/Time.h>
#include <optional>
#include <string_view>

namespace carobhinge {

/// Parses decimal digits with an optional fraction ("12", "0.25"). Returns
/// nothing for any other text: signs, exponents, "nan", spaces inside, or a
/// number beyond the range of double.
std::optional<double> parseDecimal(std::string_view Text);

/// Parses the value of Retry-After in seconds, with an optional fraction. A
/// time beyond a year is cut to a year. Returns nothing for any other text, and
/// for a date: it needs a clock that agrees with the peer's.
std::optional<Duration> parseRetryAfter(std::string_view Text);

} // namespace carobhinge

#endif // LIBHTTP_DECIMALFIELD_H
