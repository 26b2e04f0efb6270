//===- LibFleet/DomainLoads.h - Loads of the entry hosts of a domain ------===//
///
/// \file
/// The entry hosts of a failure domain report their load to each other. From
/// that each host derives its place among them: its index, their number and its
/// share of the load.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_DOMAINLOADS_H
#define LIBFLEET_DOMAINLOADS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <vector>

namespace carobhinge {

/// Place of one entry host among all entry hosts of its failure domain.
struct EntryHostPlace {
  /// From 0, in the order of the names.
  int Index = 0;
  int Count = 1;
  /// This host's part, from 0 to 1, of the load of all.
  double LoadShare = 1;

  bool operator==(const EntryHostPlace &) const = default;
};

class DomainLoads {
public:
  /// A host that has not reported for \p Lifetime has left. Should be longer
  /// than the lifetime of an announcement: a host that is cut off uses its
  /// share for as long as it has the endpoint's last announcement.
  DomainLoads(HostName Self, Duration Lifetime)
      : Self(std::move(Self)), Lifetime(Lifetime) {}

  /// \p Host, this one included, has \p Requests in progress or queued.
  void record(TimePoint Now, const HostName &Host, std::uint32_t Requests);

  /// Hosts of \p EntryHosts that have never reported count with this host's
  /// load until this host has known its own for the lifetime.
  [[nodiscard]] EntryHostPlace place(TimePoint Now,
                                     std::vector<HostName> EntryHosts) const;

private:
  struct Load {
    std::uint32_t Requests = 0;
    TimePoint ReceivedAt;
  };

  /// \returns the load with which \p Host counts, or nothing if it has left.
  [[nodiscard]] std::optional<double> weight(TimePoint Now,
                                             const HostName &Host) const;

  HostName Self;
  Duration Lifetime;
  std::map<HostName, Load> Loads;
  /// When this host's load was first recorded.
  std::optional<TimePoint> KnownSince;
};

} // namespace carobhinge

#endif // LIBFLEET_DOMAINLOADS_H
