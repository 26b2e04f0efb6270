//===- LibControl/GroupForeman.h - Runs the formation of groups -----------===//
///
/// \file
/// The driver around the engine register, the loss watch and the formation
/// planner at a leading control host: it asks engines, gives them orders and
/// derives the places to which entry hosts may send requests.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_GROUPFOREMAN_H
#define LIBCONTROL_GROUPFOREMAN_H

#include <LibControl/Control.pb.h>
#include <LibControl/ControlDialect.h>
#include <LibFormation/FormationPlanner.h>
#include <LibFormation/LossWatch.h>
#include <LibHTTP/HttpClient.h>
#include <LibSettings/HostSettings.h>
#include <LibTelemetry/Metrics.h>
#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace carobhinge {

class GroupForeman {
public:
  GroupForeman(const boost::asio::any_io_executor &Executor,
               const HostSettings &Own, const ControlDialect &Dialect);

  /// Takes in a report. \returns whether it was news.
  bool report(TimePoint HeardAt, EngineReport Report);
  bool leave(const EndpointName &Id);
  /// What an entry host has in progress and sees of each place. \returns
  /// whether it waits for one in vain; then the next step is due at once.
  bool entryLoad(TimePoint Now, const message::PulseCall &Call);

  void lead(TimePoint Now, FencingNumber Term, const Catalog &InForce,
            TimePoint HeardBy);
  /// Whether places() holds all places; until then it holds some of them.
  [[nodiscard]] bool settled(TimePoint Now) const {
    return this->Leading && this->Planner.settled(Now);
  }
  void stopLeading() { this->Leading = false; }
  [[nodiscard]] bool leads() const { return this->Leading; }
  /// One step of the planning. \returns whether places changed.
  bool step(TimePoint Now, const Catalog &InForce);

  /// A place and the revision of its last change.
  struct PlaceState {
    message::PlaceMessage Message;
    std::uint64_t Revision = 0;
    bool Removed = false;
  };
  [[nodiscard]] const std::map<std::string, PlaceState> &places() const {
    return this->Places;
  }
  [[nodiscard]] std::uint64_t revision() const { return this->PlaceRevision; }
  /// Groups by state and engines by belief. Only the leader knows them.
  void tellFigures(Metrics &Figures) const;
  [[nodiscard]] const EngineRegister &engines() const { return this->Engines; }

private:
  void watchLosses(TimePoint Now);
  void logFleet(TimePoint Now);
  void ask(const EndpointName &Id);
  boost::asio::awaitable<void> askEngine(EndpointName Id, std::string Address);
  boost::asio::awaitable<void> giveOrder(EngineOrder Order);
  [[nodiscard]] std::map<std::string, message::PlaceMessage>
  derivePlaces(TimePoint Now, const Catalog &InForce) const;
  bool publish(const std::map<std::string, message::PlaceMessage> &Fresh);

  boost::asio::any_io_executor Executor;
  const ControlDialect &Dialect;
  HttpClient Client;
  EngineRegister Engines;
  LossWatch Watch;
  FormationPlanner Planner;
  bool Leading = false;
  TimePoint FleetLoggedAt;
  std::map<std::string, PlaceState> Places;
  std::uint64_t PlaceRevision = 0;
};

} // namespace carobhinge

#endif // LIBCONTROL_GROUPFOREMAN_H
