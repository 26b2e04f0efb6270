//===- LibControl/GroupCoordinator.cpp - Coordination of groups -----------===//

#include <LibControl/GroupCoordinator.h>

#include <LibFormation/DispatchTargetMode.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>

namespace asio = boost::asio;

namespace carobhinge {

/// An engine answers an order within a few milliseconds. An order that gets no
/// answer in this time is considered lost and is sent again.
static constexpr auto OrderTimeout = std::chrono::milliseconds(600);
/// An endpoint is removed after this time without a report. One that is only
/// partitioned from the control hosts may still serve requests until then.
static constexpr auto RemovalTime = std::chrono::seconds(30);
static constexpr auto LeavingRemovalTime = std::chrono::seconds(12);
/// A group with a leaving member finishes this long before the member may stop.
static constexpr auto FinishMargin = std::chrono::milliseconds(100);
static constexpr auto FleetLogInterval = std::chrono::seconds(1);
/// An answer that comes later finds the crash judged.
static constexpr auto QuestionTimeout = std::chrono::milliseconds(300);
/// Answers to orders and probes are short.
static constexpr std::size_t MaxAnswerBytes = 64 * 1024;

static EngineFailureDetectorOptions
makeDetectorOptions(const HostSettings &Settings) {
  return {.ReportInterval = Settings.ReportInterval};
}

GroupCoordinator::GroupCoordinator(const asio::any_io_executor &Executor,
                                   const HostSettings &Settings,
                                   const ControlProtocol &Protocol,
                                   SharedByteBudget &Budget,
                                   LimitLog &ReachedLimits)
    : Executor(Executor), Protocol(Protocol),
      Client(Executor, {.SingleThread = true, .Budget = &Budget}),
      ReachedLimits(ReachedLimits),
      FailureDetector(makeDetectorOptions(Settings), this->Engines),
      Planner({.FinishTime = Settings.Bounds.DrainTime - FinishMargin},
              this->Engines) {}

bool GroupCoordinator::recordReport(TimePoint ReceivedAt, EngineReport Report) {
  return this->Engines.accept(ReceivedAt, std::move(Report));
}

bool GroupCoordinator::recordLeave(const EndpointName &Id) {
  return this->Engines.leave(Id);
}

bool GroupCoordinator::recordEntryLoad(TimePoint Now, const HostName &Host,
                                       const message::PulseCall &Call) {
  if (Call.loads_size() > 0)
    this->Planner.markTrafficStarted();
  bool HasStalledTarget = false;
  for (const message::PlaceLoadMessage &Load : Call.loads()) {
    HasStalledTarget = HasStalledTarget || Load.silent();
    auto Found = this->Targets.find(Load.place());
    if (Load.since_event_ms() >= 0 && Found != this->Targets.end())
      this->FailureDetector.recordProgress(
          Load.place(), Found->second.Message.epoch(),
          Now - std::chrono::milliseconds(Load.since_event_ms()));
    if (Load.silent())
      this->FailureDetector.recordStall(Now, Load.place());
    if (Load.in_flight() == 0 || Call.cut_off())
      this->Stalls.recordIdle(Load.place(), Host);
    else if (Found != this->Targets.end())
      this->Stalls.recordWork(Now, Load.place(), Found->second.Message.epoch(),
                              Host, Load.standing_still());
  }
  bool HasNewLimit = this->recordLimits(Now, Call);
  return HasStalledTarget || HasNewLimit;
}

bool GroupCoordinator::recordLimits(TimePoint Now,
                                    const message::PulseCall &Call) {
  bool IsChanged = false;
  for (const message::LimitMessage &Message : Call.limits()) {
    if (this->Engines.find(Message.endpoint()) == nullptr)
      continue;
    TimePoint SeenAt = Now - std::chrono::milliseconds(Message.age_ms());
    NamedLimit &Known = this->Limits[Message.endpoint()];
    if (SeenAt <= Known.SeenAt)
      continue;
    IsChanged = IsChanged || Known.PerSecond != Message.per_second();
    Known = {.PerSecond = Message.per_second(), .SeenAt = SeenAt};
  }
  return IsChanged;
}

void GroupCoordinator::startLeading(TimePoint Now, FencingToken Term,
                                    const Catalog &ActiveCatalog,
                                    TimePoint ReportsCompleteAt) {
  this->Leading = true;
  this->Planner.startLeading(Now, Term, ActiveCatalog, ReportsCompleteAt);
}

void GroupCoordinator::removeExpired(TimePoint Now) {
  this->Engines.expire(Now - RemovalTime, Now - LeavingRemovalTime);
  this->HoldOffs.removeUnlisted(Now, [&](const EndpointName &Id) {
    return this->Engines.find(Id) != nullptr;
  });
  std::erase_if(this->Limits, [&](const auto &Entry) {
    const EngineRecord *Record = this->Engines.find(Entry.first);
    return Record == nullptr || Record->FirstReportAt > Entry.second.SeenAt;
  });
}

void GroupCoordinator::updateLostEngines(TimePoint Now) {
  for (const EndpointName &Id : this->FailureDetector.enginesToProbe(Now))
    this->probe(Id);
  std::map<EndpointName, EngineLoss> Lost =
      this->FailureDetector.lostEngines(Now);
  for (const auto &[Id, Record] : this->Engines.all()) {
    auto Found = Lost.find(Id);
    if (Found == Lost.end()) {
      if (this->Planner.isLost(Id))
        this->recordRecovery(Now, Record);
    } else if (this->Planner.markEngineLost(Id, Found->second)) {
      this->recordLoss(Now, Record, Found->second);
    }
  }
  std::erase_if(this->LostLives, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr;
  });
}

static GroupName groupOf(const EngineRecord &Record) {
  return Record.Report.Group ? Record.Report.Group->Group : GroupName();
}

void GroupCoordinator::recordLoss(TimePoint Now, const EngineRecord &Record,
                                  const EngineLoss &Loss) {
  const EndpointName &Id = Record.Report.Id;
  this->LostLives[Id] = Record.Report.StartedAtMs;
  ++this->LossCounts[Loss.Reason];
  logEvent(Severity::Info, "engine-lost",
           {{"endpoint", Id},
            {"group", groupOf(Record)},
            {"reason", lossReasonName(Loss.Reason)},
            {"silent_ms", milliseconds(Now - Loss.Since)},
            {"heard_by", signOfLifeName(Loss.HeardBy)},
            {"heard_ms_ago", milliseconds(Now - Loss.HeardAt)}});
}

void GroupCoordinator::recordRecovery(TimePoint Now,
                                      const EngineRecord &Record) {
  const EndpointName &Id = Record.Report.Id;
  this->Planner.markEngineFound(Now, Id);
  auto Life = this->LostLives.find(Id);
  bool IsSameLife = Life != this->LostLives.end() &&
                    Life->second == Record.Report.StartedAtMs;
  this->FalseAlarms += IsSameLife ? 1 : 0;
  logEvent(Severity::Info, "engine-found",
           {{"endpoint", Id},
            {"group", groupOf(Record)},
            {"same_life", IsSameLife ? 1 : 0},
            {"heard_ms_ago", milliseconds(Now - Record.LastReportAt)}});
}

void GroupCoordinator::updateStalledGroups(TimePoint Now) {
  this->Stalls.removeExpired(Now);
  for (const auto &[Name, Group] : this->Planner.groups()) {
    if (Group.Phase != GroupPhase::Open ||
        !this->Stalls.isStandingStill(Now, Name, Group.Epoch))
      continue;
    if (this->Planner.markStandingStill(Name, Group.Epoch))
      logEvent(
          Severity::Warning, "group-stalled",
          {{"group", Name}, {"epoch", static_cast<std::int64_t>(Group.Epoch)}});
  }
}

EndpointHoldOffs::Endpoint
GroupCoordinator::endpointOf(const EngineRecord &Record) {
  return {.Name = Record.Report.Id,
          .Number = static_cast<Incarnation>(Record.Report.StartedAtMs)};
}

bool GroupCoordinator::maySend(TimePoint Now, const EndpointName &Id) {
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record == nullptr)
    return true;
  if (!this->HoldOffs.mayReceive(Now, endpointOf(*Record)))
    return false;
  this->HoldOffs.recordSent(Now, endpointOf(*Record));
  return true;
}

void GroupCoordinator::recordAnswer(TimePoint SentAt, const EndpointName &Id,
                                    const HttpFetchResult &Answer,
                                    bool EndsRequests) {
  const EngineRecord *Record = this->Engines.find(Id);
  if (this->AnswerHandler) {
    EngineAnswer Evidence{.Engine = Id,
                          .SentAt = SentAt,
                          .AnsweredAt = monotonicNow(),
                          .EndsRequests = EndsRequests};
    Evidence.StatedLife = this->Protocol.readLife(Answer.Body);
    if (Record != nullptr) {
      Evidence.KnownLife = static_cast<Incarnation>(Record->Report.StartedAtMs);
      Evidence.KnownSince = Record->FirstReportAt;
    }
    this->AnswerHandler(Evidence);
  }
  if (Record == nullptr)
    return;
  Duration Pause = this->Protocol.readPause(Answer.Head);
  // Only the leader sends orders, so there is nothing to spread.
  if (Pause > Duration::zero())
    this->HoldOffs.recordPause(monotonicNow(), endpointOf(*Record), Pause, 0);
  else
    this->HoldOffs.recordServed(endpointOf(*Record), SentAt);
}

void GroupCoordinator::probe(const EndpointName &Id) {
  const EngineRecord *Record = this->Engines.find(Id);
  if (!this->maySend(monotonicNow(), Id))
    this->FailureDetector.probeSkipped(Id);
  else if (Record != nullptr)
    spawnTask(this->Executor, "probe of an engine",
              this->probeEngine(Id, Record->Report.Address));
}

bool GroupCoordinator::askWhetherRunning(const EndpointName &Id) {
  if (this->AskedEngines.contains(Id))
    return false;
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record == nullptr || !this->maySend(monotonicNow(), Id))
    return true;
  this->AskedEngines.insert(Id);
  spawnTask(this->Executor, "question to an engine",
            this->askEngine(Id, Record->Report.Address));
  return true;
}

asio::awaitable<void> GroupCoordinator::askEngine(EndpointName Id,
                                                  std::string Address) {
  HttpCallOptions Options;
  Options.ConnectTimeout = QuestionTimeout;
  Options.HeadTimeout = QuestionTimeout;
  Options.ChunkTimeout = QuestionTimeout;
  Options.FreshConnection = true;
  HttpRequest Request = this->Protocol.makeProbeRequest();
  TimePoint SentAt = monotonicNow();
  HttpFetchResult Answer;
  try {
    Answer = co_await this->Client.fetch(std::move(Address), std::move(Request),
                                         std::move(Options), MaxAnswerBytes);
  } catch (...) {
    this->AskedEngines.erase(Id);
    throw;
  }
  this->AskedEngines.erase(Id);
  this->recordFaults(Id, Answer);
  if (Answer.ConnectionRefused && this->RefusalHandler)
    this->RefusalHandler(Id, SentAt);
  if (Answer.Outcome == HttpCallOutcome::Complete)
    this->recordAnswer(SentAt, Id, Answer);
}

asio::awaitable<void> GroupCoordinator::probeEngine(EndpointName Id,
                                                    std::string Address) {
  Duration Timeout = EngineFailureDetectorOptions().ProbeTimeout;
  HttpCallOptions Options;
  Options.ConnectTimeout = Timeout;
  Options.HeadTimeout = Timeout;
  Options.ChunkTimeout = Timeout;
  Options.FreshConnection = true;
  HttpRequest Request = this->Protocol.makeProbeRequest();
  TimePoint SentAt = monotonicNow();
  HttpFetchResult Answer;
  try {
    Answer = co_await this->Client.fetch(std::move(Address), std::move(Request),
                                         std::move(Options), MaxAnswerBytes);
  } catch (...) {
    this->FailureDetector.probeSkipped(Id);
    throw;
  }
  this->recordFaults(Id, Answer);
  if (Answer.ConnectionRefused)
    co_return this->FailureDetector.probeRefused(monotonicNow(), Id);
  // What is no answer shows neither a sound engine nor a silent one.
  if (Answer.Fault)
    co_return this->FailureDetector.probeSkipped(Id);
  if (Answer.Outcome != HttpCallOutcome::Complete)
    co_return this->FailureDetector.probeUnanswered(monotonicNow(), Id);
  this->FailureDetector.probeAnswered(monotonicNow(), Id);
  this->recordAnswer(SentAt, Id, Answer);
}

void GroupCoordinator::recordFaults(const EndpointName &Id,
                                    const HttpFetchResult &Answer) {
  if (Answer.Fault)
    this->ReachedLimits.recordBrokenAnswer(messageFaultName(Answer.Fault->Kind),
                                           Answer.Fault->Value, Id);
  HttpCallLimit Limit = Answer.Limit;
  if (Limit == HttpCallLimit::HeldBytes || Limit == HttpCallLimit::BodyBytes ||
      Limit == HttpCallLimit::ProcessBytes)
    this->ReachedLimits.record(httpCallLimitName(Limit), Id);
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

bool GroupCoordinator::endsRequests(const EngineOrder &Order) const {
  const EngineRecord *Record = this->Engines.find(Order.Recipient);
  if (Record == nullptr || !Record->Report.Group)
    return false;
  const GroupMembership &Current = *Record->Report.Group;
  bool IsCurrent = Current.Group == Order.Group && Current.Epoch == Order.Epoch;
  return Order.Verb == OrderVerb::Join    ? !IsCurrent
         : Order.Verb == OrderVerb::Leave ? IsCurrent
                                          : false;
}

asio::awaitable<void> GroupCoordinator::sendOrder(EngineOrder Order) {
  HttpCallOptions Options;
  Options.ConnectTimeout = OrderTimeout;
  Options.HeadTimeout = OrderTimeout;
  Options.ChunkTimeout = OrderTimeout;
  // Answers to orders bear no id; an earlier one that is written again must not
  // be read as the answer to this one.
  Options.FreshConnection = true;
  HttpRequest Request = this->Protocol.makeOrderRequest(Order);
  std::string Address = Order.Address;
  bool EndsRequests = this->endsRequests(Order);
  TimePoint SentAt = monotonicNow();
  HttpFetchResult Answer;
  try {
    // An order that is held back is sent again like one without an answer.
    if (this->maySend(SentAt, Order.Recipient))
      Answer =
          co_await this->Client.fetch(std::move(Address), std::move(Request),
                                      std::move(Options), MaxAnswerBytes);
    else
      Answer.Body = "not sent: the engine asked for a pause";
  } catch (...) {
    this->Planner.recordOrderResult(monotonicNow(), Order,
                                    OrderResult::Unanswered);
    throw;
  }
  this->recordFaults(Order.Recipient, Answer);
  OrderResult Result = OrderResult::Unanswered;
  if (Answer.Outcome == HttpCallOutcome::Complete) {
    Result = this->Protocol.readOrderResult(Answer.Head.Status);
    this->recordAnswer(SentAt, Order.Recipient, Answer,
                       EndsRequests && Result == OrderResult::Accepted);
  }
  logEvent(Severity::Info, "order",
           {{"endpoint", Order.Recipient},
            {"verb", verbName(Order.Verb)},
            {"group", Order.Group},
            {"epoch", static_cast<std::int64_t>(Order.Epoch)},
            {"status", static_cast<std::int64_t>(
                           Answer.Outcome == HttpCallOutcome::Complete
                               ? Answer.Head.Status
                               : 0)},
            {"answer", std::string_view(Answer.Body).substr(0, 200)}});
  this->Planner.recordOrderResult(monotonicNow(), Order, Result);
}

/// Logs one line for each model: open and other groups, reserves, and lost and
/// idle endpoints.
void GroupCoordinator::logFleet(TimePoint Now) {
  if (Now - this->LastFleetLogAt < FleetLogInterval)
    return;
  this->LastFleetLogAt = Now;
  for (const auto &[Model, Count] : this->Planner.engineCounts())
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

void GroupCoordinator::updateMetrics(Metrics &Output) const {
  for (const auto &Entry : this->Planner.engineCounts()) {
    auto SetGauge = [&](std::string_view Name, std::string_view State,
                        std::int64_t Value) {
      Output.setGauge(std::string(Name) + "{model=\"" + Entry.first +
                          "\",state=\"" + std::string(State) + "\"}",
                      static_cast<double>(this->Leading ? Value : 0));
    };
    const FormationPlanner::EngineCounts &Count = Entry.second;
    SetGauge("groups", "open", Count.Open);
    SetGauge("groups", "forming", Count.Forming);
    SetGauge("groups", "other", Count.Other);
    SetGauge("engines", "reserve", Count.Reserves);
    SetGauge("engines", "loading", Count.Loading);
    SetGauge("engines", "lost", Count.Lost);
    SetGauge("engines", "idle", Count.Idle);
  }
  for (const auto &[Reason, Count] : this->LossCounts)
    Output.setGauge("engines_lost_total{reason=\"" +
                        std::string(lossReasonName(Reason)) + "\"}",
                    static_cast<double>(Count));
  Output.setGauge("engine_false_alarms_total",
                  static_cast<double>(this->FalseAlarms));
}

bool GroupCoordinator::step(TimePoint Now, const Catalog &ActiveCatalog) {
  this->removeExpired(Now);
  this->updateLostEngines(Now);
  this->updateStalledGroups(Now);
  this->logFleet(Now);
  for (EngineOrder &Order : this->Planner.plan(Now, ActiveCatalog))
    spawnTask(this->Executor, "order", this->sendOrder(std::move(Order)));
  return this->publish(this->buildTargets(Now, ActiveCatalog));
}

static DispatchTargetMode toTargetMode(GroupPhase Phase) {
  switch (Phase) {
  case GroupPhase::Open:
    return DispatchTargetMode::Open;
  case GroupPhase::Finishing:
    return DispatchTargetMode::Finishing;
  default:
    return DispatchTargetMode::Stalled;
  }
}

std::map<std::string, message::PlaceMessage>
GroupCoordinator::buildTargets(TimePoint Now,
                               const Catalog &ActiveCatalog) const {
  std::map<std::string, message::PlaceMessage> CurrentTargets;
  auto FillEndpoint = [&](message::PlaceMessage &Target,
                          const EngineRecord &Endpoint) {
    Target.set_endpoint(Endpoint.Report.Id);
    Target.set_address(Endpoint.Report.Address);
    Target.set_endpoint_life(
        static_cast<std::uint64_t>(Endpoint.Report.StartedAtMs));
    Target.set_service(Endpoint.Report.Service);
    Target.set_failure_domain(Endpoint.Report.FailureDomain);
    if (auto Limit = this->Limits.find(Endpoint.Report.Id);
        Limit != this->Limits.end())
      Target.set_request_limit(Limit->second.PerSecond);
    // Sent once; each entry host counts it down by itself.
    Target.set_still_cold_ms(std::max<std::int64_t>(
        milliseconds(Endpoint.ColdUntil - Endpoint.LastReportAt), 0));
  };
  for (const auto &[Name, Group] : this->Planner.groups()) {
    const Service *ServiceEntry = ActiveCatalog.service(Group.Service);
    const EngineRecord *Head = this->Engines.find(Group.head());
    DispatchTargetMode Mode = toTargetMode(Group.Phase);
    if (Mode == DispatchTargetMode::Open &&
        this->FailureDetector.isSuspect(Now, Name))
      Mode = DispatchTargetMode::Finishing;
    if (ServiceEntry == nullptr || !ServiceEntry->Engine || Head == nullptr)
      continue;
    // Some members may not have reported yet.
    if (!this->hasAllTargets(Now) && Mode != DispatchTargetMode::Open)
      continue;
    message::PlaceMessage &Target = CurrentTargets[Name];
    FillEndpoint(Target, *Head);
    Target.set_name(Name);
    Target.set_model(Group.Model);
    Target.set_slots(ServiceEntry->Engine->Slots);
    Target.set_mode(static_cast<std::int32_t>(Mode));
    Target.set_epoch(Group.Epoch);
  }
  for (const auto &[Id, Record] : this->Engines.all()) {
    const Service *ServiceEntry = ActiveCatalog.service(Record.Report.Service);
    if (ServiceEntry == nullptr || ServiceEntry->Engine)
      continue;
    message::PlaceMessage &Target = CurrentTargets[Id];
    FillEndpoint(Target, Record);
    Target.set_name(Id);
    Target.set_slots(Record.Report.Slots);
    Target.set_mode(static_cast<std::int32_t>(
        Record.Report.Leaving ? DispatchTargetMode::Finishing
                              : DispatchTargetMode::Open));
    Target.set_epoch(static_cast<std::uint64_t>(Record.Report.StartedAtMs));
  }
  return CurrentTargets;
}

/// \returns whether two versions of a target are the same for entry hosts. The
/// remaining cold time is compared only with 0, because entry hosts count it
/// down.
static bool isUnchanged(const message::PlaceMessage &Left,
                        const message::PlaceMessage &Right) {
  return Left.endpoint() == Right.endpoint() &&
         Left.address() == Right.address() && Left.mode() == Right.mode() &&
         Left.epoch() == Right.epoch() &&
         Left.endpoint_life() == Right.endpoint_life() &&
         Left.request_limit() == Right.request_limit() &&
         (Left.still_cold_ms() > 0) == (Right.still_cold_ms() > 0);
}

bool GroupCoordinator::publish(
    const std::map<std::string, message::PlaceMessage> &CurrentTargets) {
  std::uint64_t NextRevision = this->TargetRevision + 1;
  bool Changed = false;
  for (const auto &[Name, Message] : CurrentTargets) {
    PublishedTarget &Published = this->Targets[Name];
    if (Published.Revision > 0 && !Published.Removed &&
        isUnchanged(Published.Message, Message))
      continue;
    Published = {
        .Message = Message, .Revision = NextRevision, .Removed = false};
    Changed = true;
  }
  for (auto &[Name, Published] : this->Targets)
    if (!Published.Removed && !CurrentTargets.contains(Name)) {
      Published.Removed = true;
      Published.Revision = NextRevision;
      Changed = true;
    }
  if (Changed)
    this->TargetRevision = NextRevision;
  return Changed;
}

} // namespace carobhinge
