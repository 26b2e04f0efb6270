//===- LibWire/WireLink.h - Calls to one other host -----------------------===//
///
/// \file
/// Keeps a connection to one peer, reconnecting with jittered back-off, and
/// makes calls over it. A call that cannot be sent now fails at once; it is
/// never kept for later, since its sender may have given it up by then.
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

enum class WireCallEnd {
  /// All replies arrived and the peer finished the call.
  Complete,
  /// The peer never saw the call.
  NotSent,
  /// The peer may or may not have seen the call or acted on it.
  Lost,
};

/// A call in progress. Usable from any one coroutine.
class WireCall {
public:
  virtual ~WireCall() = default;
  /// The next reply message, or nothing when the call ended; then see end().
  /// Times out after \p Timeout, which ends the call as Lost.
  virtual boost::asio::awaitable<std::optional<std::string>>
  next(Duration Timeout) = 0;
  /// Only after next() returned nothing.
  [[nodiscard]] virtual WireCallEnd end() const = 0;
  /// Gives the call up; the peer is told.
  virtual void cancel() = 0;
};

struct WireReply {
  WireCallEnd End = WireCallEnd::NotSent;
  std::string Message;
};

class WireLink {
public:
  /// \p Address is the peer's "IP:PORT". Connecting starts at once.
  WireLink(const boost::asio::any_io_executor &Executor, std::string Address,
           WireOptions Options, std::uint64_t Seed);
  ~WireLink();
  /// Closes the connection for good; calls in progress end. Takes effect once
  /// the executor has run.
  void stop();
  WireLink(const WireLink &) = delete;
  WireLink &operator=(const WireLink &) = delete;

  [[nodiscard]] bool connected() const;

  /// Starts a call whose replies come one by one.
  std::shared_ptr<WireCall> start(std::string Method, std::string Message);

  /// A call with one reply.
  boost::asio::awaitable<WireReply> call(std::string Method,
                                         std::string Message, Duration Timeout);

  /// Sends a message that needs no reply. Dropped if it cannot be sent now.
  void post(std::string Method, std::string Message);

  /// Why the link last failed, for status pages; empty while it works.
  [[nodiscard]] std::string lastError() const;

private:
  class Implementation;
  /// Shared with the coroutine that keeps the connection.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRELINK_H
