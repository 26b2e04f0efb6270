//===- LibIntent/IntentDelta.cpp - Deltas between intent texts ------------===//
///
/// \file
/// Finds the common prefix and suffix by comparing from both ends.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentDelta.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace carobhinge {

message::IntentText makeDelta(const VersionedText *Base,
                              const VersionedText &Target) {
  message::IntentText Result;
  Result.set_version(Target.Version);
  Result.set_digest(Target.Digest);
  std::string_view NewText = Target.Text;
  if (Base) {
    std::string_view OldText = Base->Text;
    std::size_t Prefix =
        std::ranges::mismatch(OldText, NewText).in1 - OldText.begin();
    OldText.remove_prefix(Prefix);
    NewText.remove_prefix(Prefix);
    std::size_t Suffix = std::mismatch(OldText.rbegin(), OldText.rend(),
                                       NewText.rbegin(), NewText.rend())
                             .first -
                         OldText.rbegin();
    NewText.remove_suffix(Suffix);
    Result.set_base_version(Base->Version);
    Result.set_base_digest(Base->Digest);
    Result.set_prefix_bytes(Prefix);
    Result.set_suffix_bytes(Suffix);
  }
  Result.set_middle(std::string(NewText));
  return Result;
}

std::optional<std::string> applyDelta(const message::IntentText &Delta,
                                      std::uint64_t BaseVersion,
                                      std::string_view BaseDigest,
                                      std::string_view BaseText) {
  std::string Text;
  if (Delta.base_version() == 0) {
    Text = Delta.middle();
  } else {
    if (Delta.base_version() != BaseVersion ||
        Delta.base_digest() != BaseDigest ||
        Delta.prefix_bytes() > BaseText.size() ||
        Delta.suffix_bytes() > BaseText.size() - Delta.prefix_bytes())
      return std::nullopt;
    Text = BaseText.substr(0, Delta.prefix_bytes());
    Text += Delta.middle();
    Text += BaseText.substr(BaseText.size() - Delta.suffix_bytes());
  }
  if (digest(Text) != Delta.digest())
    return std::nullopt;
  return Text;
}

} // namespace carobhinge
