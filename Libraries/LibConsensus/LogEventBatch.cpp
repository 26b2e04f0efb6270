//===- LibConsensus/LogEventBatch.cpp - Events handled together -----------===//

#include <LibConsensus/LogEventBatch.h>

namespace carobhinge {

void LogEventBatch::handle() {
  while (!this->Events.empty()) {
    this->Events.front().Handle();
    this->Events.pop_front();
  }
}

void LogEventBatch::refuse() noexcept {
  while (!this->Events.empty()) {
    LogEvent Next = std::move(this->Events.front());
    this->Events.pop_front();
    try {
      Next.Refuse();
    } catch (...) {
      // Whoever waits for the next answer gets it all the same.
      continue;
    }
  }
}

} // namespace carobhinge
