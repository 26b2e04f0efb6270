//===- LibConsensus/RoleMachine.h - Which role follows which --------------===//
///
/// \file
/// The life of a replica as a state machine: the table in the .cpp holds every
/// change of role there is. What a change entails is decided by Replica.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_ROLEMACHINE_H
#define LIBCONSENSUS_ROLEMACHINE_H

#include <LibConsensus/ReplicaOptions.h>
#include <memory>

namespace carobhinge {

enum class RoleEvent {
  /// All first voters have agreed on each other.
  Formed,
  /// This disk's identity is no voter of a log that exists.
  LostVote,
  /// The log names this identity as a voter.
  BecameVoter,
  ElectionTimeout,
  /// A leader asked for an election at once.
  TimeoutNow,
  TrialWon,
  ElectionWon,
  /// A higher term, a leader of this term, or a quorum that is silent.
  SteppedDown,
};

class RoleMachine {
public:
  RoleMachine();
  RoleMachine(const RoleMachine &) = delete;
  RoleMachine &operator=(const RoleMachine &) = delete;
  ~RoleMachine();

  [[nodiscard]] Role current() const { return this->Current; }

  /// An event that has no place in the current role changes nothing.
  /// \returns whether the role changed.
  bool process(RoleEvent Event);

private:
  struct Backend;
  std::unique_ptr<Backend> Machine;
  Role Current = Role::Blank;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_ROLEMACHINE_H
