//===- LibRouting/DomainSummary.h - One failure domain in a few numbers ---===//
///
/// \file
/// What failure domains tell each other about one service. Its size does not
/// depend on the number of targets.
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
  /// Slots that nobody uses and no queued request waits for. A summary of one
  /// entry host counts its own slots; the driver adds up those of a domain.
  std::uint32_t SpareSlots = 0;
  std::uint32_t Queued = 0;
  /// Mean time for which a request holds a slot; zero while it is not known.
  Duration SlotTime = {};
  /// Takes no forwarded requests.
  bool Out = false;
  /// One way, from the receiving host; nearer domains are preferred.
  Duration Distance = {};
  /// On the receiving host's clock.
  TimePoint ReceivedAt = {};

  bool operator==(const DomainSummary &) const = default;
};

} // namespace carobhinge

#endif // LIBROUTING_DOMAINSUMMARY_H
