//===- LibCore/Signal.h - Lets coroutines wait for an event ---------------===//
///
/// \file
/// A resettable event that coroutines on one executor thread wait for.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_SIGNAL_H
#define LIBCORE_SIGNAL_H

#include <LibCore/Time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace carobhinge {

/// Used on one executor thread only; must outlive its waiters.
class Signal {
public:
  explicit Signal(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  void fire() {
    this->Fired = true;
    for (boost::asio::steady_timer *Each : this->Waiters)
      Each->cancel();
  }
  void reset() { this->Fired = false; }
  [[nodiscard]] bool fired() const { return this->Fired; }

  /// Waits until the signal fires, at most for \p Timeout. Returns true if it
  /// has fired.
  boost::asio::awaitable<bool> wait(Duration Timeout) {
    if (!this->Fired) {
      boost::asio::steady_timer Timer(this->Executor);
      Timer.expires_after(Timeout);
      this->Waiters.insert(&Timer);
      auto Token = boost::asio::as_tuple(boost::asio::use_awaitable);
      co_await Timer.async_wait(Token);
      this->Waiters.erase(&Timer);
    }
    co_return this->Fired;
  }

private:
  boost::asio::any_io_executor Executor;
  bool Fired = false;
  /// Timers of the coroutines that are waiting; fire() cancels them.
  std::set<boost::asio::steady_timer *> Waiters;
};

} // namespace carobhinge

#endif // LIBCORE_SIGNAL_H
