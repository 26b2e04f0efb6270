//===- LibFleet/Announcement.h - What an endpoint says about itself -------===//
///
/// \file
/// Endpoints are not listed anywhere: they announce themselves, over and over,
/// to any entry host of their failure domain. What an endpoint last said holds
/// for its lifetime and is the only source for its readiness and its place in
/// a group.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ANNOUNCEMENT_H
#define LIBFLEET_ANNOUNCEMENT_H

#include <LibCore/Findings.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

enum class Readiness : std::uint8_t {
  /// Takes orders but no requests: idle without weights, or loading them.
  Starting,
  Ready,
  /// Takes requests, but only within its warm-up budget.
  Cold,
};

/// A member's position in a group. The empty name means "in no group".
struct GroupPlace {
  GroupName Group;
  /// Of the group's life: a group that was repaired has a new number.
  FencingNumber Number = 0;
  std::uint32_t Rank = 0;
  /// How many hosts the group has.
  std::uint32_t Size = 0;

  bool operator==(const GroupPlace &) const = default;
};

/// One announcement. See docs/API.md for its JSON members.
struct Announcement {
  EndpointName Endpoint;
  /// The machine below the endpoint. A host is in at most one group.
  HostName Host;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  ServiceName Service;
  /// Version of the model that is loaded, or of a plain service. May be empty.
  std::string Version = {};
  /// "IP:PORT" for requests and orders.
  std::string Address = {};
  std::uint32_t Accelerators = 0;
  /// Grows with every start of the endpoint.
  Incarnation Life = 0;
  /// Grows with every announcement of one incarnation, so that a late or
  /// duplicated one is recognised.
  std::uint64_t Sequence = 0;
  Readiness State = Readiness::Starting;
  bool Leaving = false;
  /// How long this announcement holds.
  Duration Lifetime = std::chrono::seconds(3);
  GroupPlace Place = {};
  /// Number of the last order that was applied by this incarnation.
  FencingNumber LastOrder = 0;
  /// Whether the endpoint refuses an order with a smaller number.
  bool ChecksFencing = false;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// How many requests the endpoint batches at once when it is warm.
  std::uint32_t BatchLimit = 1;
  /// Requests answered since it last became cold. Paces the warm-up.
  std::uint64_t Answered = 0;

  bool operator==(const Announcement &) const = default;
};

/// Parses one announcement. Every fault is a finding with its JSON pointer;
/// nothing is returned if there was any.
std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              Findings &Out);
std::string toJson(const Announcement &From);

/// True if \p New was made after \p Old by the same endpoint.
bool isNewer(const Announcement &New, const Announcement &Old);

} // namespace carobhinge

#endif // LIBFLEET_ANNOUNCEMENT_H
