//===- LibRouting/RequestFingerprint.cpp - What makes requests the same ---===//

#include <LibRouting/RequestFingerprint.h>

#include <LibCore/Hash.h>
#include <LibCore/Hex.h>
#include <LibCore/SecureHash.h>

namespace carobhinge {

PromptPart fingerprint(const RequestIdentity &Identity) {
  PromptPart Hash =
      secureHash64({Identity.Workspace, Identity.Method, Identity.Host,
                    Identity.Target, Identity.Body}) &
      ~RunsOnceBit;
  return Hash | FingerprintBit | (Identity.RunsOnce ? RunsOnceBit : 0);
}

PromptPart namedPart(std::uint64_t Id) {
  return isFingerprint(Id) ? hash64(toHex(Id)) & ~FingerprintBit : Id;
}

} // namespace carobhinge
