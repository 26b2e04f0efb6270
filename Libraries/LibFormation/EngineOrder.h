//===- LibFormation/EngineOrder.h - Orders to engines about groups --------===//
///
/// \file
/// Orders carry the group and its epoch, so that an engine ignores an order
/// that arrives after a newer member list. Orders may therefore be resent.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEORDER_H
#define LIBFORMATION_ENGINEORDER_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <cstdint>
#include <string>
#include <vector>

namespace carobhinge {

/// Action that the engine must take.
enum class OrderVerb {
  /// Become a member; replaces an earlier member list of the same group.
  Join,
  /// Start to serve; sent to the head of a group whose members are ready.
  Open,
  /// Leave the group immediately.
  Leave,
};

/// One order to one engine.
struct EngineOrder {
  EndpointName Recipient = {};
  /// "IP:PORT" of the engine.
  std::string Address = {};
  OrderVerb Verb = OrderVerb::Join;
  GroupName Group = {};
  std::uint64_t Epoch = 0;
  /// Only for Join.
  ModelName Model = {};
  /// Only for Join; the head is first.
  std::vector<EndpointName> Members = {};
  /// Fencing token: the term of the control host that sends the order.
  FencingToken Token = 0;
};

/// Outcome of an order.
enum class OrderResult {
  /// Started or completed, or the engine already was in the requested state.
  Accepted,
  /// Not possible in the engine's current state.
  Refused,
  /// The engine has seen a higher epoch or fencing token.
  Outdated,
  /// No answer; the engine may still execute the order.
  Unanswered,
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEORDER_H
