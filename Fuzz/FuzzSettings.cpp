//===- Fuzz/FuzzSettings.cpp - Fuzz target for the settings parser --------===//
///
/// \file
/// Checks that parsing any bytes returns findings or complete settings.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/Settings.h>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  carobhinge::Findings Faults;
  carobhinge::Settings Parsed = carobhinge::parseSettings(Text, Faults);
  bool IsComplete =
      !Parsed.Host.empty() && Parsed.Listen.Peers.Port != 0 &&
      (Parsed.AssignedRoles.Entry || Parsed.AssignedRoles.Control);
  if (Faults.empty() && !IsComplete)
    std::abort();
  return 0;
}
