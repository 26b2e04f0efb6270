//===- LibConsensus/RoleMachine.h - Role transitions of a replica ---------===//
///
/// \file
/// The roles of a replica as a state machine; the table in RoleMachine.cpp
/// lists every allowed transition. Replica implements the actions of a
/// transition.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_ROLEMACHINE_H
#define LIBCONSENSUS_ROLEMACHINE_H

#include <LibConsensus/ReplicaOptions.h>
#include <memory>

namespace carobhinge {

enum class RoleEvent {
  /// All initial voters are known to have locked the same set of voters.
  LogFormed,
  /// The log exists and this disk's identity is not a voter of it.
  LostVoterStatus,
  /// The configuration lists this disk's identity as a voter.
  BecameVoter,
  ElectionTimeout,
  /// The leader requested that this replica start an election immediately.
  TimeoutNow,
  PreVoteWon,
  ElectionWon,
  /// A higher term, another leader of this term, or loss of contact to a
  /// quorum.
  SteppedDown,
};

class RoleMachine {
public:
  RoleMachine();
  RoleMachine(const RoleMachine &) = delete;
  RoleMachine &operator=(const RoleMachine &) = delete;
  ~RoleMachine();

  [[nodiscard]] Role current() const { return this->Current; }

  /// Events without a transition from the current role are ignored.
  /// \returns whether the role changed.
  bool process(RoleEvent Event);

private:
  struct Backend;
  std::unique_ptr<Backend> Machine;
  Role Current = Role::Blank;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_ROLEMACHINE_H
