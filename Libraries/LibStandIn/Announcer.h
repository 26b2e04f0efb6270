//===- LibStandIn/Announcer.h - Announces a stand-in, over and over -------===//
///
/// \file
/// Posts a stand-in's announcement to one entry host of its failure domain at
/// a fixed interval, and moves on to the next host when one does not answer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ANNOUNCER_H
#define LIBSTANDIN_ANNOUNCER_H

#include <LibFleet/Announcement.h>
#include <LibHTTP/HttpClient.h>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace carobhinge {

class Announcer {
public:
  /// \p Current gives the announcement to send now. Called on \p Executor.
  Announcer(const boost::asio::any_io_executor &Executor,
            std::vector<std::string> EntryHosts, Duration Interval,
            std::function<Announcement()> Current);

  /// Announces until stop().
  boost::asio::awaitable<void> run();
  /// Announces at once, for instance that the endpoint is leaving.
  boost::asio::awaitable<bool> announceNow();
  void stop();

private:
  HttpClient Client;
  std::vector<std::string> EntryHosts;
  Duration Interval;
  std::function<Announcement()> Current;
  boost::asio::steady_timer Timer;
  std::size_t NextHost = 0;
  bool Stopped = false;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ANNOUNCER_H
