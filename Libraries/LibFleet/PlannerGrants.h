//===- LibFleet/PlannerGrants.h - Who plans a failure domain --------------===//
///
/// \file
/// The part of the control log's state that says which entry host plans each
/// failure domain, under which epoch, and which orders to endpoints without
/// fencing may be under way.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_PLANNERGRANTS_H
#define LIBFLEET_PLANNERGRANTS_H

#include <LibFleet/Fleet.pb.h>
#include <LibFleet/OrderBook.h>

namespace carobhinge {

struct PlannerGrant {
  HostName Host;
  /// Only this process of the host holds the grant.
  Incarnation HostLife = 0;
  /// Grows with every grant of the failure domain, from one.
  std::uint64_t Epoch = 0;
  /// The newest recorded order of each endpoint.
  std::map<EndpointName, RecordedOrder> Orders;

  bool operator==(const PlannerGrant &) const = default;
};

/// A deterministic state machine: the same commands in the same order give
/// the same state on every control host.
class PlannerGrants {
public:
  /// False if the command lost its compare-and-set on the epoch.
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
