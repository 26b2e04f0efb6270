//===- LibEntry/EventRelay.cpp - Passes on the events of a stream ---------===//

#include <LibEntry/EventRelay.h>
#include <algorithm>
#include <charconv>

namespace carobhinge {

/// The number in the "id:" field, or nothing if the event has none.
static std::optional<std::uint64_t> parseEventId(std::string_view Event) {
  while (!Event.empty()) {
    std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    while (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Number = 0;
    auto [NumberEnd, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Number);
    if (Error == std::errc())
      return Number;
  }
  return std::nullopt;
}

std::size_t EventRelay::findEvent(std::size_t Start) {
  static constexpr std::string_view LineFeeds = "\n\n";
  static constexpr std::string_view CarriageReturns = "\r\n\r\n";
  // An end may have begun in the bytes that have been searched.
  std::size_t Known = std::max(this->SearchedBytes, Start);
  std::size_t From =
      std::max(Start, Known - std::min(Known, CarriageReturns.size() - 1));
  std::string_view Text(this->Partial);
  std::size_t Position = Text.find('\n', From);
  while (Position != std::string_view::npos) {
    std::string_view Seen = Text.substr(Start, Position + 1 - Start);
    if (Seen.ends_with(LineFeeds) || Seen.ends_with(CarriageReturns)) {
      this->ReadBytes += Position + 1 - From;
      return Seen.size();
    }
    Position = Text.find('\n', Position + 1);
  }
  this->ReadBytes += Text.size() - From;
  this->SearchedBytes = Text.size();
  return 0;
}

bool EventRelay::acceptEvent(std::string_view Event) {
  std::optional<std::uint64_t> Id = parseEventId(Event);
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
  this->Partial += Bytes;
  std::string Output;
  std::size_t Start = 0;
  while (!this->HasGap) {
    std::size_t Length = this->findEvent(Start);
    if (Length == 0)
      break;
    std::string_view Event(this->Partial.data() + Start, Length);
    if (this->acceptEvent(Event))
      Output += Event;
    Start += Length;
  }
  this->Partial.erase(0, Start);
  this->SearchedBytes -= std::min(this->SearchedBytes, Start);
  freeSpareStorage(this->Partial);
  if (this->Partial.size() > MaxEventBytes) {
    this->HasGap = true;
    this->IsTooLong = true;
    freeStorage(this->Partial);
    this->SearchedBytes = 0;
  }
  this->HasStarted = this->HasStarted || !Output.empty();
  return Output;
}

} // namespace carobhinge
