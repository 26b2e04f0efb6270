//===- LibFleet/FleetIntent.h - Intent for a failure domain's endpoints ---===//
///
/// \file
/// The part of the intent that concerns the endpoints of one failure domain.
/// The caller derives it from the intent in force.
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
  /// Zero for a plain service, whose endpoints serve requests individually.
  std::uint32_t HostsPerGroup = 0;
  /// The model version that groups load. May be empty.
  std::string Version = {};
  /// Concurrent requests that a cold target gets at first, over all entry
  /// hosts.
  std::uint32_t WarmUpBudget = 2;
  /// Time in which the budget grows to the full limit if the target answers
  /// enough requests; zero for the directory's default curve.
  Duration WarmUpLength{};

  bool operator==(const FleetService &) const = default;
};

struct FleetIntent {
  std::map<ServiceName, FleetService> Services;
  /// The failure domain is drained: its targets get no new requests. Its groups
  /// stay formed, so that no weights are loaded when it returns to service.
  bool IsDomainDrained = false;

  bool operator==(const FleetIntent &) const = default;
};

} // namespace carobhinge

#endif // LIBFLEET_FLEETINTENT_H
