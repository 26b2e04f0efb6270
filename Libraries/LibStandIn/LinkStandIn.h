//===- LibStandIn/LinkStandIn.h - A faulty network link for tests ---------===//
///
/// \file
/// A TCP proxy to one address that can reset connections, delay their bytes,
/// drop them, or hold them back until later.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_LINKSTANDIN_H
#define LIBSTANDIN_LINKSTANDIN_H

#include <LibCore/Time.h>
#include <LibHTTP/HttpServer.h>
#include <LibStandIn/BrokenAnswer.h>
#include <LibStandIn/EndlessForm.h>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

namespace carobhinge {

enum class LinkMode {
  /// Forwards all bytes.
  Pass,
  /// Closes existing and new connections.
  Cut,
  /// Existing connections stay open but drop all bytes, and new connections
  /// work, as after a device on the path lost its connection state.
  Stall,
  /// Existing and new connections drop bytes towards the server and forward
  /// bytes towards the client.
  OneWay,
  /// Existing and new connections drop all bytes in both directions.
  Blackhole,
};

struct LinkStandInOptions {
  std::string Listen;
  /// Address that connections are forwarded to.
  std::string TargetAddress;
  /// Address that accepts POST /link with {"mode": "pass" | "cut" | "stall" |
  /// "one-way" | "dark", "delay_ms": N}. If empty, there is no control server.
  std::string Control;
};

class LinkStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  LinkStandIn(const boost::asio::any_io_executor &Executor,
              const LinkStandInOptions &Options);
  ~LinkStandIn();
  void start();

  /// Call on the executor's thread only. Each read of up to 16 KiB is held back
  /// for \p Delay. A connection that drops bytes keeps doing so in later modes.
  void setMode(LinkMode Mode, Duration Delay = Duration::zero());
  /// The same for the connections from \p ClientIp only; Pass ends that. Modes
  /// other than Pass, Cut and Blackhole have no effect.
  void setClientMode(const std::string &ClientIp, LinkMode Mode);
  /// While \p IsHeld, existing and new connections pass on neither bytes nor
  /// their end; all of it follows afterwards, in order. Independent of the
  /// mode. Call on the executor's thread only.
  void setHeld(bool IsHeld);
  /// From now on each answer of the server is replaced by the head of a chunked
  /// answer and \p Form, until the client closes; null ends that. Call on the
  /// executor's thread only.
  void setEndlessAnswers(const EndlessForm *Form);
  /// From now on the beginning of each answer of the server, or what comes next
  /// of one that is on its way, is replaced by \p Form, which must outlive the
  /// link; null ends that. Call on the executor's thread only.
  void setBrokenAnswers(const BrokenAnswer *Form, AfterBrokenAnswer After);
  /// Returns the number of broken answers. May be called from any thread.
  [[nodiscard]] unsigned brokenAnswerCount() const;
  /// Returns the bytes written in answers without end. May be called from any
  /// thread.
  [[nodiscard]] std::size_t endlessBytes() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_LINKSTANDIN_H
