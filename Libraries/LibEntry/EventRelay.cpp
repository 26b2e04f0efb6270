//===- LibEntry/EventRelay.cpp - Passes on the events of a stream ---------===//

#include <LibEntry/EventRelay.h>
#include <charconv>

namespace carobhinge {

/// The number behind "id:", or nothing if the event has none.
static std::optional<std::uint64_t> idOf(std::string_view Event) {
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
    auto [Rest, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Number);
    if (Error == std::errc())
      return Number;
  }
  return std::nullopt;
}

/// The length of the first whole event with its empty line, or nothing.
static std::size_t wholeEvent(std::string_view Bytes) {
  std::size_t Plain = Bytes.find("\n\n");
  std::size_t Returns = Bytes.find("\r\n\r\n");
  if (Plain == std::string_view::npos && Returns == std::string_view::npos)
    return 0;
  return Plain < Returns ? Plain + 2 : Returns + 4;
}

bool EventRelay::accept(std::string_view Event) {
  std::optional<std::uint64_t> Id = idOf(Event);
  if (!Id)
    return true;
  if (this->Last && *Id <= *this->Last)
    return false;
  if (this->Last && *Id != *this->Last + 1) {
    this->Gap = true;
    return false;
  }
  this->Last = Id;
  return true;
}

std::string EventRelay::take(std::string_view Bytes) {
  this->Partial += Bytes;
  std::string Passed;
  std::size_t Start = 0;
  while (!this->Gap) {
    std::size_t Length =
        wholeEvent(std::string_view(this->Partial).substr(Start));
    if (Length == 0)
      break;
    std::string_view Event(this->Partial.data() + Start, Length);
    if (this->accept(Event))
      Passed += Event;
    Start += Length;
  }
  this->Partial.erase(0, Start);
  this->Begun = this->Begun || !Passed.empty();
  return Passed;
}

} // namespace carobhinge
