//===- LibWire/PeerName.cpp - Whether a peer's name can be used -----------===//

#include <LibWire/PeerName.h>

#include <LibCore/Utf8.h>

namespace carobhinge {

Findings checkPeerName(std::string_view Name) {
  Findings Result;
  // The name itself isn't reported: it may be long, or no text.
  if (Name.empty() || Name.size() > MaxPeerNameBytes)
    Result.add("carobhinge-host",
               "1 to " + std::to_string(MaxPeerNameBytes) + " bytes",
               std::to_string(Name.size()) + " bytes");
  else if (!isUtf8(Name))
    Result.add("carobhinge-host", "UTF-8", "other bytes");
  return Result;
}

} // namespace carobhinge
