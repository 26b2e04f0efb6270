//===- LibEntry/ControlSubscriber.h - Subscribes to the control leader ----===//
///
/// \file
/// Subscribes to the leading control host, which pushes every change, and
/// regularly requests confirmation that the applied state is the newest. Finds
/// the leader among the control hosts from the settings and those that control
/// hosts name.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_CONTROLSUBSCRIBER_H
#define LIBENTRY_CONTROLSUBSCRIBER_H

#include <LibControl/Control.pb.h>
#include <LibControl/ControlProtocol.h>
#include <LibCore/Signal.h>
#include <LibEntry/EntryState.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/WireLink.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace carobhinge {

class ControlSubscriber {
public:
  /// \p CatalogChanged is called after a new catalog was applied.
  ControlSubscriber(boost::asio::io_context &Context, EntryState &State,
                    const ControlProtocol &Protocol,
                    const SharedByteBudget &Budget,
                    std::function<void()> CatalogChanged);

  void start();
  /// Closes the links to the control hosts, for the end of the process.
  void stop();
  /// Sends the next pulse, with the current loads, to the leader at once.
  void requestPulse() { this->PulseRequested.fire(); }
  /// Returns whether a control host that leads gets the pulses.
  [[nodiscard]] bool isSubscribed() const { return this->IsSubscribed; }

private:
  boost::asio::awaitable<void> subscribeLoop();
  boost::asio::awaitable<void> subscribe(HostName Host);
  boost::asio::awaitable<void> pulseLoop();
  boost::asio::awaitable<void> sendPulse();
  bool applyUpdate(const HostName &Sender, const message::WatchUpdate &Update);
  void applyState(const message::WatchUpdate &Update);
  void applyTargets(const message::WatchUpdate &Update);
  HostName nextHost();
  WireLink &link(const HostName &Host);

  boost::asio::io_context &Context;
  EntryState &State;
  const ControlProtocol &Protocol;
  std::function<void()> CatalogChanged;
  WireOptions LinkOptions;
  std::vector<HostName> ControlHosts;
  std::map<HostName, std::unique_ptr<WireLink>> Links;
  /// The host with the current subscription, or that was named as leader.
  HostName Leader;
  SharedFlag IsSubscribed;
  std::size_t NextHostIndex = 0;
  std::uint64_t Revision = 0;
  Signal PulseRequested;
};

} // namespace carobhinge

#endif // LIBENTRY_CONTROLSUBSCRIBER_H
