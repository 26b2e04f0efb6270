//===- LibWire/WireLink.h - Client connection to one peer host ------------===//
///
/// \file
/// Maintains a connection to one peer, reconnecting with jittered exponential
/// back-off, and makes calls over it. A call that cannot be sent now fails at
/// once. It is not queued until the connection returns, since its sender may
/// have given up by then.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIRELINK_H
#define LIBWIRE_WIRELINK_H

#include <LibWire/WireOptions.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace carobhinge {

enum class WireCallOutcome {
  /// The peer completed the call and all its replies were received.
  Complete,
  /// The peer did not run the call.
  NotSent,
  /// The outcome is unknown: the peer may or may not have received the call and
  /// run it.
  Lost,
};

/// A call in progress. Used by one coroutine at a time, on any executor.
class WireCall {
public:
  virtual ~WireCall() = default;
  /// Returns the next reply message, or nothing when the call has ended;
  /// outcome() then returns the outcome. If no reply arrives within \p Timeout,
  /// the call is cancelled and ends as Lost.
  virtual boost::asio::awaitable<std::optional<std::string>>
  next(Duration Timeout) = 0;
  /// Valid only after next() has returned nothing.
  [[nodiscard]] virtual WireCallOutcome outcome() const = 0;
  /// Cancels the call and resets its stream, which notifies the peer.
  virtual void cancel() = 0;
};

struct WireReply {
  WireCallOutcome Outcome = WireCallOutcome::NotSent;
  std::string Message;
};

class WireLink {
public:
  /// \p Address is the peer's "IP:PORT". Connecting starts at once.
  WireLink(const boost::asio::any_io_executor &Executor, std::string Address,
           WireOptions Options, std::uint64_t Seed);
  ~WireLink();
  /// Closes the connection without reconnecting; calls in progress end. Runs
  /// asynchronously on the executor.
  void stop();
  WireLink(const WireLink &) = delete;
  WireLink &operator=(const WireLink &) = delete;

  [[nodiscard]] bool connected() const;

  /// Starts a call with a stream of replies.
  std::shared_ptr<WireCall> start(std::string Method, std::string Message);

  /// Makes a call with one reply and waits for at most \p Timeout. A call that
  /// completes without a reply ends as Lost.
  boost::asio::awaitable<WireReply> call(std::string Method,
                                         std::string Message, Duration Timeout);

  /// Sends a message without waiting for a reply. The message is dropped if it
  /// cannot be sent now.
  void post(std::string Method, std::string Message);

  /// Returns the reason of the last connection failure for status pages; empty
  /// while connected.
  [[nodiscard]] std::string lastError() const;

private:
  class Implementation;
  /// Shared with the coroutine that maintains the connection.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRELINK_H
