//===- Fuzz/FuzzSettings.cpp - Any bytes as settings ----------------------===//
///
/// \file
/// Whatever the bytes, parsing ends with settings or with findings.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/Settings.h>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  carobhinge::Findings Found;
  carobhinge::Settings Read = carobhinge::parseSettings(Text, Found);
  bool Complete = !Read.Host.empty() && Read.Listen.Peers.Port != 0 &&
                  (Read.AssignedRoles.Entry || Read.AssignedRoles.Control);
  if (Found.empty() && !Complete)
    std::abort();
  return 0;
}
