//===- LibFormation/EngineOrder.h - Orders to engines about groups --------===//
///
/// \file
/// Orders name group and epoch, so that one that is carried out late, after a
/// newer list of members, affects nothing; they may therefore be repeated.
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

enum class OrderVerb {
  /// Become a member; replaces an earlier list of the same group.
  Join,
  /// To the head of a group whose members are ready: serve.
  Open,
  /// Be in no group, at once.
  Leave,
};

struct EngineOrder {
  EndpointName To = {};
  std::string Address = {};
  OrderVerb Verb = OrderVerb::Join;
  GroupName Group = {};
  std::uint64_t Epoch = 0;
  /// Only for Join.
  ModelName Model = {};
  /// Only for Join; the head stands first.
  std::vector<EndpointName> Members = {};
  /// The term of the control host that gives the order.
  FencingNumber Fence = 0;
};

/// What became of an order.
enum class OrderResult {
  /// Begun, done, or the state held already.
  Accepted,
  /// It doesn't fit the engine's state.
  Refused,
  /// The engine has seen a higher epoch or fence.
  Outdated,
  /// Nothing is known; it may still be carried out.
  Unanswered,
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEORDER_H
