//===- LibEntry/EventRelay.h - Passes on the events of a stream -----------===//
///
/// \file
/// Cuts the bytes of an event stream into whole events and makes sure that a
/// caller gets each event once and in order, also where the stream goes on at
/// another endpoint.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_EVENTRELAY_H
#define LIBENTRY_EVENTRELAY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

class EventRelay {
public:
  explicit EventRelay(std::optional<std::uint64_t> After) : Last(After) {}

  /// Another endpoint goes on with the stream. Part of an event is dropped.
  void restart() { this->Partial.clear(); }

  /// Takes in \p Bytes. \returns the whole events that are to be passed on,
  /// byte for byte.
  std::string take(std::string_view Bytes);

  /// Whether an event was missing; nothing behind it is passed on.
  [[nodiscard]] bool broken() const { return this->Gap; }
  /// Whether the endpoint stopped inside an event.
  [[nodiscard]] bool insideEvent() const { return !this->Partial.empty(); }
  /// The id of the last event passed on, or that the caller began after.
  [[nodiscard]] std::optional<std::uint64_t> last() const { return this->Last; }
  /// Whether any event was passed on.
  [[nodiscard]] bool begun() const { return this->Begun; }

private:
  bool accept(std::string_view Event);

  std::string Partial;
  std::optional<std::uint64_t> Last;
  bool Begun = false;
  bool Gap = false;
};

} // namespace carobhinge

#endif // LIBENTRY_EVENTRELAY_H
