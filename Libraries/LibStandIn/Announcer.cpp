//===- LibStandIn/Announcer.cpp - Periodic announcements of a stand-in ----===//
///
/// \file
/// The announcement loop and a single post.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/Announcer.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr std::size_t MaxAnswerBytes = 64 * 1024;

Announcer::Announcer(const asio::any_io_executor &Executor,
                     std::vector<std::string> EntryHosts, Duration Interval,
                     std::function<Announcement()> CurrentAnnouncement)
    : Client(Executor), EntryHosts(std::move(EntryHosts)), Interval(Interval),
      CurrentAnnouncement(std::move(CurrentAnnouncement)), Timer(Executor) {}

asio::awaitable<bool> Announcer::announceNow() {
  HttpRequest Request{.Method = "POST",
                      .Target = "/endpoints",
                      .Headers = {{"Content-Type", "application/json"}},
                      .Body = toJson(this->CurrentAnnouncement())};
  HttpCallOptions Options{.ConnectTimeout = std::chrono::milliseconds(500),
                          .HeadTimeout = std::chrono::seconds(1)};
  const std::string &Host = this->EntryHosts[this->NextHost];
  HttpFetchResult Answer = co_await this->Client.fetch(
      Host, std::move(Request), std::move(Options), MaxAnswerBytes);
  bool Accepted =
      Answer.Outcome == HttpCallOutcome::Complete && Answer.Head.Status < 300;
  if (!Accepted)
    this->NextHost = (this->NextHost + 1) % this->EntryHosts.size();
  co_return Accepted;
}

asio::awaitable<void> Announcer::run() {
  while (!this->Stopped) {
    // After a failed post the next host is tried immediately, each host at
    // most once per interval.
    for (std::size_t I = 0; I < this->EntryHosts.size(); ++I)
      if (co_await this->announceNow())
        break;
    this->Timer.expires_after(this->Interval);
    co_await this->Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void Announcer::stop() {
  this->Stopped = true;
  this->Timer.cancel();
}

} // namespace carobhinge
