//===- LibFleet/Announcement.h - State that an endpoint reports -----------===//
///
/// \file
/// Endpoints are not configured anywhere: each one sends announcements at short
/// intervals to any entry host of its failure domain. The newest announcement
/// is valid for its lifetime and is the only source for the endpoint's
/// readiness and its position in a group.
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
  /// Accepts orders but no requests: it has no weights or is loading them.
  Starting,
  Ready,
  /// Accepts requests, but only within its warm-up budget.
  Cold,
};

/// A member's position in a group. An empty group name means "in no group".
struct GroupPosition {
  GroupName Group;
  /// Identifies the group's incarnation: every repair assigns a new number.
  FencingToken Number = 0;
  std::uint32_t Rank = 0;
  /// Number of hosts in the group.
  std::uint32_t Size = 0;

  bool operator==(const GroupPosition &) const = default;
};

/// One announcement. See docs/API.md for its JSON members.
struct Announcement {
  EndpointName Endpoint;
  /// The machine on which the endpoint runs. A host is in at most one group.
  HostName Host;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  ServiceName Service;
  /// Version of the loaded model, or of a plain service. May be empty.
  std::string Version = {};
  /// "IP:PORT" for requests and orders.
  std::string Address = {};
  std::uint32_t Accelerators = 0;
  /// Increases with every start of the endpoint.
  Incarnation IncarnationNumber = 0;
  /// Increases with every announcement of one incarnation, so that late and
  /// duplicated announcements are detected.
  std::uint64_t Sequence = 0;
  Readiness State = Readiness::Starting;
  bool Leaving = false;
  /// Time for which this announcement is valid.
  Duration Lifetime = std::chrono::seconds(3);
  GroupPosition Position = {};
  /// Number of the last order that this incarnation applied.
  FencingToken LastOrder = 0;
  /// True if the endpoint refuses an order with a smaller number.
  bool ChecksFencing = false;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Requests that the endpoint processes in one batch when it is warm.
  std::uint32_t BatchLimit = 1;
  /// Requests answered since it last became cold. Sets the pace of the warm-up.
  std::uint64_t Answered = 0;
  /// Requests in a second that the endpoint takes from all entry hosts
  /// together; 0: unlimited.
  double RequestLimit = 0;

  bool operator==(const Announcement &) const = default;
};

/// Parses one announcement. Adds a finding with its JSON pointer to \p Out for
/// every fault and returns nothing if there was any.
std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              Findings &Out);
std::string toJson(const Announcement &Source);

/// True if the same endpoint sent \p Candidate after \p Current.
bool isNewer(const Announcement &Candidate, const Announcement &Current);

} // namespace carobhinge

#endif // LIBFLEET_ANNOUNCEMENT_H
