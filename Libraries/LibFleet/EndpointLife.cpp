//===- LibFleet/EndpointLife.cpp - The life of one endpoint ---------------===//
///
/// \file
/// The transition table of an endpoint as a Boost.MSM machine.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointLife.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carobhinge {

namespace msm = boost::msm;
namespace front = boost::msm::front;
namespace mpl = boost::mpl;

namespace {

struct SaysStarting {};
struct SaysReady {};
struct SaysLeaving {};
struct LifetimeOver {};
/// Cold by its own word.
struct SaysCold {
  TimePoint Now;
  /// The announcement is the first of its incarnation that was heard.
  bool NewLife = false;
};

struct Definition : front::state_machine_def<Definition> {
  // Their order is that of EndpointState, which state() relies on.
  struct Starting : front::state<> {};
  struct Cold : front::state<> {};
  struct Warm : front::state<> {};
  struct Leaving : front::state<> {};
  struct Silent : front::state<> {};
  using initial_state = Starting;

  struct BeginWarmUp {
    template <class Machine, class From, class To>
    void operator()(const SaysCold &Event, Machine &Self, From &, To &) const {
      Self.ColdSince = Event.Now;
    }
  };
  struct IsNewLife {
    template <class Machine, class From, class To>
    bool operator()(const SaysCold &Event, Machine &, From &, To &) const {
      return Event.NewLife;
    }
  };

  template <class From, class Event, class To>
  using Row = front::Row<From, Event, To, front::none, front::none>;
  template <class From, class Guard = front::none>
  using ColdRow = front::Row<From, SaysCold, Cold, BeginWarmUp, Guard>;

  // clang-format off
  using transition_table = mpl::vector20<
      Row<Starting, SaysReady, Warm>,
      ColdRow<Starting>,
      Row<Starting, SaysLeaving, Leaving>,
      Row<Starting, LifetimeOver, Silent>,
      Row<Cold, SaysStarting, Starting>,
      // A cold endpoint that goes on being cold keeps its warm-up's start.
      ColdRow<Cold, IsNewLife>,
      Row<Cold, SaysReady, Warm>,
      Row<Cold, SaysLeaving, Leaving>,
      Row<Cold, LifetimeOver, Silent>,
      Row<Warm, SaysStarting, Starting>,
      ColdRow<Warm>,
      Row<Warm, SaysLeaving, Leaving>,
      Row<Warm, LifetimeOver, Silent>,
      Row<Leaving, SaysStarting, Starting>,
      ColdRow<Leaving>,
      Row<Leaving, SaysReady, Warm>,
      Row<Leaving, LifetimeOver, Silent>,
      Row<Silent, SaysReady, Warm>,
      ColdRow<Silent>,
      Row<Silent, SaysLeaving, Leaving>
  >;
  // clang-format on

  // An event without a row changes nothing: a repeated announcement, or a
  // starting endpoint that is silent and stays out of service either way.
  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {}

  TimePoint ColdSince;
};

} // namespace

struct EndpointLife::Machine : msm::back::state_machine<Definition> {
  Incarnation Life = 0;
};

EndpointLife::EndpointLife() : Impl(std::make_unique<Machine>()) {
  this->Impl->start();
}
EndpointLife::~EndpointLife() = default;
EndpointLife::EndpointLife(EndpointLife &&) noexcept = default;
EndpointLife &EndpointLife::operator=(EndpointLife &&) noexcept = default;

void EndpointLife::announced(TimePoint Now, const Announcement &Said) {
  bool NewLife = this->Impl->Life != Said.Life;
  this->Impl->Life = Said.Life;
  if (Said.Leaving)
    this->Impl->process_event(SaysLeaving{});
  else if (Said.State == Readiness::Starting)
    this->Impl->process_event(SaysStarting{});
  else if (Said.State == Readiness::Cold)
    this->Impl->process_event(SaysCold{.Now = Now, .NewLife = NewLife});
  else
    this->Impl->process_event(SaysReady{});
}

void EndpointLife::expired() { this->Impl->process_event(LifetimeOver{}); }

EndpointState EndpointLife::state() const {
  // The back end numbers states in the order of their first use as a source.
  return static_cast<EndpointState>(*this->Impl->current_state());
}

TimePoint EndpointLife::coldSince() const { return this->Impl->ColdSince; }

} // namespace carobhinge
