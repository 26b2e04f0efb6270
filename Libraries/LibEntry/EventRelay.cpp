//===- LibEntry/EventRelay.cpp - Passes on the events of a stream ---------===//

#include <LibEntry/EventRelay.h>
#include <charconv>

namespace carobhinge {

/// The number that \p Block bears as its id, or nothing.
static std::optional<std::uint64_t> parseEventId(const EventBlock &Block) {
  std::uint64_t Number = 0;
  std::string_view Text = Block.Id.value_or("");
  auto [NumberEnd, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc())
    return std::nullopt;
  return Number;
}

bool EventRelay::acceptBlock(const EventBlock &Block) {
  std::optional<std::uint64_t> Id = parseEventId(Block);
  if (!Id)
    return true;
  if (this->LastId && *Id <= *this->LastId)
    return false;
  if (this->LastId && *Id != *this->LastId + 1) {
    this->HasGap = true;
    this->RefusedId = Id;
    return false;
  }
  this->LastId = Id;
  return true;
}

std::string EventRelay::process(std::string_view Bytes) {
  if (this->HasGap)
    return {};
  std::string Output;
  this->Parser.parse(Bytes, [this, &Output](const EventBlock &Block) {
    if (this->HasGap)
      return;
    if (!Block.IsRestOfLineEnd)
      this->PassesOnBlock = this->acceptBlock(Block);
    if (this->PassesOnBlock)
      Output += Block.Bytes;
  });
  if (this->Parser.partialBytes() > MaxEventBytes) {
    this->HasGap = true;
    this->IsTooLong = true;
    this->Parser.reset();
  }
  this->HasStarted = this->HasStarted || !Output.empty();
  return Output;
}

} // namespace carobhinge
