//===- LibCatalog/Catalog.h - Services, routes and workspaces -------------===//
///
/// \file
/// One version of the operator's configuration: which requests go to which
/// service, which requests may be retried, which keys belong to which workspace
/// and the performance model of each service's engines. Plain values without
/// any parsing; the platform's decoder fills them in.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_CATALOG_H
#define LIBCATALOG_CATALOG_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobhinge {

using ModelName = std::string;

/// Rule for retrying a request that was sent to an endpoint.
enum class RetryRule {
  /// May run more than once.
  Idempotent,
  /// Runs at most once per attempt of the caller.
  NonIdempotent,
  /// Answered with a stream of events; retried only by resuming the stream, if
  /// the route is resumable.
  Stream,
};

/// One service of a route and its share of the requests.
struct ServiceWeight {
  ServiceName Service = {};
  /// At least 0, relative to the sum of the weights of the route.
  double Weight = 1;
};

/// Maps requests with a host and a path prefix to services.
struct Route {
  std::string Name = {};
  /// Compared with the whole host of the request.
  std::string Host = {};
  /// Begins and ends with a slash. The longest matching prefix wins.
  std::string Prefix = {};
  RetryRule Retries = RetryRule::NonIdempotent;
  /// Longest time until the whole answer was sent to the caller.
  Duration Timeout{};
  /// Target time until the answer, or until the first event of a stream.
  Duration Objective{};
  /// Target for the longest pause between two events of a stream.
  Duration PauseObjective{};
  /// 0 is the highest priority.
  int Priority = 0;
  std::vector<ServiceWeight> Services = {};
  /// Most endpoints on which one attempt of a caller may run.
  int EndpointsPerRequest = 1;
  /// True if requests are accepted without a key.
  bool Public = false;
  /// True if a stream may be resumed at another endpoint after its last event.
  bool Resumable = false;

  /// \returns whether a request may be retried although an endpoint may have
  /// run it.
  [[nodiscard]] bool isSafeToRetry() const {
    return this->Retries == RetryRule::Idempotent ||
           (this->Retries == RetryRule::Stream && this->Resumable);
  }
};

/// A model that is served by groups of engines.
struct ModelSpec {
  ModelName Name = {};
  /// Number of engines in a group.
  int GroupSize = 1;
  /// Share of the load on all engines when service starts, 0 to 1.
  double InitialShare = 1;
  /// Multiplies all compute times of a group that serves this model.
  double Pace = 1;
  /// Time to load the weights from the weight store.
  Duration LoadTime{};
  /// Time to join a group with weights that the host already holds.
  Duration StagedJoinTime{};
};

/// Performance model that all engines of a service share.
struct EngineSpec {
  /// Requests that a group processes concurrently.
  int Slots = 1;
  /// Capacity of a group's KV cache, in tokens.
  double MemoryTokens = 0;
  /// Decode steps in a pass; each sequence emits one event per pass.
  int StepsPerPass = 1;
  /// Fixed time of a step.
  double StepMs = 0;
  /// Added to a step for each sequence that is being decoded.
  double StepMsPerSequence = 0;
  /// Added to a step for each 1,000 tokens of context of each sequence.
  double StepMsPerThousandContext = 0;
  /// Prompt tokens that are prefilled per second.
  double PrefillTokensPerSecond = 1;
  /// Attention cost of prefill: milliseconds for a million pairs of a token
  /// and an earlier token.
  double PrefillMsPerMillionPairs = 0;
  /// Most prompt tokens that one step prefills.
  int PrefillTokensPerStep = 2048;
  /// Mean number of tokens in a prompt and in an answer.
  double MeanPromptTokens = 0;
  double MeanAnswerTokens = 0;
  /// Most loads from the weight store that may start per second, over all
  /// engines.
  double LoadsPerSecond = 1;
  /// Number of concurrent loads above which each load slows down.
  int ConcurrentLoads = 1;
  /// Time from the order to open until the group serves.
  Duration OpenTime{};
  std::vector<ModelSpec> Models = {};

  /// \returns the model with this name, or null.
  [[nodiscard]] const ModelSpec *model(std::string_view Name) const;
};

/// Endpoints that answer the same requests.
struct Service {
  ServiceName Name = {};
  std::string HealthPath = {};
  /// Connections that an endpoint accepts over all callers.
  int ConnectionsPerEndpoint = 0;
  /// Most requests per second to a cold endpoint; 0: no limit.
  double ColdRequestsPerSecond = 0;
  /// Set if the service runs on model engines.
  std::optional<EngineSpec> Engine = {};
};

/// A tenant and the keys that authenticate its requests.
struct Workspace {
  WorkspaceName Name = {};
  std::vector<std::string> Keys = {};
  /// Overrides the priority of the route.
  std::optional<int> Priority = {};
};

/// Limits on the size and the duration of what a caller sends.
struct CallerLimits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// A complete version of the configuration.
struct Catalog {
  /// Assigned by the operator. The highest accepted version takes effect.
  std::uint64_t Version = 0;
  std::vector<Route> Routes = {};
  std::vector<Service> Services = {};
  /// If empty, requests are accepted without a key.
  std::vector<Workspace> Workspaces = {};
  CallerLimits Limits = {};

  /// \returns the service with this name, or null.
  [[nodiscard]] const Service *service(std::string_view Name) const;
};

} // namespace carobhinge

#endif // LIBCATALOG_CATALOG_H
