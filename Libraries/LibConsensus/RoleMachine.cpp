//===- LibConsensus/RoleMachine.cpp - Which role follows which ------------===//

#include <LibConsensus/RoleMachine.h>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carobhinge {

namespace {

namespace msm = boost::msm;

template <RoleEvent Value> struct On {};
template <Role Value> struct Is : msm::front::state<> {};

using Blank = Is<Role::Blank>;
using Learner = Is<Role::Learner>;
using Follower = Is<Role::Follower>;
using PreCandidate = Is<Role::PreCandidate>;
using Candidate = Is<Role::Candidate>;
using Leader = Is<Role::Leader>;

struct RoleTable : msm::front::state_machine_def<RoleTable> {
  using initial_state = Blank;

  template <typename From, RoleEvent Event, typename To>
  using Change = msm::front::Row<From, On<Event>, To>;

  // clang-format off
  using transition_table = boost::mpl::vector<
      Change<Blank, RoleEvent::Formed, Follower>,
      Change<Blank, RoleEvent::LostVote, Learner>,
      Change<Learner, RoleEvent::BecameVoter, Follower>,
      Change<Follower, RoleEvent::ElectionTimeout, PreCandidate>,
      Change<Follower, RoleEvent::TimeoutNow, Candidate>,
      Change<Follower, RoleEvent::LostVote, Learner>,
      Change<PreCandidate, RoleEvent::ElectionTimeout, PreCandidate>,
      Change<PreCandidate, RoleEvent::TrialWon, Candidate>,
      Change<PreCandidate, RoleEvent::SteppedDown, Follower>,
      Change<PreCandidate, RoleEvent::LostVote, Learner>,
      Change<Candidate, RoleEvent::ElectionTimeout, PreCandidate>,
      Change<Candidate, RoleEvent::ElectionWon, Leader>,
      Change<Candidate, RoleEvent::SteppedDown, Follower>,
      Change<Candidate, RoleEvent::LostVote, Learner>,
      Change<Leader, RoleEvent::SteppedDown, Follower>,
      Change<Leader, RoleEvent::LostVote, Learner>>;
  // clang-format on

  /// An event out of place is no fault here: messages may come late.
  template <typename Event, typename Machine>
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*Unused*/) {}
};

using RoleBackend = msm::back::state_machine<RoleTable>;

/// Finds out in which state the machine is, by the type of the state.
template <Role... Values> Role roleOf(const RoleBackend &Machine) {
  using States = msm::back::generate_state_set<RoleBackend::stt>::type;
  static_assert(boost::mpl::size<States>::value == sizeof...(Values));
  Role Found = Role::Blank;
  int State = Machine.current_state()[0];
  auto Match = [&]<Role Value>() {
    if (msm::back::get_state_id<RoleBackend::stt, Is<Value>>::value == State)
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

template <RoleEvent Event> static void raise(RoleBackend &Machine) {
  Machine.process_event(On<Event>());
}

bool RoleMachine::process(RoleEvent Event) {
  using Raise = void (*)(RoleBackend &);
  // In the order of RoleEvent.
  static constexpr Raise Table[] = {
      raise<RoleEvent::Formed>,      raise<RoleEvent::LostVote>,
      raise<RoleEvent::BecameVoter>, raise<RoleEvent::ElectionTimeout>,
      raise<RoleEvent::TimeoutNow>,  raise<RoleEvent::TrialWon>,
      raise<RoleEvent::ElectionWon>, raise<RoleEvent::SteppedDown>,
  };
  Role Before = this->Current;
  Table[static_cast<std::size_t>(Event)](this->Machine->Machine);
  this->Current =
      roleOf<Role::Blank, Role::Learner, Role::Follower, Role::PreCandidate,
             Role::Candidate, Role::Leader>(this->Machine->Machine);
  return this->Current != Before;
}

} // namespace carobhinge
