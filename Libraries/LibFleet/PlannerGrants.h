//===- LibFleet/PlannerGrants.h - Planner grants of failure domains -------===//
///
/// \file
/// The part of the control log's state that assigns the planner of each failure
/// domain: the entry host that holds the grant, the epoch, and the orders that
/// may be in progress to endpoints without fencing.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_PLANNERGRANTS_H
#define LIBFLEET_PLANNERGRANTS_H

#include <LibFleet/Fleet.pb.h>
#include <LibFleet/OrderTracker.h>

namespace carobhinge {

struct PlannerGrant {
  HostName Host;
  /// Only this incarnation of the host's process holds the grant.
  Incarnation HostIncarnation = 0;
  /// Starts at one and increases with every grant of the failure domain.
  std::uint64_t Epoch = 0;
  /// The newest recorded order of each endpoint.
  std::map<EndpointName, RecordedOrder> Orders;

  bool operator==(const PlannerGrant &) const = default;
};

/// A deterministic state machine: the same commands in the same order give
/// the same state on every control host.
class PlannerGrants {
public:
  /// Returns false if the command's expected epoch is not the current one.
  bool apply(const message::PlannerCommand &Command);

  /// Null if the failure domain has never had a planner.
  [[nodiscard]] const PlannerGrant *
  find(const FailureDomainName &FailureDomain) const;

  [[nodiscard]] std::string snapshot() const;
  /// Throws std::invalid_argument if \p Bytes is no snapshot.
  void restore(std::string_view Bytes);

private:
  bool grant(const message::PlannerCommand::Grant &Command);
  bool record(const message::PlannerCommand::Record &Command);

  std::map<FailureDomainName, PlannerGrant> Domains;
};

} // namespace carobhinge

#endif // LIBFLEET_PLANNERGRANTS_H
