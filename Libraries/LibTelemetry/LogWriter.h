//===- LibTelemetry/LogWriter.h - Non-blocking writer of log lines --------===//
///
/// \file
/// Writes lines to a descriptor without ever waiting for its reader, so that a
/// slow log collector cannot delay requests. Lines that cannot be written
/// immediately are buffered up to a limit. Beyond it lines are dropped and
/// counted; ordinary lines are dropped before important ones, such as those of
/// failed requests. Each event also has a limit of lines per second.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LOGWRITER_H
#define LIBTELEMETRY_LOGWRITER_H

#include <LibCore/Time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace carobhinge {

struct LogWriterOptions {
  int Descriptor = 1;
  /// Maximum number of bytes buffered while the descriptor accepts no data.
  std::size_t BufferBytes = std::size_t(256) * 1024;
  /// Fraction of BufferBytes that ordinary lines may fill.
  double OrdinaryShare = 0.75;
  /// Limit of ordinary lines per event and second: a few times the number of
  /// requests that an entry host answers.
  std::uint64_t LinesPerSecond = 200;
  /// Limit of important lines per event and second. It is higher because
  /// a caller may ask about any failed request.
  std::uint64_t ImportantPerSecond = 1000;
};

/// Writes log lines without blocking. Thread-safe.
class LogWriter {
public:
  explicit LogWriter(LogWriterOptions Options);
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;
  ~LogWriter();

  /// Returns true if a line about \p Event is within the limit of the current
  /// second; otherwise counts it as omitted. Ordinary and important lines are
  /// limited separately.
  bool admit(TimePoint Now, std::string_view Event, bool Important);

  /// Writes \p Line and a line break, immediately or later. An \p Important
  /// line, such as that of a failed request, is dropped last.
  void write(std::string Line, bool Important);

  /// Returns the number of lines omitted since the last call.
  std::uint64_t takeOmitted();

private:
  /// Writes pending lines until the descriptor accepts no more data. Requires
  /// Lock.
  void flush();

  struct SecondCounts {
    TimePoint StartedAt = TimePoint::min();
    std::uint64_t Ordinary = 0;
    std::uint64_t Important = 0;
  };

  LogWriterOptions Options;
  std::mutex Lock;
  std::map<std::string, SecondCounts, std::less<>> Events;
  std::deque<std::string> Pending;
  /// Sum of the sizes of the lines in Pending.
  std::size_t PendingBytes = 0;
  /// Bytes of the first pending line that are already written.
  std::size_t Written = 0;
  std::uint64_t Omitted = 0;
  /// Flags of the descriptor before construction, restored at destruction.
  int OldFlags = -1;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_LOGWRITER_H
