//===- LibServe/EventSplitter.h - Splits server-sent events ---------------===//
///
/// \file
/// Splits the bytes of an event stream into complete events, so that a caller
/// never gets a partial event and a broken stream can be resumed after the last
/// complete one.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_EVENTSPLITTER_H
#define LIBSERVE_EVENTSPLITTER_H

#include <LibHTTP/EventParser.h>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobhinge {

class EventSplitter {
public:
  /// Adds bytes and returns the events and comments that they complete, each
  /// with its terminating empty line. Throws std::length_error if one event
  /// exceeds MaxEventBytes.
  std::string append(std::string_view Bytes);

  /// Number of complete events returned so far.
  [[nodiscard]] std::uint32_t count() const { return this->Events; }

  /// Discards a partial event that will not be completed.
  void dropPartial() { this->Parser.reset(); }
  [[nodiscard]] bool hasPartial() const {
    return this->Parser.hasPartialBlock();
  }

  [[nodiscard]] std::size_t partialBytes() const {
    return this->Parser.partialBytes();
  }

  static constexpr std::size_t MaxEventBytes = 256 * 1024;

private:
  EventParser Parser;
  std::uint32_t Events = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_EVENTSPLITTER_H
