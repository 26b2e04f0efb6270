//===- LibEntry/ControlFollower.h - Follows the leading control host ------===//
///
/// \file
/// Keeps one open call to the leading control host, through which every change
/// comes, and asks it regularly whether what is in force here is the newest.
/// Finds the leader from the hosts in the settings and those it was told of.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_CONTROLFOLLOWER_H
#define LIBENTRY_CONTROLFOLLOWER_H

#include <LibControl/Control.pb.h>
#include <LibControl/ControlDialect.h>
#include <LibCore/Signal.h>
#include <LibEntry/EntryState.h>
#include <LibWire/WireLink.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace carobhinge {

class ControlFollower {
public:
  /// \p CatalogChanged is called after a new catalog came into force.
  ControlFollower(boost::asio::io_context &Context, EntryState &State,
                  const ControlDialect &Dialect,
                  std::function<void()> CatalogChanged);

  void start();
  /// Closes the links to the control hosts, for the end of the process.
  void stop();
  /// Tells the leader of a finding at once.
  void pulseSoon() { this->PulseDue.fire(); }

private:
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<void> follow(HostName Host);
  boost::asio::awaitable<void> pulseLoop();
  boost::asio::awaitable<void> pulse();
  bool take(const HostName &From, const message::WatchUpdate &Update);
  void takeState(const message::WatchUpdate &Update);
  void takePlaces(const message::WatchUpdate &Update);
  HostName nextHost();
  WireLink &link(const HostName &Host);

  boost::asio::io_context &Context;
  EntryState &State;
  const ControlDialect &Dialect;
  std::function<void()> CatalogChanged;
  WireOptions Wire;
  std::vector<HostName> Hosts;
  std::map<HostName, std::unique_ptr<WireLink>> Links;
  /// The host that is followed, or that was said to lead.
  HostName Leader;
  bool Following = false;
  std::size_t Turn = 0;
  std::uint64_t Revision = 0;
  Signal PulseDue;
};

} // namespace carobhinge

#endif // LIBENTRY_CONTROLFOLLOWER_H
