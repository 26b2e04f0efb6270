//===- LibServe/EventSplitter.cpp - Splits server-sent events -------------===//

#include <LibServe/EventSplitter.h>

namespace carobhinge {

std::string EventSplitter::append(std::string_view Bytes) {
  std::string Complete;
  this->Parser.parse(Bytes, [this, &Complete](const EventBlock &Block) {
    Complete += Block.Bytes;
    this->Events += Block.IsEvent ? 1 : 0;
  });
  if (this->Parser.partialBytes() > MaxEventBytes)
    throw std::length_error("a server-sent event is too long");
  return Complete;
}

} // namespace carobhinge
