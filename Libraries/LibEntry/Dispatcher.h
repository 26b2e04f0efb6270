//===- LibEntry/Dispatcher.h - Selects a target for each request ----------===//
///
/// \file
/// Load and health of the dispatch targets as one entry host sees them: the
/// state that the control hosts report, the requests sent from here, and the
/// results of those requests. Selects a target for each request and detects
/// stalled targets. Uses no clock and no sockets of its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_DISPATCHER_H
#define LIBENTRY_DISPATCHER_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibEntry/StallRule.h>
#include <LibFormation/DispatchTargetMode.h>
#include <LibRouting/EndpointHoldOffs.h>
#include <LibRouting/LimitDivision.h>
#include <LibRouting/RequestPacer.h>
#include <LibRouting/ServiceTimes.h>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobhinge {

/// The head of a group, or a plain endpoint.
using DispatchTargetName = std::string;

struct DispatchTarget {
  DispatchTargetName Name = {};
  EndpointName Endpoint = {};
  /// Differs between two lives of the endpoint; 0 if it is not known.
  Incarnation EndpointLife = 0;
  /// "IP:PORT".
  std::string Address = {};
  ServiceName Service = {};
  /// Empty for plain services.
  ModelName Model = {};
  FailureDomainName FailureDomain = {};
  /// Requests that it processes at once.
  int Slots = 1;
  TimePoint ColdUntil = {};
  DispatchTargetMode Mode = DispatchTargetMode::Open;
  /// Groups only: increases with each new list of members.
  std::uint64_t Epoch = 0;
  /// Requests in a second that the endpoint takes from all entry hosts
  /// together, and when this host was told; 0: unlimited.
  double RequestLimit = 0;
  TimePoint LimitKnownAt = TimePoint::min();
};

struct DispatchOptions {
  /// A target is in doubt if no stream that has started there receives an event
  /// for this long (StallRule.h). One pass of a full group takes a tenth
  /// of it.
  Duration EventTimeout = std::chrono::milliseconds(450);
  /// After this long the target is reported to the control hosts as suspected,
  /// so that they probe the members of the group. Equals two to three passes
  /// of a busy group.
  Duration SuspicionTimeout = std::chrono::milliseconds(260);
  /// As EventTimeout, for a stream that waits for its first event; includes
  /// the wait for a slot and the processing of the prompt.
  Duration FirstEventTimeout = std::chrono::milliseconds(700);
  /// A target in doubt that has no requests in progress gets one after this
  /// time. A suspicion is repeated after it.
  Duration DoubtExpiry = std::chrono::milliseconds(1000);
  /// Back-off after a failed connection, doubled with each consecutive failure
  /// up to MaxBackOff.
  Duration MinBackOff = std::chrono::milliseconds(250);
  Duration MaxBackOff = std::chrono::seconds(4);
  /// Weight of the newest sample in a target's moving averages, from 0 to 1.
  double SmoothingFactor = 0.2;
  /// Half-life of a target's statistics while no answer arrives, so that a
  /// target that is avoided is tried again.
  Duration StatisticsHalfLife = std::chrono::seconds(2);
  /// A mean time to the first event, and a mean time between events, that each
  /// add the target's load once more to its cost: about twice the usual
  /// objectives of streams.
  Duration SlowFirstEvent = std::chrono::milliseconds(500);
  Duration SlowEventInterval = std::chrono::milliseconds(250);
  /// A failure rate of 1 adds this multiple of the target's load to its cost,
  /// so that any other target is preferred.
  double FailureWeight = 8;
  /// Cost added to targets of another failure domain, in requests for each
  /// slot: traffic between domains is billed.
  double RemoteDomainPenalty = 0.04;
  FailureDomainName FailureDomain = {};
  /// A group takes requests beyond its slots as long as the expected wait for
  /// a slot is at most this fraction of the time objective of the request. The
  /// rest of it is left for the processing of the prompt.
  double MaxQueueShare = 0.4;
  /// Requests in progress for each slot at which a plain endpoint, which can
  /// queue some, counts as full.
  double MaxRequestsPerPlainSlot = 3;
  /// Entry hosts that send to one cold endpoint at a time.
  int MaxColdSenders = 12;
  /// Fraction of a cold endpoint's request limit that is used.
  double ColdSafetyFactor = 0.8;
  /// Of the limits that endpoints name.
  LimitDivisionOptions Limits = {};
  /// Of the pauses that endpoints ask for.
  HoldOffOptions HoldOffs = {};
  std::uint64_t Seed = 1;
};

/// What decides the choice of a target.
struct DispatchRequest {
  ServiceName Service = {};
  /// Empty for plain services.
  ModelName Model = {};
  /// Time in which the answer, or the first event of a stream, should arrive.
  Duration Objective{};
  std::span<const DispatchTargetName> ExcludedTargets = {};
  /// For requests that were admitted: a full target may be selected.
  bool AllowFull = false;
  /// For a second attempt beside one that goes on: no target in doubt or in
  /// back-off is selected.
  bool OnlyTrusted = false;
};

/// The selected target, or why there is none.
struct DispatchChoice {
  std::optional<DispatchTarget> Target = {};
  /// Suitable targets exist, but all of them are full.
  bool AllFull = false;
  /// When the first pause ends, if the endpoints of all suitable targets asked
  /// for one.
  std::optional<TimePoint> PausedUntil = {};
};

using AttemptNumber = std::uint64_t;

/// The limit that an endpoint named in an answer; 0 if it named none any more.
struct LimitObservation {
  EndpointName Endpoint = {};
  double PerSecond = 0;
  TimePoint SeenAt = {};
};

enum class DispatchResult {
  Answered,
  /// The endpoint reported that it has not run the request.
  Refused,
  /// As Refused, and it asked for a pause.
  Paused,
  /// The endpoint answered with a server error.
  Failed,
  /// Connection failed before a byte was sent.
  Unreachable,
  /// Connection lost or stream incomplete after the request was sent.
  Lost,
  /// Ended by this host: caller disconnected, or deadline passed.
  Cancelled,
  /// Ended by this host: a second attempt beside it delivered first.
  Superseded,
};

/// \returns the name of \p Result in log lines.
[[nodiscard]] std::string_view resultName(DispatchResult Result);

class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options)
      : Options(std::move(Options)), Random(this->Options.Seed),
        Limits(this->Options.Limits), HoldOffs(this->Options.HoldOffs) {}

  /// Adds or changes targets. The statistics of a target are kept unless its
  /// endpoint, address or epoch changes.
  void update(std::span<const DispatchTarget> Updates);
  void remove(const DispatchTargetName &Name);
  /// Removes all targets that are not in \p Names.
  void retain(const std::set<DispatchTargetName> &Names);
  void setDrainedDomains(std::set<FailureDomainName> Domains) {
    this->DrainedDomains = std::move(Domains);
  }
  /// This host has index \p Index, from 0, among \p Count entry hosts.
  void setEntryHosts(int Index, int Count) {
    this->Limits.setEntryHosts(Index, Count);
  }
  /// Limits the requests in a second that a cold endpoint of the service gets
  /// from all entry hosts together; 0: unlimited.
  void setColdLimit(const ServiceName &Service, double PerSecond) {
    this->ColdLimits[Service] = PerSecond;
  }
  /// This host's share, from 0 to 1, of the limits that endpoints name.
  void setLimitShare(double Share) { this->Limits.setLoadShare(Share); }
  /// An answer asked for a pause of \p Length. \returns when it ends.
  TimePoint recordPause(TimePoint Now, AttemptNumber Attempt, Duration Length);
  /// An answer turned its request away for the rate of this host's requests,
  /// and named a time. Others are preferred for that time, at most MaxBackOff.
  void recordRateLimited(TimePoint Now, AttemptNumber Attempt, Duration Length);
  /// An answer said that its endpoint leaves. \returns whether that is new.
  bool recordLeaving(TimePoint Now, AttemptNumber Attempt);
  /// The same for an answer that another entry host handed back.
  bool recordLeaving(TimePoint Now, const EndpointName &Endpoint);
  /// \returns whether the request may still be written: its endpoint has not
  /// asked for a pause since it was chosen.
  [[nodiscard]] bool mayWrite(TimePoint Now, AttemptNumber Attempt) const;
  /// An answer named a limit, or none with 0.
  void recordLimit(TimePoint Now, AttemptNumber Attempt, double PerSecond);
  /// Limits that the control hosts don't know from this host yet.
  [[nodiscard]] std::vector<LimitObservation> limitObservations() const;
  /// The control hosts have received \p Sent.
  void confirmLimits(std::span<const LimitObservation> Sent);
  /// Another control host leads; it gets all limits in force again.
  void resendLimits();
  /// \returns whether a limit changed since the last call. The caller reports
  /// it to the control hosts at once.
  bool consumeNewLimit() { return std::exchange(this->HasNewLimit, false); }
  /// Requests in progress at a target that other entry hosts sent.
  void setRemoteInFlight(const DispatchTargetName &Name, int Count);

  /// Selects a target that may receive a request now: the cheaper of two
  /// random ones. The load from other entry hosts is known with a delay, so
  /// hosts that all selected the cheapest target would overload it.
  [[nodiscard]] DispatchChoice chooseTarget(TimePoint Now,
                                            const DispatchRequest &Request);

  AttemptNumber beginAttempt(TimePoint Now, const DispatchTargetName &Name,
                             bool IsStream);
  /// Records the first bytes, or a further event, of an attempt.
  void recordProgress(TimePoint Now, AttemptNumber Attempt);
  /// Must be called exactly once for each attempt.
  void endAttempt(TimePoint Now, AttemptNumber Attempt, DispatchResult Result);

  /// \returns whether a target became suspected since the last call. The caller
  /// reports it to the control hosts at once.
  bool consumeNewSuspicion() {
    return std::exchange(this->HasNewSuspicion, false);
  }

  /// \returns for how long no event has come from the target of \p Attempt, at
  /// most since that attempt began.
  [[nodiscard]] Duration silence(TimePoint Now, AttemptNumber Attempt) const;

  /// Attempts whose target is stalled by the word of the control hosts. A
  /// target that is only silent comes into doubt.
  [[nodiscard]] std::vector<AttemptNumber> findStalledAttempts(TimePoint Now);

  struct TargetLoad {
    DispatchTargetName Name;
    int InFlight = 0;
    /// Time since the last event from the target; empty if there was none.
    std::optional<Duration> TimeSinceEvent;
    bool Suspected = false;
    /// No event has come from it for longer than usual.
    bool Doubted = false;
  };
  /// Targets that have requests in progress, are suspected, or have sent an
  /// event; reported to the control hosts.
  [[nodiscard]] std::vector<TargetLoad> targetLoads(TimePoint Now) const;

  /// Returns whether a target of \p Service names \p Model.
  [[nodiscard]] bool servesModel(const ServiceName &Service,
                                 const ModelName &Model) const;

  /// Requests in progress for a model, and slots of its open targets.
  struct ModelLoad {
    int InFlight = 0;
    int Slots = 0;
  };
  [[nodiscard]] ModelLoad modelLoad(const ServiceName &Service,
                                    const ModelName &Model) const;

private:
  /// A target is selected only if there is none of a lower value.
  enum class Trust { Sound, Doubted, BackingOff };
  struct TargetRecord {
    DispatchTarget Target;
    int InFlight = 0;
    int RemoteInFlight = 0;
    /// Moving averages: time to the first event, time between events, and
    /// fraction of attempts that failed.
    double MeanFirstEventMs = 0;
    double MeanEventIntervalMs = 0;
    double FailureRate = 0;
    /// Last update of the moving averages.
    TimePoint UpdatedAt = TimePoint::min();
    std::optional<TimePoint> LastEventAt;
    TimePoint BackOffUntil = TimePoint::min();
    int ConsecutiveFailures = 0;
    /// When the target was last found in doubt, and since when it is suspected;
    /// an event clears both.
    std::optional<TimePoint> DoubtedAt;
    std::optional<TimePoint> SuspectedSince;
    /// Cold endpoints: earliest time of the next request from this host.
    TimePoint NextColdRequestAt = TimePoint::min();
    /// The limit that the endpoint named in its answers to this host, and when.
    double NamedLimit = 0;
    TimePoint LimitNamedAt = TimePoint::min();
    RequestPacer Pacer;
  };
  struct Attempt {
    DispatchTargetName TargetName;
    /// The target may get another endpoint while the attempt is in progress.
    EndpointHoldOffs::Endpoint Endpoint;
    TimePoint SentAt;
    /// When the first event arrived; the request has a slot since then.
    TimePoint StartedAt;
    TimePoint LastProgressAt;
    bool HasStarted = false;
    bool IsStream = false;
  };

  [[nodiscard]] bool isAvailable(TimePoint Now,
                                 const TargetRecord &Candidate) const;
  [[nodiscard]] bool isDoubted(TimePoint Now, const TargetRecord &Record) const;
  [[nodiscard]] Trust trust(TimePoint Now, const TargetRecord &Record) const;
  /// \p MeanMs of the targets of the model of \p Name but that one itself.
  [[nodiscard]] std::vector<Duration>
  usualTimes(const DispatchTargetName &Name,
             double TargetRecord::*MeanMs) const;
  /// \returns when the target of \p Current sent an event last, not before the
  /// start of that attempt.
  [[nodiscard]] TimePoint latestEventAt(const Attempt &Current) const;
  [[nodiscard]] static EndpointHoldOffs::Endpoint
  endpointOf(const TargetRecord &Record) {
    return {.Name = Record.Target.Endpoint,
            .Number = Record.Target.EndpointLife};
  }
  void removeUnlistedHoldOffs(TimePoint Now);
  [[nodiscard]] bool isFull(const TargetRecord &Candidate,
                            Duration Objective) const;
  [[nodiscard]] bool canSendToCold(TimePoint Now,
                                   const TargetRecord &Candidate) const;
  [[nodiscard]] Duration coldRequestInterval(const ServiceName &Service) const;
  [[nodiscard]] double cost(TimePoint Now, const TargetRecord &Candidate) const;
  void backOff(TimePoint Now, TargetRecord &Record);
  /// Requests in a second that all hosts together may send; 0: unlimited.
  [[nodiscard]] static double requestLimit(const TargetRecord &Record);
  /// Returns whether this host's share of the target's limit allows a request.
  [[nodiscard]] bool isWithinLimit(TimePoint Now, TargetRecord &Record);

  DispatchOptions Options;
  std::map<DispatchTargetName, TargetRecord> Targets;
  std::map<AttemptNumber, Attempt> Attempts;
  /// Times that streams of each model held a slot.
  std::map<std::pair<ServiceName, ModelName>, ServiceTimes> SlotTimes;
  std::set<FailureDomainName> DrainedDomains;
  /// Requests per second.
  std::map<ServiceName, double> ColdLimits;
  AttemptNumber LastAttempt = 0;
  std::mt19937_64 Random;
  LimitDivision Limits;
  EndpointHoldOffs HoldOffs;
  /// When to look for endpoints in HoldOffs that are no longer listed.
  TimePoint NextCleanUpAt = TimePoint::min();
  bool HasNewSuspicion = false;
  std::map<EndpointName, LimitObservation> NewLimits;
  bool HasNewLimit = false;
};

} // namespace carobhinge

#endif // LIBENTRY_DISPATCHER_H
