//===- LibFleet/EndpointLifecycle.cpp - State machine of one endpoint -----===//
///
/// \file
/// The transition table as a Boost.MSM state machine.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointLifecycle.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carobhinge {

namespace msm = boost::msm;
namespace front = boost::msm::front;
namespace mpl = boost::mpl;

namespace {

struct StartingAnnounced {};
struct ReadyAnnounced {};
struct LeavingAnnounced {};
struct AnnouncementExpired {};
struct ColdAnnounced {
  TimePoint Now;
  /// The announcement is the first one received of its incarnation.
  bool IsNewIncarnation = false;
};

struct Definition : front::state_machine_def<Definition> {
  // Must be in the order of EndpointState's enumerators, see state().
  struct Starting : front::state<> {};
  struct Cold : front::state<> {};
  struct Warm : front::state<> {};
  struct Leaving : front::state<> {};
  struct Expired : front::state<> {};
  using initial_state = Starting;

  struct StartWarmUp {
    template <class Machine, class From, class To>
    void operator()(const ColdAnnounced &Event, Machine &StateMachine, From &,
                    To &) const {
      StateMachine.ColdSince = Event.Now;
    }
  };
  struct HasNewIncarnation {
    template <class Machine, class From, class To>
    bool operator()(const ColdAnnounced &Event, Machine &, From &, To &) const {
      return Event.IsNewIncarnation;
    }
  };

  template <class From, class Event, class To>
  using Row = front::Row<From, Event, To, front::none, front::none>;
  template <class From, class Guard = front::none>
  using ColdRow = front::Row<From, ColdAnnounced, Cold, StartWarmUp, Guard>;

  // clang-format off
  using transition_table = mpl::vector20<
      Row<Starting, ReadyAnnounced, Warm>,
      ColdRow<Starting>,
      Row<Starting, LeavingAnnounced, Leaving>,
      Row<Starting, AnnouncementExpired, Expired>,
      Row<Cold, StartingAnnounced, Starting>,
      // An endpoint that stays cold keeps the start time of its warm-up.
      ColdRow<Cold, HasNewIncarnation>,
      Row<Cold, ReadyAnnounced, Warm>,
      Row<Cold, LeavingAnnounced, Leaving>,
      Row<Cold, AnnouncementExpired, Expired>,
      Row<Warm, StartingAnnounced, Starting>,
      ColdRow<Warm>,
      Row<Warm, LeavingAnnounced, Leaving>,
      Row<Warm, AnnouncementExpired, Expired>,
      Row<Leaving, StartingAnnounced, Starting>,
      ColdRow<Leaving>,
      Row<Leaving, ReadyAnnounced, Warm>,
      Row<Leaving, AnnouncementExpired, Expired>,
      Row<Expired, ReadyAnnounced, Warm>,
      ColdRow<Expired>,
      Row<Expired, LeavingAnnounced, Leaving>
  >;
  // clang-format on

  // Events without a row are ignored: a repeated announcement, or the return
  // of an expired endpoint as starting. It serves no requests in either state.
  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {}

  TimePoint ColdSince;
};

} // namespace

struct EndpointLifecycle::Machine : msm::back::state_machine<Definition> {
  Incarnation IncarnationNumber = 0;
};

EndpointLifecycle::EndpointLifecycle() : Impl(std::make_unique<Machine>()) {
  this->Impl->start();
}
EndpointLifecycle::~EndpointLifecycle() = default;
EndpointLifecycle::EndpointLifecycle(EndpointLifecycle &&) noexcept = default;
EndpointLifecycle &
EndpointLifecycle::operator=(EndpointLifecycle &&) noexcept = default;

void EndpointLifecycle::handleAnnouncement(
    TimePoint Now, const Announcement &NewAnnouncement) {
  bool IsNewIncarnation =
      this->Impl->IncarnationNumber != NewAnnouncement.IncarnationNumber;
  this->Impl->IncarnationNumber = NewAnnouncement.IncarnationNumber;
  if (NewAnnouncement.Leaving)
    this->Impl->process_event(LeavingAnnounced{});
  else if (NewAnnouncement.State == Readiness::Starting)
    this->Impl->process_event(StartingAnnounced{});
  else if (NewAnnouncement.State == Readiness::Cold)
    this->Impl->process_event(
        ColdAnnounced{.Now = Now, .IsNewIncarnation = IsNewIncarnation});
  else
    this->Impl->process_event(ReadyAnnounced{});
}

void EndpointLifecycle::handleExpiry() {
  this->Impl->process_event(AnnouncementExpired{});
}

EndpointState EndpointLifecycle::state() const {
  // MSM numbers the states in the order of their first use as a source.
  return static_cast<EndpointState>(*this->Impl->current_state());
}

TimePoint EndpointLifecycle::coldSince() const { return this->Impl->ColdSince; }

} // namespace carobhinge
