//===- LibHTTP/DecimalField.cpp - Numbers in header fields ----------------===//

#include <LibHTTP/DecimalField.h>

#include <algorithm>
#include <charconv>

namespace carobhinge {

/// Digits of a number that is still read; more of them are no honest value.
static constexpr std::size_t MaxDecimalBytes = 400;
static constexpr std::chrono::hours MaxRetryAfter{24 * 365};

static std::string_view trim(std::string_view Text) {
  std::size_t Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1);
}

std::optional<double> parseDecimal(std::string_view Text) {
  Text = trim(Text);
  std::size_t Points = static_cast<std::size_t>(std::ranges::count(Text, '.'));
  if (Text.size() > MaxDecimalBytes || Points > 1 || Text.size() == Points ||
      Text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<Duration> parseRetryAfter(std::string_view Text) {
  std::optional<double> Seconds = parseDecimal(Text);
  if (!Seconds)
    return std::nullopt;
  std::chrono::duration<double> Length(*Seconds);
  return std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double>>(Length, MaxRetryAfter));
}

} // namespace carobhinge
