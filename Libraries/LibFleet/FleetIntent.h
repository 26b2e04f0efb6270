//===- LibFleet/FleetIntent.h - What operators want of the fleet ----------===//
///
/// \file
/// The part of the intent that concerns the endpoints of one failure domain.
/// The driver derives it from the intent in force.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FLEETINTENT_H
#define LIBFLEET_FLEETINTENT_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <string>

namespace carobhinge {

struct FleetService {
  /// Zero for a plain service, whose endpoints serve each by itself.
  std::uint32_t HostsPerGroup = 0;
  /// The version that groups are formed with. May be empty.
  std::string Version = {};
  /// Requests that a cold target bears at once, over all entry hosts.
  std::uint32_t WarmUpBudget = 2;
  /// How long the budget takes to grow to the full limit, if the target
  /// answers enough; zero for the directory's own curve.
  Duration WarmUpLength{};

  bool operator==(const FleetService &) const = default;
};

struct FleetIntent {
  std::map<ServiceName, FleetService> Services;
  /// The failure domain is out: its targets get no new work. Its groups stay
  /// formed, so that the return needs no weight loading.
  bool DomainOut = false;

  bool operator==(const FleetIntent &) const = default;
};

} // namespace carobhinge

#endif // LIBFLEET_FLEETINTENT_H
