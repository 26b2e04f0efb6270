//===- LibStandIn/LinkStandIn.h - A faulty network link for tests ---------===//
///
/// \file
/// Passes TCP connections on to one address and can cut, delay or stall them.
/// A stalled connection stays open and swallows every byte, while connections
/// made afterwards work: something between the two ends lost track of it.
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

struct LinkStandInOptions {
  std::string Listen;
  std::string To;
  /// Where POST /link with {"mode": "pass" | "cut" | "stall", "delay_ms": N}
  /// is taken.
  std::string Control;
};

class LinkStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  LinkStandIn(const boost::asio::any_io_executor &Executor,
              const LinkStandInOptions &Options);
  ~LinkStandIn();
  void start();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_LINKSTANDIN_H
