//===- LibFormation/EngineReport.h - What an endpoint says of itself ------===//
///
/// \file
/// One heartbeat of an endpoint, decoded. Model engines add what their host
/// holds and which group they belong to.
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

/// Where an engine stands in its group.
enum class MemberState {
  /// Takes up the membership, perhaps loading weights.
  Joining,
  /// A member; the group doesn't serve.
  Ready,
  /// The head serves.
  Open,
  /// The head finishes what it has.
  Closing,
  /// The head gave up after a member was missing for too long.
  Broken,
};

struct GroupMembership {
  GroupName Group = {};
  /// Grows with every new list of members.
  std::uint64_t Epoch = 0;
  /// 0 is the head, to which requests are sent.
  int Rank = 0;
  MemberState State = MemberState::Joining;

  bool operator==(const GroupMembership &) const = default;
};

struct EngineReport {
  EndpointName Id = {};
  /// "IP:PORT" for requests and orders.
  std::string Address = {};
  ServiceName Service = {};
  FailureDomainName FailureDomain = {};
  /// Empty for plain services.
  FabricDomainName Fabric = {};
  /// Start of this life by the endpoint's own clock, Unix milliseconds.
  std::int64_t BornMs = 0;
  /// Grows with each heartbeat of a life.
  std::uint64_t Sequence = 0;
  /// Announced that it will end.
  bool Leaving = false;
  Duration ColdLeft{};
  int Slots = 1;
  /// Models whose weights the host holds ready.
  std::vector<ModelName> Staged = {};
  std::optional<GroupMembership> Group = {};
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEREPORT_H
