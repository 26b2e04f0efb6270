//===- LibStandIn/Announcer.h - Periodic announcements of a stand-in ------===//
///
/// \file
/// Posts a stand-in's announcement to one entry host of its failure domain at
/// a fixed interval. Switches to the next entry host when a post fails.
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
  /// \p CurrentAnnouncement returns the announcement to send. It is called on
  /// \p Executor for each post.
  Announcer(const boost::asio::any_io_executor &Executor,
            std::vector<std::string> EntryHosts, Duration Interval,
            std::function<Announcement()> CurrentAnnouncement);

  /// Announces at the interval until stop().
  boost::asio::awaitable<void> run();
  /// Announces once without waiting for the interval, for instance that the
  /// endpoint is leaving. \returns true if the entry host accepted it.
  boost::asio::awaitable<bool> announceNow();
  void stop();

private:
  HttpClient Client;
  std::vector<std::string> EntryHosts;
  Duration Interval;
  std::function<Announcement()> CurrentAnnouncement;
  boost::asio::steady_timer Timer;
  /// Index in EntryHosts of the host to post to.
  std::size_t NextHost = 0;
  bool Stopped = false;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ANNOUNCER_H
