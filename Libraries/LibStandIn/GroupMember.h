//===- LibStandIn/GroupMember.h - Handling of group orders by an engine ---===//
///
/// \file
/// Models how one engine handles orders about groups under the engine protocol.
/// A join takes time and replaces an older member list. Orders with an outdated
/// epoch or fencing token are rejected. A restart discards everything but the
/// weights on the host. The caller passes the time; there is no clock.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_GROUPMEMBER_H
#define LIBSTANDIN_GROUPMEMBER_H

#include <LibFormation/EngineOrder.h>
#include <LibFormation/EngineReport.h>
#include <optional>

namespace carobhinge {

class GroupMember {
public:
  /// \p Spec must outlive the member.
  explicit GroupMember(const EngineSpec &Spec) : Spec(Spec) {}

  /// Applies \p Order or rejects it. Repeating an applied order has no effect.
  OrderResult handleOrder(TimePoint Now, const EngineOrder &Order);
  /// Completes the join or opening that is due by \p Now. \returns true if the
  /// membership changed.
  bool advance(TimePoint Now);
  /// Marks the group as broken. The head does so after a member has been
  /// missing for too long.
  void markBroken();
  /// Begins a new incarnation on the same host.
  void restart();

  [[nodiscard]] const std::optional<GroupMembership> &membership() const {
    return this->Membership;
  }
  [[nodiscard]] const std::vector<EndpointName> &members() const {
    return this->Members;
  }
  [[nodiscard]] const std::vector<ModelName> &staged() const {
    return this->Staged;
  }
  /// Returns the model of the last group of this incarnation, or an empty name
  /// if there was none.
  [[nodiscard]] const ModelName &model() const { return this->CurrentModel; }
  /// Returns the number of engines in a complete group of model(), or 0 if the
  /// model is unknown.
  [[nodiscard]] int groupSize() const;
  /// Returns true if a join in progress loads weights from the weight store.
  [[nodiscard]] bool isLoading() const { return this->Loading; }
  /// Returns the number of orders of this incarnation that had an effect.
  [[nodiscard]] std::uint64_t ordersApplied() const {
    return this->OrdersApplied;
  }

private:
  OrderResult join(TimePoint Now, const EngineOrder &Order);

  const EngineSpec &Spec;
  std::optional<GroupMembership> Membership;
  std::vector<EndpointName> Members;
  /// Models whose weights are on the host: the last loaded one only. A restart
  /// keeps them.
  std::vector<ModelName> Staged;
  /// Model of the last group of this incarnation.
  ModelName CurrentModel;
  bool Loading = false;
  /// End of the join or opening in progress.
  std::optional<TimePoint> CompletionTime;
  std::uint64_t HighestEpoch = 0;
  FencingToken HighestFencingToken = 0;
  std::uint64_t OrdersApplied = 0;
};

} // namespace carobhinge

#endif // LIBSTANDIN_GROUPMEMBER_H
