//===- LibControl/EntryWatchers.h - Tells entry hosts of changes ----------===//
///
/// \file
/// Each entry host keeps one open call to the leading control host, through
/// which it gets the state in force and then every change.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_ENTRYWATCHERS_H
#define LIBCONTROL_ENTRYWATCHERS_H

#include <LibControl/AgreedState.h>
#include <LibControl/ControlHosts.h>
#include <LibControl/EntryLoads.h>
#include <LibControl/GroupForeman.h>
#include <LibWire/WireServer.h>
#include <functional>

namespace carobhinge {

class EntryWatchers {
public:
  EntryWatchers(const boost::asio::any_io_executor &Executor,
                AgreedState &State, GroupForeman &Foreman, ControlHosts &Hosts,
                std::function<void()> OnSuspicion, std::function<bool()> Leads)
      : Executor(Executor), State(State), Foreman(Foreman), Hosts(Hosts),
        OnSuspicion(std::move(OnSuspicion)), Leads(std::move(Leads)),
        Changed(std::make_shared<Signal>(Executor)) {}

  /// Something changed; every watcher looks.
  void wake();

  /// Handlers of the two calls of entry hosts.
  boost::asio::awaitable<void> watch(WireExchange &Exchange);
  boost::asio::awaitable<void> pulse(WireExchange &Exchange);

  [[nodiscard]] int count() const {
    return static_cast<int>(this->Watching.size());
  }

private:
  /// What one watcher was told.
  struct Told {
    std::uint64_t Revision = 0;
    std::uint64_t Version = 0;
    std::uint64_t Places = 0;
    bool Whole = false;
    std::vector<HostName> ControlHosts;
    int EntryHosts = 0;
    int EntryIndex = 0;
  };
  [[nodiscard]] int indexOf(const HostName &Host) const;
  bool fill(message::WatchUpdate &Update, const HostName &To, Told &So) const;
  void fillTotals(TimePoint Now, message::PulseResult &Result);

  boost::asio::any_io_executor Executor;
  AgreedState &State;
  GroupForeman &Foreman;
  ControlHosts &Hosts;
  /// An entry host waits for a place in vain.
  std::function<void()> OnSuspicion;
  /// Whether a majority confirmed lately that this host leads. One that is cut
  /// off goes on taking itself for the leader, and would keep entry hosts that
  /// can reach both sides.
  std::function<bool()> Leads;
  /// Fired and replaced at every change.
  std::shared_ptr<Signal> Changed;
  std::map<HostName, int> Watching;
  EntryLoads Loads;
};

} // namespace carobhinge

#endif // LIBCONTROL_ENTRYWATCHERS_H
