//===- LibHTTP/EventParser.cpp - Splits event streams ---------------------===//

#include <LibHTTP/EventParser.h>
#include <algorithm>
#include <utility>

namespace carobhinge {

void EventParser::readField(std::size_t Begin, std::size_t End) {
  std::string_view Line(this->Buffer.data() + Begin, End - Begin);
  std::size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  if (Name.empty() || Name == "retry")
    return;
  this->Block.IsEvent = true;
  if (Name != "id")
    return;
  std::size_t Value = Colon == std::string_view::npos ? Line.size() : Colon + 1;
  if (Line.substr(Value).starts_with(' '))
    ++Value;
  // The format ignores such an id.
  if (Line.find('\0', Value) != std::string_view::npos)
    return;
  this->Block.Id.emplace();
  this->IdBegin = Begin + Value;
  this->IdLength = Line.size() - Value;
}

EventBlock EventParser::takeBlock(std::size_t End) {
  std::string_view Text(this->Buffer);
  EventBlock Taken = std::exchange(this->Block, {});
  Taken.Bytes = Text.substr(this->BlockBegin, End - this->BlockBegin);
  if (Taken.Id)
    Taken.Id = Text.substr(this->IdBegin, this->IdLength);
  this->BlockBegin = End;
  this->LineBegin = End;
  return Taken;
}

void EventParser::parse(std::string_view Bytes, const Handler &Handle) {
  if (Bytes.empty())
    return;
  this->ReadBytes += Bytes.size();
  if (std::exchange(this->MayGetLineFeed, false) && Bytes.front() == '\n') {
    Handle({.Bytes = Bytes.substr(0, 1), .IsRestOfLineEnd = true});
    Bytes.remove_prefix(1);
  }
  this->Buffer += Bytes;
  while (this->Position < this->Buffer.size()) {
    std::size_t At = this->Position++;
    char Byte = this->Buffer[At];
    if (Byte != '\n' && Byte != '\r')
      continue;
    // The carriage return has ended the line.
    if (Byte == '\n' && At > this->BlockBegin && this->Buffer[At - 1] == '\r') {
      this->LineBegin = this->Position;
      continue;
    }
    std::size_t Begin = this->LineBegin;
    this->LineBegin = this->Position;
    if (std::exchange(this->IsFirstLine, false) &&
        std::string_view(this->Buffer)
            .substr(Begin, At - Begin)
            .starts_with(ByteOrderMark)) {
      this->Block.HasByteOrderMark = true;
      Begin += ByteOrderMark.size();
    }
    if (Begin < At) {
      this->readField(Begin, At);
      continue;
    }
    bool IsLast = this->Position == this->Buffer.size();
    if (Byte == '\r' && !IsLast && this->Buffer[this->Position] == '\n')
      ++this->Position;
    this->MayGetLineFeed = Byte == '\r' && IsLast;
    Handle(this->takeBlock(this->Position));
  }
  this->Buffer.erase(0, this->BlockBegin);
  freeSpareStorage(this->Buffer);
  this->LineBegin -= this->BlockBegin;
  this->IdBegin -= std::min(this->IdBegin, this->BlockBegin);
  this->Position -= this->BlockBegin;
  this->BlockBegin = 0;
}

void EventParser::reset() {
  freeStorage(this->Buffer);
  this->BlockBegin = 0;
  this->LineBegin = 0;
  this->Position = 0;
  this->Block = {};
  this->IsFirstLine = true;
  this->MayGetLineFeed = false;
}

} // namespace carobhinge
