//===- LibConsensus/RoleMachine.cpp - Role transitions of a replica -------===//

#include <LibConsensus/RoleMachine.h>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carobhinge {

namespace {

namespace msm = boost::msm;

template <RoleEvent Value> struct EventTag {};
template <Role Value> struct RoleState : msm::front::state<> {};

using Blank = RoleState<Role::Blank>;
using Learner = RoleState<Role::Learner>;
using Follower = RoleState<Role::Follower>;
using PreCandidate = RoleState<Role::PreCandidate>;
using Candidate = RoleState<Role::Candidate>;
using Leader = RoleState<Role::Leader>;

struct RoleTable : msm::front::state_machine_def<RoleTable> {
  using initial_state = Blank;

  template <typename From, RoleEvent Event, typename To>
  using Transition = msm::front::Row<From, EventTag<Event>, To>;

  // clang-format off
  using transition_table = boost::mpl::vector<
      Transition<Blank, RoleEvent::LogFormed, Follower>,
      Transition<Blank, RoleEvent::LostVoterStatus, Learner>,
      Transition<Learner, RoleEvent::BecameVoter, Follower>,
      Transition<Follower, RoleEvent::ElectionTimeout, PreCandidate>,
      Transition<Follower, RoleEvent::TimeoutNow, Candidate>,
      Transition<Follower, RoleEvent::LostVoterStatus, Learner>,
      Transition<PreCandidate, RoleEvent::ElectionTimeout, PreCandidate>,
      Transition<PreCandidate, RoleEvent::PreVoteWon, Candidate>,
      Transition<PreCandidate, RoleEvent::SteppedDown, Follower>,
      Transition<PreCandidate, RoleEvent::LostVoterStatus, Learner>,
      Transition<Candidate, RoleEvent::ElectionTimeout, PreCandidate>,
      Transition<Candidate, RoleEvent::ElectionWon, Leader>,
      Transition<Candidate, RoleEvent::SteppedDown, Follower>,
      Transition<Candidate, RoleEvent::LostVoterStatus, Learner>,
      Transition<Leader, RoleEvent::SteppedDown, Follower>,
      Transition<Leader, RoleEvent::LostVoterStatus, Learner>>;
  // clang-format on

  /// Ignores events without a transition, because messages may arrive late.
  template <typename Event, typename Machine>
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*Unused*/) {}
};

using RoleBackend = msm::back::state_machine<RoleTable>;

/// Maps the current state of \p Machine to the role of its state type.
template <Role... Values> Role currentRole(const RoleBackend &Machine) {
  using States = msm::back::generate_state_set<RoleBackend::stt>::type;
  static_assert(boost::mpl::size<States>::value == sizeof...(Values));
  Role Found = Role::Blank;
  int State = Machine.current_state()[0];
  auto Match = [&]<Role Value>() {
    if (msm::back::get_state_id<RoleBackend::stt, RoleState<Value>>::value ==
        State)
      Found = Value;
  };
  (Match.template operator()<Values>(), ...);
  return Found;
}

} // namespace

struct RoleMachine::Backend {
  RoleBackend Machine;
};

RoleMachine::RoleMachine() : Machine(std::make_unique<Backend>()) {
  this->Machine->Machine.start();
}

RoleMachine::~RoleMachine() = default;

template <RoleEvent Event> static void processEvent(RoleBackend &Machine) {
  Machine.process_event(EventTag<Event>());
}

bool RoleMachine::process(RoleEvent Event) {
  using EventHandler = void (*)(RoleBackend &);
  // In the order of RoleEvent.
  static constexpr EventHandler Table[] = {
      processEvent<RoleEvent::LogFormed>,
      processEvent<RoleEvent::LostVoterStatus>,
      processEvent<RoleEvent::BecameVoter>,
      processEvent<RoleEvent::ElectionTimeout>,
      processEvent<RoleEvent::TimeoutNow>,
      processEvent<RoleEvent::PreVoteWon>,
      processEvent<RoleEvent::ElectionWon>,
      processEvent<RoleEvent::SteppedDown>,
  };
  Role OldRole = this->Current;
  Table[static_cast<std::size_t>(Event)](this->Machine->Machine);
  this->Current =
      currentRole<Role::Blank, Role::Learner, Role::Follower,
                  Role::PreCandidate, Role::Candidate, Role::Leader>(
          this->Machine->Machine);
  return this->Current != OldRole;
}

} // namespace carobhinge
