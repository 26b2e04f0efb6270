//===- LibEntry/EventRelay.h - Passes on the events of a stream -----------===//
///
/// \file
/// Passes on whole events of a stream and joins the answers of the endpoints
/// that continue it one after another.
///
/// Ids are the endpoint's text and increase in any steps. Within one answer no
/// id is compared: HTTP delivers all bytes, once and in order. Only an answer
/// that continues another one can repeat or leave out events. Its endpoint was
/// asked to go on after the last id, so whatever follows that id is next.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_EVENTRELAY_H
#define LIBENTRY_EVENTRELAY_H

#include <LibHTTP/EventParser.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Why no more of an answer is passed on.
enum class EventFault {
  None,
  /// An event is longer than MaxEventBytes.
  TooLong,
  /// The answer continues a stream and leaves out an event.
  MissingEvent,
  /// The answer continues a stream, and no id tells how the two fit together.
  UnknownPosition,
};

/// \returns the name of \p Fault in logs; empty if there is none.
[[nodiscard]] std::string_view eventFaultName(EventFault Fault);

/// \returns the order of two ids, if both are the same text or decimal numbers.
[[nodiscard]] std::optional<std::strong_ordering>
compareEventIds(std::string_view First, std::string_view Second);

class EventRelay {
public:
  /// A longer event is not passed on; bytes without end are no event.
  static constexpr std::size_t MaxEventBytes = std::size_t(1) * 1024 * 1024;
  /// A longer id is not kept, so that a stream is not resumed after it.
  static constexpr std::size_t MaxIdBytes = 256;

  /// \p ResumeAfter is the last id that the caller has, if it resumes a stream.
  explicit EventRelay(std::optional<std::string> ResumeAfter = std::nullopt)
      : LastId(std::move(ResumeAfter)),
        Joint(this->LastId ? JointKind::Caller : JointKind::None) {}

  /// Prepares for another endpoint that continues the stream after the last
  /// event passed on. Discards a partial event.
  void restart();
  /// \returns a relay for an endpoint that continues the stream beside the one
  /// whose events this relay gets.
  [[nodiscard]] EventRelay forContinuation() const;
  /// \returns whether another endpoint can continue the stream: no event was
  /// passed on, or the ids passed on are increasing decimal numbers and the
  /// last event has one.
  [[nodiscard]] bool canContinue() const {
    return !this->HasEvent || (this->HasIncreasingIds && this->LastEventHasId);
  }

  /// Adds \p Bytes from the endpoint. \returns the whole events and comments to
  /// pass on, byte for byte.
  std::string process(std::string_view Bytes);
  /// The answer has ended as complete: no event follows.
  void finish();

  /// \returns why no later event of the same endpoint is passed on.
  [[nodiscard]] EventFault fault() const { return this->Fault; }
  /// \returns whether the bytes so far end inside an event, or an event waits
  /// for the next one.
  [[nodiscard]] bool hasPartialEvent() const {
    return this->Parser.hasPartialBlock() || !this->Doubted.empty();
  }
  /// \returns the bytes of events that are not passed on yet.
  [[nodiscard]] std::size_t partialBytes() const {
    return this->Parser.partialBytes() + this->Doubted.size();
  }
  /// \returns how many bytes were read in search of the ends of events; this
  /// grows in proportion to the bytes from the endpoint.
  [[nodiscard]] std::size_t readBytes() const {
    return this->Parser.readBytes();
  }
  /// The id of the last event passed on, or the one after which the caller
  /// resumed.
  [[nodiscard]] const std::optional<std::string> &lastId() const {
    return this->LastId;
  }
  /// The id of the event that caused the fault; empty if it has none.
  [[nodiscard]] const std::string &refusedId() const { return this->RefusedId; }

private:
  /// What the answer in progress continues.
  enum class JointKind {
    /// Nothing, or the event that continues it was passed on.
    None,
    /// What the caller has got of another answer. Nothing is known but its
    /// last id.
    Caller,
    /// What this relay has passed on.
    Relay,
  };

  void handleBlock(EventBlock Block, std::string &Output);
  /// \returns whether \p Event, the newest of an answer that continues another
  /// one, is passed on now.
  bool isNextAtJoint(const EventBlock &Event);
  /// Judges the event in Doubted by \p Event, which follows it.
  void settleDoubt(const EventBlock &Event, std::string &Output);
  /// \returns whether all steps so far are equal, and the one to \p Id is
  /// larger.
  [[nodiscard]] bool isLargerStep(std::string_view Id) const;
  void recordEvent(std::optional<std::string_view> Id);
  void refuse(EventFault Cause, std::optional<std::string_view> Id);

  EventParser Parser;
  std::optional<std::string> LastId;
  JointKind Joint;
  EventFault Fault = EventFault::None;
  std::string RefusedId;
  /// An event behind a joint that may have left out the one before, and its id.
  std::string Doubted;
  std::string DoubtedId;
  /// Of the newest block.
  bool PassesOnBlock = false;
  /// Of the blocks passed on.
  bool HasBlock = false;
  bool HasEvent = false;
  /// Of the events passed on.
  bool LastEventHasId = false;
  bool HasIncreasingIds = true;
  /// The step between the two newest ids.
  std::optional<std::uint64_t> Step;
  unsigned StepCount = 0;
  bool HasEqualSteps = true;
};

} // namespace carobhinge

#endif // LIBENTRY_EVENTRELAY_H
