//===- LibEntry/EventRelay.h - Passes on the events of a stream -----------===//
///
/// \file
/// Splits the bytes of an event stream into whole events and makes sure that
/// a caller gets each event once and in order, also where another endpoint
/// continues the stream.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_EVENTRELAY_H
#define LIBENTRY_EVENTRELAY_H

#include <LibHTTP/EventParser.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

class EventRelay {
public:
  /// A longer event is not passed on; bytes without end are no event.
  static constexpr std::size_t MaxEventBytes = std::size_t(1) * 1024 * 1024;

  explicit EventRelay(std::optional<std::uint64_t> ResumeAfter)
      : LastId(ResumeAfter) {}

  /// Prepares for another endpoint that continues the stream after the last
  /// event passed on. Discards a partial event.
  void restart() {
    this->Parser.reset();
    this->PassesOnBlock = false;
    this->HasGap = false;
    this->RefusedId.reset();
    this->IsTooLong = false;
  }

  /// Adds \p Bytes from the endpoint. \returns the whole events to pass on,
  /// byte for byte.
  std::string process(std::string_view Bytes);

  /// \returns whether an event was missing or too long; no later event of the
  /// same endpoint is passed on.
  [[nodiscard]] bool hasGap() const { return this->HasGap; }
  /// \returns whether the bytes so far end inside an event.
  [[nodiscard]] bool hasPartialEvent() const {
    return this->Parser.hasPartialBlock();
  }
  /// \returns whether an event was longer than MaxEventBytes.
  [[nodiscard]] bool isTooLong() const { return this->IsTooLong; }
  /// \returns the bytes of the event that is not complete.
  [[nodiscard]] std::size_t partialBytes() const {
    return this->Parser.partialBytes();
  }
  /// \returns how many bytes were read in search of the ends of events; this
  /// grows in proportion to the bytes from the endpoint.
  [[nodiscard]] std::size_t readBytes() const {
    return this->Parser.readBytes();
  }
  /// The id of the last event passed on, or the one after which the caller
  /// resumed.
  [[nodiscard]] std::optional<std::uint64_t> lastId() const {
    return this->LastId;
  }
  /// The id of the event that was taken for one after a gap, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> refusedId() const {
    return this->RefusedId;
  }
  /// \returns whether any event was passed on.
  [[nodiscard]] bool hasStarted() const { return this->HasStarted; }

private:
  /// \returns whether \p Block is to be passed on; updates the last id or the
  /// gap.
  bool acceptBlock(const EventBlock &Block);

  EventParser Parser;
  /// Of the newest block.
  bool PassesOnBlock = false;
  std::optional<std::uint64_t> LastId;
  std::optional<std::uint64_t> RefusedId;
  bool HasStarted = false;
  bool HasGap = false;
  bool IsTooLong = false;
};

} // namespace carobhinge

#endif // LIBENTRY_EVENTRELAY_H
