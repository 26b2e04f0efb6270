//===- Fuzz/FuzzIntent.cpp - Fuzz target for the intent parser ------------===//
///
/// \file
/// Checks that parsing any bytes returns either an intent or findings, and that
/// parsing the canonical text of an intent returns an equal intent.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentDiff.h>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  carobhinge::Findings Faults;
  std::optional<carobhinge::Intent> Parsed =
      carobhinge::parseIntent(Text, Faults);
  if (Parsed.has_value() != Faults.empty())
    std::abort();
  if (!Parsed)
    return 0;
  auto Reparsed =
      carobhinge::parseIntent(carobhinge::canonicalText(*Parsed), Faults);
  if (!Reparsed || !carobhinge::diff(*Parsed, *Reparsed).empty())
    std::abort();
  return 0;
}
