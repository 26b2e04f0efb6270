//===- LibStandIn/GroupMember.h - An engine's side of orders --------------===//
///
/// \file
/// What one engine makes of orders about groups, as the engines' protocol says:
/// joins take their time and replace older lists, epochs and fences refuse, a
/// restart forgets all but the weights on the host. No clock.
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

  OrderResult take(TimePoint Now, const EngineOrder &Order);
  /// Completes what is due. \returns whether the membership changed.
  bool advance(TimePoint Now);
  /// The head gives its group up after a member was missing for too long.
  void breakOff();
  /// A new life on the same host.
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
  /// Of the last group of this life; empty: none.
  [[nodiscard]] const ModelName &model() const { return this->InMemory; }
  /// Engines that a whole group of that model has.
  [[nodiscard]] int groupSize() const;
  /// Whether a join under way reads from the weight store.
  [[nodiscard]] bool isLoading() const { return this->Loading; }
  /// Orders that began something in this life.
  [[nodiscard]] std::uint64_t ordersTaken() const { return this->OrdersTaken; }

private:
  OrderResult join(TimePoint Now, const EngineOrder &Order);

  const EngineSpec &Spec;
  std::optional<GroupMembership> Membership;
  std::vector<EndpointName> Members;
  /// Weights on the host, which a restart keeps; the newest only.
  std::vector<ModelName> Staged;
  /// Model of the last group of this life.
  ModelName InMemory;
  bool Loading = false;
  /// When the step under way is done: the join, or the opening.
  std::optional<TimePoint> DoneAt;
  std::uint64_t HighestEpoch = 0;
  FencingToken HighestFence = 0;
  std::uint64_t OrdersTaken = 0;
};

} // namespace carobhinge

#endif // LIBSTANDIN_GROUPMEMBER_H
