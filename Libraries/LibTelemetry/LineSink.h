//===- LibTelemetry/LineSink.h - Log lines that never hold up a request ---===//
///
/// \file
/// Writes lines to a descriptor without ever waiting for its reader. What can't
/// be written now is kept up to a bound; beyond it lines are left out and
/// counted, the ones that tell of a request that ended badly last. Each event
/// has a bound of lines in a second.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LINESINK_H
#define LIBTELEMETRY_LINESINK_H

#include <LibCore/Time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace carobhinge {

struct LineSinkOptions {
  int Descriptor = 1;
  /// Bytes kept while nobody reads.
  std::size_t KeptBytes = std::size_t(256) * 1024;
  /// Part of KeptBytes that ordinary lines may fill.
  double OrdinaryShare = 0.75;
  /// Lines of one event in a second: a few times what an entry host answers.
  std::uint64_t LinesPerSecond = 200;
  /// The same for lines of requests that ended badly, of which a clerk may
  /// ask for each one.
  std::uint64_t ImportantPerSecond = 1000;
};

/// Thread-safe.
class LineSink {
public:
  explicit LineSink(LineSinkOptions Options);
  LineSink(const LineSink &) = delete;
  LineSink &operator=(const LineSink &) = delete;
  ~LineSink();

  /// Whether a line about \p Event fits into this second's bound. Ordinary
  /// lines never take the place of important ones.
  bool admit(TimePoint Now, std::string_view Event, bool Important);

  /// Writes \p Line and a line break, now or later. \p Important: it tells of
  /// a request that ended badly.
  void write(std::string Line, bool Important);

  /// Lines left out since the last call.
  std::uint64_t takeOmitted();

private:
  void flush();

  struct Second {
    TimePoint Began = TimePoint::min();
    std::uint64_t Ordinary = 0;
    std::uint64_t Important = 0;
  };

  LineSinkOptions Options;
  std::mutex Lock;
  std::map<std::string, Second, std::less<>> Events;
  std::deque<std::string> Waiting;
  /// Sum of the sizes in Waiting.
  std::size_t WaitingBytes = 0;
  /// Bytes of the first waiting line that are written.
  std::size_t Written = 0;
  std::uint64_t Omitted = 0;
  /// Flags of the descriptor before this sink, to be restored.
  int OldFlags = -1;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_LINESINK_H
