//===- LibStandIn/LinkStandIn.h - A faulty network link for tests ---------===//
///
/// \file
/// Passes TCP connections on to one address and can cut, delay or silence them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_LINKSTANDIN_H
#define LIBSTANDIN_LINKSTANDIN_H

#include <LibCore/Time.h>
#include <LibHTTP/HttpServer.h>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

namespace carobhinge {

enum class LinkMode {
  Pass,
  /// Connections are reset, new ones too.
  Cut,
  /// A connection that is there stays open and swallows every byte, while
  /// later ones work: something between the two ends lost track of it.
  Stall,
  /// All connections, new ones too, swallow what is sent to the far end;
  /// what comes back passes.
  OneWay,
  /// All connections, new ones too, swallow every byte.
  Dark,
};

struct LinkStandInOptions {
  std::string Listen;
  std::string To;
  /// Where POST /link with {"mode": "pass" | "cut" | "stall" | "one-way" |
  /// "dark", "delay_ms": N} is taken; empty: nowhere.
  std::string Control;
};

class LinkStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  LinkStandIn(const boost::asio::any_io_executor &Executor,
              const LinkStandInOptions &Options);
  ~LinkStandIn();
  void start();

  /// On the executor's thread only. \p Delay is added to each piece of bytes.
  void setMode(LinkMode Mode, Duration Delay = Duration::zero());

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_LINKSTANDIN_H
