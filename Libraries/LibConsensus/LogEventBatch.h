//===- LibConsensus/LogEventBatch.h - Events handled together -------------===//
///
/// \file
/// Each event of a batch is handled or refused, so that whoever posted it gets
/// its one answer also if a handler throws.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_LOGEVENTBATCH_H
#define LIBCONSENSUS_LOGEVENTBATCH_H

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace carobhinge {

struct LogEvent {
  std::function<void()> Handle;
  /// Called instead, or after Handle has thrown.
  std::function<void()> Refuse;
};

class LogEventBatch {
public:
  explicit LogEventBatch(std::deque<LogEvent> Events)
      : Events(std::move(Events)) {}

  /// Handles the events in their order. Throws what a handler throws; the event
  /// of that handler and all after it remain for refuse().
  void handle();

  /// Refuses the events that have not been handled. What one of them throws
  /// takes no answer from the others.
  void refuse() noexcept;

private:
  std::deque<LogEvent> Events;
};

/// \returns a function that calls \p Done the first time it is called: a
/// handler that throws may have answered before.
template <typename Result>
std::function<void(Result)> answerOnce(std::function<void(Result)> Done) {
  auto IsAnswered = std::make_shared<std::atomic<bool>>(false);
  return [IsAnswered, Done = std::move(Done)](Result Answer) {
    if (!IsAnswered->exchange(true))
      Done(std::move(Answer));
  };
}

} // namespace carobhinge

#endif // LIBCONSENSUS_LOGEVENTBATCH_H
