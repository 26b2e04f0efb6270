//===- LibEntry/EventRelay.cpp - Passes on the events of a stream ---------===//

#include <LibEntry/EventRelay.h>
#include <algorithm>
#include <charconv>

namespace carobhinge {

/// So many equal steps show that an endpoint counts by them.
static constexpr unsigned MinEqualSteps = 2;

std::string_view eventFaultName(EventFault Fault) {
  switch (Fault) {
  case EventFault::None:
    return "";
  case EventFault::TooLong:
    return "event too long";
  case EventFault::MissingEvent:
    return "event missing";
  case EventFault::UnknownPosition:
    return "event of unknown position";
  }
  return "";
}

static bool isDecimal(std::string_view Id) {
  return !Id.empty() &&
         std::ranges::all_of(Id, [](char C) { return C >= '0' && C <= '9'; });
}

static std::string_view withoutLeadingZeros(std::string_view Digits) {
  Digits.remove_prefix(std::min(Digits.find_first_not_of('0'), Digits.size()));
  return Digits;
}

std::optional<std::strong_ordering> compareEventIds(std::string_view First,
                                                    std::string_view Second) {
  if (First == Second)
    return std::strong_ordering::equal;
  if (!isDecimal(First) || !isDecimal(Second))
    return std::nullopt;
  First = withoutLeadingZeros(First);
  Second = withoutLeadingZeros(Second);
  if (First.size() != Second.size())
    return First.size() <=> Second.size();
  return First <=> Second;
}

/// \returns the step from one id to a larger one; nothing if one of them isn't
/// a decimal number of 64 bits.
static std::optional<std::uint64_t> stepBetween(std::string_view From,
                                                std::string_view To) {
  auto Parse = [](std::string_view Text) -> std::optional<std::uint64_t> {
    std::uint64_t Value = 0;
    auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Error != std::errc() || End != Text.data() + Text.size())
      return std::nullopt;
    return Value;
  };
  std::optional<std::uint64_t> Begin = Parse(From);
  std::optional<std::uint64_t> End = Parse(To);
  if (!Begin || !End || *End <= *Begin)
    return std::nullopt;
  return *End - *Begin;
}

void EventRelay::restart() {
  this->Parser.reset();
  freeStorage(this->Doubted);
  this->Fault = EventFault::None;
  this->RefusedId.clear();
  this->PassesOnBlock = false;
  if (this->HasEvent)
    this->Joint = JointKind::Relay;
}

EventRelay EventRelay::forContinuation() const {
  EventRelay Other(*this);
  Other.restart();
  return Other;
}

void EventRelay::refuse(EventFault Cause, std::optional<std::string_view> Id) {
  this->Fault = Cause;
  this->RefusedId = Id.value_or("").substr(0, MaxIdBytes);
  freeStorage(this->Doubted);
}

bool EventRelay::isLargerStep(std::string_view Id) const {
  if (!this->HasEqualSteps || this->StepCount < MinEqualSteps)
    return false;
  std::optional<std::uint64_t> Next = stepBetween(*this->LastId, Id);
  return Next && *Next > *this->Step;
}

bool EventRelay::isNextAtJoint(const EventBlock &Event) {
  // The relay has the order of its own ids only. What the caller joins is the
  // caller's to judge, but for what is certain to be a repeat.
  bool IsOwn = this->Joint == JointKind::Relay;
  if (!Event.Id || Event.Id->size() > MaxIdBytes || !this->LastId) {
    if (IsOwn)
      this->refuse(EventFault::UnknownPosition, Event.Id);
    return !IsOwn;
  }
  std::optional<std::strong_ordering> Order =
      compareEventIds(*Event.Id, *this->LastId);
  if (!Order && IsOwn) {
    this->refuse(EventFault::UnknownPosition, Event.Id);
    return false;
  }
  if (Order && std::is_lteq(*Order))
    return false;
  if (IsOwn && this->isLargerStep(*Event.Id)) {
    this->Doubted = Event.Bytes;
    this->DoubtedId = *Event.Id;
    return false;
  }
  this->Joint = JointKind::None;
  return true;
}

void EventRelay::settleDoubt(const EventBlock &Event, std::string &Output) {
  std::optional<std::uint64_t> Next =
      Event.Id ? stepBetween(this->DoubtedId, *Event.Id) : std::nullopt;
  // Where both endpoints count by the same step, an event is missing. Another
  // step shows that this one writes longer events.
  if (!Next || *Next == *this->Step)
    return this->refuse(EventFault::MissingEvent, this->DoubtedId);
  Output += this->Doubted;
  freeStorage(this->Doubted);
  this->recordEvent(this->DoubtedId);
  this->Joint = JointKind::None;
}

void EventRelay::recordEvent(std::optional<std::string_view> Id) {
  this->HasEvent = true;
  this->LastEventHasId = Id && !Id->empty() && Id->size() <= MaxIdBytes;
  if (!Id)
    return;
  if (!this->LastEventHasId) {
    this->LastId.reset();
    this->HasIncreasingIds = false;
    return;
  }
  if (this->LastId) {
    this->HasIncreasingIds =
        this->HasIncreasingIds &&
        compareEventIds(*Id, *this->LastId) == std::strong_ordering::greater;
    std::optional<std::uint64_t> Next = stepBetween(*this->LastId, *Id);
    this->HasEqualSteps =
        this->HasEqualSteps && Next && (!this->Step || *Next == *this->Step);
    this->Step = Next;
    ++this->StepCount;
  } else {
    this->HasIncreasingIds = this->HasIncreasingIds && isDecimal(*Id);
  }
  this->LastId = *Id;
}

void EventRelay::handleBlock(EventBlock Block, std::string &Output) {
  if (this->Fault != EventFault::None)
    return;
  if (Block.IsRestOfLineEnd) {
    if (this->PassesOnBlock)
      Output += Block.Bytes;
    else if (!this->Doubted.empty())
      this->Doubted += Block.Bytes;
    return;
  }
  // Behind the first byte of a stream the mark would be part of a field.
  if (Block.HasByteOrderMark && this->HasBlock)
    Block.Bytes.remove_prefix(EventParser::ByteOrderMark.size());
  if (Block.IsEvent && !this->Doubted.empty())
    this->settleDoubt(Block, Output);
  if (this->Fault != EventFault::None)
    return;
  this->PassesOnBlock = !Block.IsEvent || this->Joint == JointKind::None ||
                        this->isNextAtJoint(Block);
  if (!this->PassesOnBlock)
    return;
  Output += Block.Bytes;
  this->HasBlock = true;
  if (Block.IsEvent)
    this->recordEvent(Block.Id);
}

std::string EventRelay::process(std::string_view Bytes) {
  std::string Output;
  if (this->Fault != EventFault::None)
    return Output;
  this->Parser.parse(Bytes, [this, &Output](const EventBlock &Block) {
    this->handleBlock(Block, Output);
  });
  if (this->Parser.partialBytes() > MaxEventBytes)
    this->refuse(EventFault::TooLong, std::nullopt);
  if (this->Fault != EventFault::None)
    this->Parser.reset();
  return Output;
}

void EventRelay::finish() {
  if (!this->Doubted.empty())
    this->refuse(EventFault::MissingEvent, this->DoubtedId);
}

} // namespace carobhinge
