//===- LibStandIn/EngineCrowd.h - All engines of a service ----------------===//
///
/// \file
/// The members of all groups side by side, and the two rules that an order may
/// never break: an engine joins another group only after the last one has
/// ended, and a group that serves has all its members.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ENGINECROWD_H
#define LIBSTANDIN_ENGINECROWD_H

#include <LibStandIn/GroupMember.h>
#include <map>
#include <string>

namespace carobhinge {

class EngineCrowd {
public:
  void add(const EndpointName &Id, const EngineSpec &Spec) {
    this->Engines.try_emplace(Id, Entry{.Member = GroupMember(Spec)});
  }
  GroupMember &member(const EndpointName &Id) {
    return this->Engines.at(Id).Member;
  }
  [[nodiscard]] const GroupMember &member(const EndpointName &Id) const {
    return this->Engines.at(Id).Member;
  }
  void setAlive(const EndpointName &Id, bool Alive) {
    this->Engines.at(Id).Alive = Alive;
  }
  [[nodiscard]] bool isAlive(const EndpointName &Id) const {
    return this->Engines.at(Id).Alive;
  }

  /// Lets the engine take \p Order and watches the rules.
  OrderResult carryOut(TimePoint Now, const EngineOrder &Order);
  /// Whether \p Head and all others of its list live and are members.
  [[nodiscard]] bool isWhole(const EndpointName &Head) const;

  /// Engines that load from the weight store.
  [[nodiscard]] int loading() const;
  /// What broke a rule, in words.
  [[nodiscard]] const std::vector<std::string> &broken() const {
    return this->Broken;
  }

private:
  struct Entry {
    GroupMember Member;
    bool Alive = true;
  };
  void checkJoin(const EngineOrder &Order, const GroupName &Left);
  void checkOpen(const EngineOrder &Order);

  std::map<EndpointName, Entry> Engines;
  std::vector<std::string> Broken;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINECROWD_H
