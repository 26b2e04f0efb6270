//===- LibHTTP/EventParser.h - Splits event streams -----------------------===//
///
/// \file
/// Splits the bytes of an event stream into blocks and reads the fields that
/// tell what a block is. A block ends with an empty line; a line ends with a
/// line feed, a carriage return or both, also mixed in one block
/// (text/event-stream, HTML Living Standard, 9.2.5). No byte is changed.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_EVENTPARSER_H
#define LIBHTTP_EVENTPARSER_H

#include <LibCore/StringStorage.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// The views are valid while the block is handled.
struct EventBlock {
  /// All bytes, with the empty line.
  std::string_view Bytes = {};
  /// The block has a field other than "retry". Comments are no event.
  bool IsEvent = false;
  /// The value of its last "id" field, which may be empty.
  std::optional<std::string_view> Id = {};
  /// No block: the line feed after a carriage return that ended the block
  /// before, which was complete without it.
  bool IsRestOfLineEnd = false;
  /// Bytes begin with the byte order mark of the stream.
  bool HasByteOrderMark = false;
};

class EventParser {
public:
  static constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

  using Handler = std::function<void(const EventBlock &)>;

  /// Adds \p Bytes and calls \p Handle with each block that they complete.
  void parse(std::string_view Bytes, const Handler &Handle);

  /// Discards an incomplete block. The next byte begins a new stream.
  void reset();

  [[nodiscard]] bool hasPartialBlock() const { return !this->Buffer.empty(); }
  [[nodiscard]] std::size_t partialBytes() const { return this->Buffer.size(); }
  /// \returns how many bytes were read in search of the ends of lines.
  [[nodiscard]] std::size_t readBytes() const { return this->ReadBytes; }

private:
  /// Reads a line that is not empty.
  void readField(std::size_t Begin, std::size_t End);
  /// \returns the block up to \p End and prepares for the next one.
  EventBlock takeBlock(std::size_t End);

  std::string Buffer;
  /// Offsets in Buffer, in this order: of the block, of the line and of the
  /// first byte that was not read.
  std::size_t BlockBegin = 0;
  std::size_t LineBegin = 0;
  std::size_t Position = 0;
  std::size_t ReadBytes = 0;
  /// Of the block that is read.
  EventBlock Block;
  std::size_t IdBegin = 0;
  std::size_t IdLength = 0;
  bool IsFirstLine = true;
  /// The last byte was a carriage return that ended a block.
  bool MayGetLineFeed = false;
};

} // namespace carobhinge

#endif // LIBHTTP_EVENTPARSER_H
