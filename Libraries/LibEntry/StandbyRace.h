//===- LibEntry/StandbyRace.h - Which of two attempts is passed on --------===//
///
/// \file
/// A request whose target has fallen silent may run a second attempt, its
/// standby, beside the first one. Decides whose answer the caller gets: that of
/// the attempt that delivers first. The other one is cancelled then and not
/// before, and an attempt that ends alone leaves the request to the other one.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_STANDBYRACE_H
#define LIBENTRY_STANDBYRACE_H

#include <cassert>

namespace carobhinge {

class StandbyRace {
public:
  enum class Runner { First, Standby };

  /// \returns whether a standby may start: none is in the race.
  [[nodiscard]] bool canStart() const { return this->Current == State::First; }
  void start() {
    assert(this->canStart() && "a request has one standby at a time");
    this->Current = State::Both;
  }

  /// \p Each has the next part of the answer. \returns whether it may pass it
  /// on; the other one has lost then.
  [[nodiscard]] bool deliver(Runner Each) {
    State Alone = Each == Runner::First ? State::First : State::Standby;
    if (this->Current == State::Both)
      this->Current = Alone;
    return this->Current == Alone;
  }

  /// The first attempt has ended. The standby, if there is one, goes on as the
  /// first attempt.
  void endFirst() { this->Current = State::First; }
  /// The standby has ended. What follows is an attempt without one.
  void endStandby() { this->Current = State::First; }

  [[nodiscard]] bool hasLost(Runner Each) const {
    return this->Current ==
           (Each == Runner::First ? State::Standby : State::First);
  }

private:
  /// Whose answer may be passed on.
  enum class State { First, Both, Standby };
  State Current = State::First;
};

} // namespace carobhinge

#endif // LIBENTRY_STANDBYRACE_H
