//===- LibFleet/Target.h - What a request may be sent to ------------------===//
///
/// \file
/// The fleet's view handed to routing: a target is a whole serving group of a
/// model, or one endpoint of a plain service. Routing never sees members of a
/// group; whether the group is whole was decided before a target was made.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_TARGET_H
#define LIBFLEET_TARGET_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <string>

namespace carobhinge {

/// Load as the target last reported it. Reports lag.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// When the report reached the system, on this host's clock.
  TimePoint ReceivedAt;

  bool operator==(const ReportedLoad &) const = default;
};

/// One thing that can serve requests of a service, as seen by this entry host.
struct Target {
  /// The group's name for a model, the endpoint's for a plain service.
  std::string Name;
  ServiceName Service;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  /// "IP:PORT" of the endpoint that takes the group's requests.
  std::string Address;
  /// Of the group's life (its number), or the endpoint's incarnation. A target
  /// with the same name and another incarnation is another target.
  Incarnation Life = 0;
  FencingNumber Number = 0;
  /// How many requests this entry host may have outstanding here now. While
  /// the target warms up this is this host's share of the warm-up budget and
  /// may be zero; afterwards it is this host's share of the batching limit.
  std::uint32_t SlotLimit = 0;
  bool WarmingUp = false;
  /// Leaving or being drained: what runs goes on, nothing new is sent.
  bool Draining = false;
  ReportedLoad Load;

  bool operator==(const Target &) const = default;
};

} // namespace carobhinge

#endif // LIBFLEET_TARGET_H
