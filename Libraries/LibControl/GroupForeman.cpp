//===- LibControl/GroupForeman.cpp - Runs the formation of groups ---------===//

#include <LibControl/GroupForeman.h>

#include <LibFormation/PlaceMode.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// An engine answers an order within a few milliseconds; what takes longer is
/// on its way for good and the order is repeated.
static constexpr auto OrderTimeout = std::chrono::milliseconds(600);
/// An endpoint that was silent this long is forgotten; one that is only cut
/// off from the control hosts may still serve meanwhile.
static constexpr auto ForgetAfter = std::chrono::seconds(30);
static constexpr auto ForgetLeavingAfter = std::chrono::seconds(12);
/// A group whose member leaves ends this long before the member may.
static constexpr auto FinishMargin = std::chrono::milliseconds(100);
static constexpr auto FleetLogInterval = std::chrono::seconds(1);
/// Answers to orders and questions are short.
static constexpr std::size_t AnswerBytes = 64 * 1024;

static LossWatchOptions watchOptions(const HostSettings &Own) {
  return {.ReportInterval = Own.ReportInterval};
}

GroupForeman::GroupForeman(const asio::any_io_executor &Executor,
                           const HostSettings &Own,
                           const ControlDialect &Dialect)
    : Executor(Executor), Dialect(Dialect),
      Client(Executor, {.SingleThread = true}),
      Watch(watchOptions(Own), this->Engines),
      Planner({.FinishTime = Own.Bounds.DrainTime - FinishMargin},
              this->Engines) {}

bool GroupForeman::report(TimePoint HeardAt, EngineReport Report) {
  return this->Engines.accept(HeardAt, std::move(Report));
}

bool GroupForeman::leave(const EndpointName &Id) {
  return this->Engines.leave(Id);
}

bool GroupForeman::entryLoad(TimePoint Now, const message::PulseCall &Call) {
  if (Call.loads_size() > 0)
    this->Planner.trafficBegan();
  bool Suspicion = false;
  for (const message::PlaceLoadMessage &Load : Call.loads()) {
    Suspicion = Suspicion || Load.silent();
    auto Place = this->Places.find(Load.place());
    if (Load.since_event_ms() >= 0 && Place != this->Places.end())
      this->Watch.flowed(Load.place(), Place->second.Message.epoch(),
                         Now -
                             std::chrono::milliseconds(Load.since_event_ms()));
    if (Load.silent())
      this->Watch.silent(Now, Load.place());
  }
  return Suspicion;
}

void GroupForeman::lead(TimePoint Now, FencingNumber Term,
                        const Catalog &InForce, TimePoint HeardBy) {
  this->Leading = true;
  this->Planner.lead(Now, Term, InForce, HeardBy);
}

void GroupForeman::watchLosses(TimePoint Now) {
  this->Engines.expire(Now - ForgetAfter, Now - ForgetLeavingAfter);
  for (const EndpointName &Id : this->Watch.toAsk(Now))
    this->ask(Id);
  std::set<EndpointName> Lost = this->Watch.lost(Now);
  for (const auto &[Id, Record] : this->Engines.all()) {
    bool Was = this->Planner.isLost(Id);
    if (Lost.contains(Id) == Was)
      continue;
    if (Was)
      this->Planner.engineFound(Now, Id);
    else
      this->Planner.engineLost(Now, Id);
    logEvent(Severity::Info, Was ? "engine-found" : "engine-lost",
             {{"endpoint", Id},
              {"group",
               Record.Report.Group ? Record.Report.Group->Group : GroupName()},
              {"heard_ms_ago", milliseconds(Now - Record.HeardAt)}});
  }
}

void GroupForeman::ask(const EndpointName &Id) {
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record != nullptr)
    asio::co_spawn(this->Executor, this->askEngine(Id, Record->Report.Address),
                   asio::detached);
}

asio::awaitable<void> GroupForeman::askEngine(EndpointName Id,
                                              std::string Address) {
  Duration Timeout = LossWatchOptions().AnswerTimeout;
  HttpCallOptions Options;
  Options.ConnectTimeout = Timeout;
  Options.HeadTimeout = Timeout;
  Options.ChunkTimeout = Timeout;
  Options.FreshConnection = true;
  HttpRequest Request = this->Dialect.askState();
  HttpAnswer Answer = co_await this->Client.fetch(
      std::move(Address), std::move(Request), std::move(Options), AnswerBytes);
  if (Answer.End == HttpCallEnd::Complete)
    this->Watch.answered(monotonicNow(), Id);
  else
    this->Watch.unanswered(monotonicNow(), Id);
}

static std::string_view verbName(OrderVerb Verb) {
  switch (Verb) {
  case OrderVerb::Join:
    return "join";
  case OrderVerb::Open:
    return "open";
  case OrderVerb::Leave:
    return "leave";
  }
  return "";
}

asio::awaitable<void> GroupForeman::giveOrder(EngineOrder Order) {
  HttpCallOptions Options;
  Options.ConnectTimeout = OrderTimeout;
  Options.HeadTimeout = OrderTimeout;
  Options.ChunkTimeout = OrderTimeout;
  HttpRequest Request = this->Dialect.toEngine(Order);
  std::string Address = Order.Address;
  HttpAnswer Answer = co_await this->Client.fetch(
      std::move(Address), std::move(Request), std::move(Options), AnswerBytes);
  OrderResult Result = OrderResult::Unanswered;
  if (Answer.End == HttpCallEnd::Complete)
    Result = this->Dialect.orderResult(Answer.Head.Status);
  logEvent(Severity::Info, "order",
           {{"endpoint", Order.To},
            {"verb", verbName(Order.Verb)},
            {"group", Order.Group},
            {"epoch", static_cast<std::int64_t>(Order.Epoch)},
            {"status",
             static_cast<std::int64_t>(
                 Answer.End == HttpCallEnd::Complete ? Answer.Head.Status : 0)},
            {"answer", std::string_view(Answer.Body).substr(0, 200)}});
  this->Planner.answered(monotonicNow(), Order, Result);
}

/// One line for each model: what serves, what doesn't, what is in reserve.
void GroupForeman::logFleet(TimePoint Now) {
  if (Now - this->FleetLoggedAt < FleetLogInterval)
    return;
  this->FleetLoggedAt = Now;
  for (const auto &[Model, Count] : this->Planner.census())
    logEvent(Severity::Info, "fleet",
             {{"model", Model},
              {"open_groups", Count.Open},
              {"forming_groups", Count.Forming},
              {"other_groups", Count.Other},
              {"reserves", Count.Reserves},
              {"loading_reserves", Count.Loading},
              {"lost_endpoints", Count.Lost},
              {"idle_endpoints", Count.Idle}});
}

void GroupForeman::tellFigures(Metrics &Figures) const {
  for (const auto &Entry : this->Planner.census()) {
    auto Set = [&](std::string_view Name, std::string_view State,
                   std::int64_t Value) {
      Figures.setGauge(std::string(Name) + "{model=\"" + Entry.first +
                           "\",state=\"" + std::string(State) + "\"}",
                       static_cast<double>(this->Leading ? Value : 0));
    };
    const FormationPlanner::Census &Count = Entry.second;
    Set("groups", "open", Count.Open);
    Set("groups", "forming", Count.Forming);
    Set("groups", "other", Count.Other);
    Set("engines", "reserve", Count.Reserves);
    Set("engines", "loading", Count.Loading);
    Set("engines", "lost", Count.Lost);
    Set("engines", "idle", Count.Idle);
  }
}

bool GroupForeman::step(TimePoint Now, const Catalog &InForce) {
  this->watchLosses(Now);
  this->logFleet(Now);
  for (EngineOrder &Order : this->Planner.plan(Now, InForce))
    asio::co_spawn(this->Executor, this->giveOrder(std::move(Order)),
                   asio::detached);
  return this->publish(this->derivePlaces(Now, InForce));
}

static PlaceMode modeOf(GroupPhase Phase) {
  switch (Phase) {
  case GroupPhase::Open:
    return PlaceMode::Open;
  case GroupPhase::Finishing:
    return PlaceMode::Finishing;
  default:
    return PlaceMode::Standing;
  }
}

std::map<std::string, message::PlaceMessage>
GroupForeman::derivePlaces(TimePoint Now, const Catalog &InForce) const {
  std::map<std::string, message::PlaceMessage> Fresh;
  auto Fill = [&](message::PlaceMessage &To, const EngineRecord &From) {
    To.set_endpoint(From.Report.Id);
    To.set_address(From.Report.Address);
    To.set_service(From.Report.Service);
    To.set_failure_domain(From.Report.FailureDomain);
    // Told once; each entry host counts it down by itself.
    To.set_still_cold_ms(
        std::max<std::int64_t>(milliseconds(From.ColdUntil - From.HeardAt), 0));
  };
  for (const auto &[Name, Group] : this->Planner.groups()) {
    const Service *Of = InForce.service(Group.Service);
    const EngineRecord *Head = this->Engines.find(Group.head());
    PlaceMode Mode = modeOf(Group.Phase);
    if (Mode == PlaceMode::Open && this->Watch.suspects(Now, Name))
      Mode = PlaceMode::Finishing;
    if (Of == nullptr || !Of->Engine || Head == nullptr)
      continue;
    // Not all members may have been heard yet.
    if (!this->settled(Now) && Mode != PlaceMode::Open)
      continue;
    message::PlaceMessage &To = Fresh[Name];
    Fill(To, *Head);
    To.set_name(Name);
    To.set_model(Group.Model);
    To.set_slots(Of->Engine->Slots);
    To.set_mode(static_cast<std::int32_t>(Mode));
    To.set_epoch(Group.Epoch);
  }
  for (const auto &[Id, Record] : this->Engines.all()) {
    const Service *Of = InForce.service(Record.Report.Service);
    if (Of == nullptr || Of->Engine)
      continue;
    message::PlaceMessage &To = Fresh[Id];
    Fill(To, Record);
    To.set_name(Id);
    To.set_slots(Record.Report.Slots);
    To.set_mode(static_cast<std::int32_t>(
        Record.Report.Leaving ? PlaceMode::Finishing : PlaceMode::Open));
    To.set_epoch(static_cast<std::uint64_t>(Record.Report.BornMs));
  }
  return Fresh;
}

/// Whether entry hosts must be told. The time that an endpoint stays cold
/// runs down by itself.
static bool sameBut(const message::PlaceMessage &Left,
                    const message::PlaceMessage &Right) {
  return Left.endpoint() == Right.endpoint() &&
         Left.address() == Right.address() && Left.mode() == Right.mode() &&
         Left.epoch() == Right.epoch() &&
         (Left.still_cold_ms() > 0) == (Right.still_cold_ms() > 0);
}

bool GroupForeman::publish(
    const std::map<std::string, message::PlaceMessage> &Fresh) {
  std::uint64_t Next = this->PlaceRevision + 1;
  bool Changed = false;
  for (const auto &[Name, Message] : Fresh) {
    PlaceState &Known = this->Places[Name];
    if (Known.Revision > 0 && !Known.Removed && sameBut(Known.Message, Message))
      continue;
    Known = {.Message = Message, .Revision = Next, .Removed = false};
    Changed = true;
  }
  for (auto &[Name, Known] : this->Places)
    if (!Known.Removed && !Fresh.contains(Name)) {
      Known.Removed = true;
      Known.Revision = Next;
      Changed = true;
    }
  if (Changed)
    this->PlaceRevision = Next;
  return Changed;
}

} // namespace carobhinge
