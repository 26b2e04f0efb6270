//===- LibFormation/EngineReport.h - Heartbeat of an endpoint -------------===//
///
/// \file
/// One decoded heartbeat of an endpoint. Model engines also report the weights
/// on their host and the group that they belong to.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEREPORT_H
#define LIBFORMATION_ENGINEREPORT_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobhinge {

/// State of an engine in its group.
enum class MemberState {
  /// Is joining and may be loading weights.
  Joining,
  /// Has joined; the group doesn't serve yet.
  Ready,
  /// The head accepts requests.
  Open,
  /// The head finishes its running requests and accepts no others.
  Closing,
  /// The head stopped serving after a member was missing for too long.
  Broken,
};

/// The group that an engine reports as its own.
struct GroupMembership {
  GroupName Group = {};
  /// Increases with every new member list.
  std::uint64_t Epoch = 0;
  /// Position in the member list; 0 is the head, which receives requests.
  int Rank = 0;
  MemberState State = MemberState::Joining;

  bool operator==(const GroupMembership &) const = default;
};

/// One heartbeat.
struct EngineReport {
  EndpointName Id = {};
  /// "IP:PORT" that receives requests and orders.
  std::string Address = {};
  ServiceName Service = {};
  FailureDomainName FailureDomain = {};
  /// Empty for services without engines.
  FabricDomainName Fabric = {};
  /// Start of this incarnation by the endpoint's clock, in Unix milliseconds.
  std::int64_t StartedAtMs = 0;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t Sequence = 0;
  /// True if the endpoint has announced its end.
  bool Leaving = false;
  /// Time until the endpoint is no longer cold.
  Duration RemainingColdTime{};
  int Slots = 1;
  /// Models whose weights are staged on the host.
  std::vector<ModelName> StagedModels = {};
  std::optional<GroupMembership> Group = {};
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEREPORT_H
