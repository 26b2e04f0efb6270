//===- LibRouting/Router.h - What becomes of each request of a service ----===//
///
/// \file
/// One Router decides for one service on one entry host: whether a request is
/// admitted, when it goes, to which target, and what follows when an attempt
/// fails or is slow. It has no clock, threads or I/O; the driver calls it under
/// one lock, carries out takeEffects() in order and calls tick() at
/// nextTimer().
///
/// Every submitted request gets exactly one end: a Complete attempt, a Refuse,
/// a Forward, or callerGone(). A request that is not idempotent is dispatched
/// again only if no byte of it reached the target.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTER_H
#define LIBROUTING_ROUTER_H

#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/AttemptBudget.h>
#include <LibRouting/DeadlinePolicy.h>
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
  /// Throws std::invalid_argument for a policy name that is not known.
  explicit Router(RouterOptions Options);

  void submit(TimePoint Now, const RoutedRequest &Request);
  /// \p Targets is the whole list. Where only a load report came, reportLoad()
  /// is cheaper.
  void targetsChanged(TimePoint Now, std::span<const Target> Targets);
  void reportLoad(std::string_view TargetName, Incarnation Life,
                  const ReportedLoad &Load);
  /// \p Summaries is the whole list of other failure domains.
  void neighboursChanged(TimePoint Now,
                         std::span<const DomainSummary> Summaries);
  void weightsChanged(const std::map<WorkspaceName, double> &Weights);

  /// The target answered the attempt with its first byte.
  void firstByte(TimePoint Now, AttemptId Attempt);
  /// The attempt is over. Called exactly once for each Dispatch.
  void finished(TimePoint Now, AttemptId Attempt, AttemptOutcome Outcome);
  /// Nobody waits for the answer any more. No effect on a request that ended.
  void callerGone(TimePoint Now, RequestId Request);

  /// Stops taking new requests; those that wait or run go on.
  void drain(TimePoint Now);
  void tick(TimePoint Now);
  /// When tick() has to be called at the latest.
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  [[nodiscard]] std::vector<RoutingEffect> takeEffects();
  [[nodiscard]] DomainSummary summary() const;
  [[nodiscard]] RouterStatus status() const;

private:
  struct LiveRequest {
    RoutedRequest Request;
    /// Place among the requests of its workspace and priority.
    std::uint64_t Sequence = 0;
    bool Queued = false;
    /// A byte of it may have reached a target.
    bool MayHaveRun = false;
    /// A first byte of an answer came.
    bool Answered = false;
    /// Sent to a target at least once; it is then never forwarded.
    bool Dispatched = false;
    /// The target of the last failed attempt.
    std::optional<TargetIndex> Avoid = {};
    /// Attempts that run and were not cancelled: none while Queued, at most
    /// two, and at most one if the request is not idempotent.
    std::vector<AttemptId> Attempts = {};
    /// While Queued the latest start, afterwards the time of a hedge.
    std::optional<TimePoint> Timer = {};
  };

  struct RunningAttempt {
    RequestId Request = 0;
    TargetIndex Where = 0;
    TimePoint StartedAt;
    std::uint32_t Cost = 1;
    /// Of the request's class; entries are never removed.
    ServiceTimes *Times = nullptr;
    /// The request has ended or another attempt answered first.
    bool Abandoned = false;
    bool FirstByteSeen = false;
  };

  using LiveEntry = std::unordered_map<RequestId, LiveRequest>::iterator;

  void enqueue(TimePoint Now, LiveRequest &Live);
  bool makeRoom(TimePoint Now, const RoutedRequest &Request);
  void dequeue(LiveRequest &Live);
  void pump(TimePoint Now);
  void giveUpQueue(TimePoint Now);
  std::optional<TargetIndex> chooseTarget(TimePoint Now,
                                          const LiveRequest &Live);
  void dispatch(TimePoint Now, LiveRequest &Live, TargetIndex Where,
                bool IsHedge);
  void hedge(TimePoint Now, LiveRequest &Live);
  void abandonAttempts(LiveRequest &Live, std::optional<AttemptId> Except);
  void attemptFailed(TimePoint Now, LiveEntry Entry, TargetIndex Where,
                     AttemptOutcome Outcome);
  void judgeTarget(TimePoint Now, const RunningAttempt &Attempt,
                   AttemptOutcome Outcome);
  void sampleFirstByte(TimePoint Now, const RunningAttempt &Attempt);
  void judgeHealth(const RunningAttempt &Attempt, Duration Time,
                   Duration Typical);
  void refuse(TimePoint Now, LiveEntry Entry, RefusalReason Reason,
              std::optional<Duration> RetryAfter = std::nullopt);
  /// Forwards the request if it never went out and a neighbour takes it.
  bool forward(TimePoint Now, LiveEntry Entry);
  void end(LiveEntry Entry);
  void setTimer(LiveRequest &Live, std::optional<TimePoint> When);

  [[nodiscard]] Duration expectedService(TimePoint Now,
                                         const RoutedRequest &Request) const;
  [[nodiscard]] Duration expectedWait(TimePoint Now,
                                      const RoutedRequest &Request) const;
  [[nodiscard]] Duration retryAfter(TimePoint Now,
                                    const RoutedRequest &Request);

  RouterOptions Options;
  std::unique_ptr<AdmissionQueue> Queue;
  std::unique_ptr<TargetChoice> Choice;
  std::unique_ptr<DeadlinePolicy> Deadlines;
  std::unique_ptr<AttemptBudget> Retries;
  std::unique_ptr<AttemptBudget> Hedges;
  std::unique_ptr<StragglerPolicy> Stragglers;
  std::unique_ptr<Spillover> Spill;
  RandomNumbers Random;

  TargetBoard Board;
  std::unordered_map<RequestId, LiveRequest> Live;
  std::unordered_map<AttemptId, RunningAttempt> Running;
  /// Exactly the requests with a Timer.
  std::set<std::pair<TimePoint, RequestId>> Timers;
  std::map<std::string, ServiceTimes, std::less<>> TimesByClass;
  ServiceTimes TimesOfAll;
  std::vector<RoutingEffect> Effects;
  std::uint64_t LastSequence = 0;
  AttemptId LastAttempt = 0;
  bool IsDraining = false;
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTER_H
