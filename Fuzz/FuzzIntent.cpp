//===- Fuzz/FuzzIntent.cpp - Any bytes as an intent -----------------------===//
///
/// \file
/// Whatever the bytes, parsing ends with an intent or with findings, and an
/// intent's canonical text means the same as the text that it came from.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentDiff.h>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  carobhinge::Findings Found;
  std::optional<carobhinge::Intent> Read = carobhinge::parseIntent(Text, Found);
  if (Read.has_value() != Found.empty())
    std::abort();
  if (!Read)
    return 0;
  auto Again = carobhinge::parseIntent(carobhinge::canonicalText(*Read), Found);
  if (!Again || !carobhinge::diff(*Read, *Again).empty())
    std::abort();
  return 0;
}
