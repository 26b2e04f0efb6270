//===- LibStandIn/EnginePool.h - Engines of a service ---------------------===//
///
/// \file
/// Holds the engines of a service and checks two rules that no order may
/// violate: an engine joins another group only after its previous group has
/// closed, and a group opens only with all its members.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ENGINEPOOL_H
#define LIBSTANDIN_ENGINEPOOL_H

#include <LibStandIn/GroupMember.h>
#include <map>
#include <string>

namespace carobhinge {

class EnginePool {
public:
  void add(const EndpointName &Id, const EngineSpec &Spec) {
    this->Engines.try_emplace(Id, Entry{.Member = GroupMember(Spec)});
  }
  [[nodiscard]] bool contains(const EndpointName &Id) const {
    return this->Engines.contains(Id);
  }
  GroupMember &member(const EndpointName &Id) {
    return this->Engines.at(Id).Member;
  }
  [[nodiscard]] const GroupMember &member(const EndpointName &Id) const {
    return this->Engines.at(Id).Member;
  }
  void setRunning(const EndpointName &Id, bool Running) {
    this->Engines.at(Id).Running = Running;
  }
  [[nodiscard]] bool isRunning(const EndpointName &Id) const {
    return this->Engines.at(Id).Running;
  }

  /// A suspended engine runs, but does nothing until later.
  void setSuspended(const EndpointName &Id, bool Suspended) {
    this->Engines.at(Id).Suspended = Suspended;
  }

  /// Passes \p Order to its engine and records violations of the rules.
  OrderResult executeOrder(TimePoint Now, const EngineOrder &Order);
  /// Returns true if all members on the list of \p Head run, are not suspended
  /// and have finished their join of its group and epoch.
  [[nodiscard]] bool isComplete(const EndpointName &Head) const;

  /// Returns the number of running engines that load weights from the weight
  /// store.
  [[nodiscard]] int loadingCount() const;
  /// Returns a description of each violation, oldest first.
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return this->Violations;
  }

private:
  struct Entry {
    GroupMember Member;
    bool Running = true;
    bool Suspended = false;
  };
  /// Records a violation if \p PreviousGroup, which the engine left, is open.
  void checkJoin(const EngineOrder &Order, const GroupName &PreviousGroup);
  /// Records a violation if the member list is incomplete, and one for each
  /// running member that is not ready.
  void checkOpen(const EngineOrder &Order);

  std::map<EndpointName, Entry> Engines;
  std::vector<std::string> Violations;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINEPOOL_H
