//===- LibRouting/Router.h - Routes the requests of a service -------------===//
///
/// \file
/// One Router decides for one service on one entry host: whether a request is
/// admitted, when it is dispatched, to which target, and what to do when an
/// attempt fails or is slow. It has no clock, threads or I/O; the driver calls
/// it under one lock, performs the effects from takeEffects() in order and
/// calls tick() at nextTimer().
///
/// Every submitted request ends exactly once: by a Complete attempt, a Refuse,
/// a Forward, or callerDisconnected(). A request that is not idempotent is
/// dispatched again only if no byte of it reached the target.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTER_H
#define LIBROUTING_ROUTER_H

#include <LibFleet/DomainLoads.h>
#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/AttemptBudget.h>
#include <LibRouting/DeadlinePolicy.h>
#include <LibRouting/EndpointHoldOffs.h>
#include <LibRouting/LimitDivision.h>
#include <LibRouting/RouterStatus.h>
#include <LibRouting/RoutingEffect.h>
#include <LibRouting/ServiceTimes.h>
#include <LibRouting/Spillover.h>
#include <LibRouting/StragglerPolicy.h>
#include <LibRouting/TargetChoice.h>
#include <set>
#include <unordered_map>

namespace carobhinge {

class Router {
public:
  /// Throws std::invalid_argument for an unknown policy name.
  explicit Router(RouterOptions Options);

  void submit(TimePoint Now, const RoutedRequest &Request);
  /// Replaces the list of targets. For a new load report alone, reportLoad() is
  /// cheaper.
  void setTargets(TimePoint Now, std::span<const Target> Targets);
  void reportLoad(std::string_view TargetName, Incarnation TargetIncarnation,
                  const ReportedLoad &Load);
  /// Replaces the summaries of all other failure domains.
  void setSpilloverDomains(TimePoint Now,
                           std::span<const DomainSummary> Summaries);
  /// This host's place among the entry hosts that share the limits of targets.
  void setPlace(TimePoint Now, const EntryHostPlace &Place);
  void setWeights(const std::map<WorkspaceName, double> &Weights);
  /// Limits by workspace that override RouterOptions::QueueLimit.
  void setQueueLimits(std::map<WorkspaceName, std::uint32_t> Limits);

  /// The first byte of the attempt's answer arrived.
  void reportFirstByte(TimePoint Now, AttemptId Attempt);
  /// The attempt ended. Called exactly once for each Dispatch.
  void reportOutcome(TimePoint Now, AttemptId Attempt, AttemptOutcome Outcome);
  /// Returns whether the attempt may still be written: its target has not asked
  /// for a pause since the dispatch.
  [[nodiscard]] bool mayWrite(TimePoint Now, AttemptId Attempt) const;
  /// The caller disconnected. No effect on a request that has ended.
  void callerDisconnected(TimePoint Now, RequestId Request);

  /// Stops accepting new requests; queued and running ones continue.
  void drain(TimePoint Now);
  void tick(TimePoint Now);
  /// Latest time at which tick() must be called next.
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  [[nodiscard]] std::vector<RoutingEffect> takeEffects();
  [[nodiscard]] DomainSummary summary() const;
  [[nodiscard]] RouterStatus status() const;

private:
  struct ActiveRequest {
    RoutedRequest Request;
    /// Arrival order among the requests of its workspace and priority.
    std::uint64_t Sequence = 0;
    bool Queued = false;
    /// A byte of the request may have reached a target.
    bool MayHaveRun = false;
    /// The first byte of an answer has arrived.
    bool AnswerStarted = false;
    /// Sent to a target at least once; such a request is never forwarded.
    bool Dispatched = false;
    /// The target of the last failed attempt.
    std::optional<TargetIndex> AvoidedTarget = {};
    /// Running attempts that were not abandoned: none while Queued, at most
    /// two, and at most one if the request is not idempotent.
    std::vector<AttemptId> Attempts = {};
    /// Latest start while Queued, otherwise the time at which to hedge.
    std::optional<TimePoint> Timer = {};
  };

  struct RunningAttempt {
    RequestId Request = 0;
    TargetIndex ChosenTarget = 0;
    TimePoint StartedAt;
    std::uint32_t Cost = 1;
    /// Times of the request's class. Stays valid, because entries of
    /// TimesByClass are never removed.
    ServiceTimes *Times = nullptr;
    /// The request has ended or another attempt answered first.
    bool Abandoned = false;
    bool FirstByteReceived = false;
  };

  using ActiveEntry = std::unordered_map<RequestId, ActiveRequest>::iterator;

  void enqueue(TimePoint Now, ActiveRequest &Active);
  void updateRates(TimePoint Now);
  [[nodiscard]] std::uint32_t queueLimit(const WorkspaceName &Workspace) const;
  bool ensureQueueCapacity(TimePoint Now, const RoutedRequest &Request);
  void dequeue(ActiveRequest &Active);
  void dispatchQueued(TimePoint Now);
  void flushQueue(TimePoint Now);
  std::optional<TargetIndex> chooseTarget(TimePoint Now,
                                          const ActiveRequest &Active);
  void dispatch(TimePoint Now, ActiveRequest &Active, TargetIndex ChosenTarget,
                bool IsHedge);
  void hedge(TimePoint Now, ActiveRequest &Active);
  void abandonAttempts(ActiveRequest &Active, std::optional<AttemptId> Except);
  void handleFailedAttempt(TimePoint Now, ActiveEntry Entry,
                           TargetIndex ChosenTarget, AttemptOutcome Outcome);
  void recordOutcome(TimePoint Now, const RunningAttempt &Attempt,
                     AttemptOutcome Outcome);
  void recordPause(TimePoint Now, TargetIndex Index, Duration Length);
  /// The target answered and did not turn the request away. Returns whether
  /// that ended a pause; queued requests may then be dispatched.
  bool recordServed(const RunningAttempt &Attempt);
  /// Keeps targets that are new in the list to a pause that they have asked
  /// for.
  void continuePauses(TimePoint Now);
  /// The endpoint that gets the requests of \p Info. A group whose number
  /// changes keeps it as long as its head has the same address.
  [[nodiscard]] static EndpointHoldOffs::Endpoint
  endpointOf(const Target &Info);
  void recordFirstByteTime(TimePoint Now, const RunningAttempt &Attempt);
  void updateHealth(const RunningAttempt &Attempt, Duration Time,
                    Duration TypicalTime);
  void refuse(TimePoint Now, ActiveEntry Entry, RefusalReason Reason,
              std::optional<Duration> RetryAfter = std::nullopt);
  /// Forwards the request if it was never dispatched or forwarded and another
  /// failure domain has capacity. Returns whether it did.
  bool tryForward(TimePoint Now, ActiveEntry Entry);
  void removeRequest(ActiveEntry Entry);
  void setTimer(ActiveRequest &Active, std::optional<TimePoint> ExpiresAt);

  [[nodiscard]] Duration expectedService(TimePoint Now,
                                         const RoutedRequest &Request) const;
  [[nodiscard]] Duration expectedWait(TimePoint Now,
                                      const RoutedRequest &Request) const;
  [[nodiscard]] Duration retryAfter(TimePoint Now,
                                    const RoutedRequest &Request);

  RouterOptions Options;
  std::map<WorkspaceName, std::uint32_t> QueueLimits;
  std::unique_ptr<AdmissionQueue> Queue;
  std::unique_ptr<TargetChoice> Choice;
  std::unique_ptr<DeadlinePolicy> Deadlines;
  std::unique_ptr<AttemptBudget> Retries;
  std::unique_ptr<AttemptBudget> Hedges;
  std::unique_ptr<StragglerPolicy> Stragglers;
  std::unique_ptr<Spillover> SpilloverPolicy;
  RandomGenerator Random;

  LimitDivision Limits;
  EndpointHoldOffs HoldOffs;
  TargetTable Table;
  std::unordered_map<RequestId, ActiveRequest> ActiveRequests;
  std::unordered_map<AttemptId, RunningAttempt> Running;
  /// Exactly the requests with a Timer.
  std::set<std::pair<TimePoint, RequestId>> Timers;
  std::map<std::string, ServiceTimes, std::less<>> TimesByClass;
  ServiceTimes OverallTimes;
  std::vector<RoutingEffect> Effects;
  std::uint64_t LastSequence = 0;
  AttemptId LastAttempt = 0;
  bool IsDraining = false;
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTER_H
