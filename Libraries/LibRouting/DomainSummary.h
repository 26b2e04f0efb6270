//===- LibRouting/DomainSummary.h - Load summary of a failure domain ------===//
///
/// \file
/// The load of one service that failure domains report to each other. Its size
/// does not depend on the number of targets.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_DOMAINSUMMARY_H
#define LIBROUTING_DOMAINSUMMARY_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>

namespace carobhinge {

struct DomainSummary {
  FailureDomainName FailureDomain = {};
  ServiceName Service = {};
  /// Free slots beyond those that queued requests will take. The summary of one
  /// entry host counts its own slots; the driver sums them up per failure
  /// domain.
  std::uint32_t SpareSlots = 0;
  std::uint32_t Queued = 0;
  /// Mean time for which a request holds a slot; zero while unknown.
  Duration SlotTime = {};
  /// The failure domain accepts no forwarded requests.
  bool Unavailable = false;
  /// One-way latency from the receiving host; nearer domains are preferred.
  Duration Distance = {};
  /// Time of receipt on the receiving host's clock.
  TimePoint ReceivedAt = {};

  bool operator==(const DomainSummary &) const = default;
};

} // namespace carobhinge

#endif // LIBROUTING_DOMAINSUMMARY_H
