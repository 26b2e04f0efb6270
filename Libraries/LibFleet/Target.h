//===- LibFleet/Target.h - Destinations of requests -----------------------===//
///
/// \file
/// The destinations that the fleet provides to routing. A target is a complete
/// serving group of a model, or one endpoint of a plain service. Routing does
/// not handle the members of groups: only complete groups become targets.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_TARGET_H
#define LIBFLEET_TARGET_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <string>

namespace carobhinge {

/// Load as last reported by the target. Reports arrive with a delay.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// When the report reached the first entry host, on this host's clock.
  TimePoint ReceivedAt;

  bool operator==(const ReportedLoad &) const = default;
};

/// A group or endpoint that can serve requests of a service, from the view of
/// this entry host.
struct Target {
  /// The group's name for a model, the endpoint's name for a plain service.
  std::string Name;
  ServiceName Service;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  /// "IP:PORT" of the endpoint that receives the requests.
  std::string Address;
  /// The group's number, or the endpoint's incarnation. Targets with the same
  /// name and different incarnations are different targets.
  Incarnation IncarnationNumber = 0;
  /// The group's number; zero for a plain service.
  FencingToken GroupNumber = 0;
  /// Outstanding requests that this entry host may have at the target now:
  /// this host's share of the warm-up budget while the target warms up, which
  /// may be zero, and its share of the batch limit afterwards.
  std::uint32_t SlotLimit = 0;
  /// Requests in a second that the target takes from all entry hosts of its
  /// failure domain together; 0: unlimited.
  double RequestLimit = 0;
  bool WarmingUp = false;
  /// Leaving or being drained: running requests continue, no new ones are sent.
  bool Draining = false;
  ReportedLoad Load;

  bool operator==(const Target &) const = default;
};

} // namespace carobhinge

#endif // LIBFLEET_TARGET_H
