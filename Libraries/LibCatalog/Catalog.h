//===- LibCatalog/Catalog.h - Services, routes and workspaces in force ----===//
///
/// \file
/// One version of what the operator wants served: which requests go to which
/// service, what may be repeated, which keys belong to which workspace, and
/// how the engines of a service behave. Plain values; a dialect decodes them.
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

/// What may be done again with a request that was sent to an endpoint.
enum class RepeatRule {
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of a caller.
  NonIdempotent,
  /// Answered by a stream of events; repeated only by resuming, where the
  /// route allows it.
  Stream,
};

/// A service that a route may choose, and how often.
struct ServiceWeight {
  ServiceName Service = {};
  /// Share among the weights of the route; at least 0.
  double Weight = 1;
};

struct Route {
  std::string Name = {};
  /// The host that the request names; compared whole.
  std::string Host = {};
  /// Begins and ends with a slash; the longest that fits decides.
  std::string Prefix = {};
  RepeatRule Repeat = RepeatRule::NonIdempotent;
  /// How long a caller may be kept waiting for the whole answer.
  Duration Timeout{};
  /// Within this time an answer (of a stream: its first event) is on time.
  Duration Objective{};
  /// The longest pause between events that is still on time.
  Duration PauseObjective{};
  /// Rank, 0 first.
  int Priority = 0;
  std::vector<ServiceWeight> Services = {};
  /// Endpoints on which one attempt of a caller may run.
  int EndpointsPerRequest = 1;
  /// Whether a request needs no key.
  bool Public = false;
  /// Whether a stream may go on at another endpoint after a known event.
  bool Resumable = false;

  /// Whether the request may be sent again after an endpoint may have run it.
  [[nodiscard]] bool mayRunAgain() const {
    return this->Repeat == RepeatRule::Idempotent ||
           (this->Repeat == RepeatRule::Stream && this->Resumable);
  }
};

/// A model that is served by groups of engines.
struct ModelSpec {
  ModelName Name = {};
  /// Engines in one group.
  int GroupSize = 1;
  /// Share of the engines' work at the start, 0 to 1.
  double InitialShare = 1;
  /// Factor on all times of a group of this model.
  double Pace = 1;
  /// Time to load the weights from the weight store.
  Duration LoadTime{};
  /// Time to join with weights that the host already holds.
  Duration StagedJoinTime{};
};

/// How the engines of a service compute; all engines alike.
struct EngineSpec {
  /// Requests that a group processes at once.
  int Slots = 1;
  /// Tokens that fit into a group's memory.
  double MemoryTokens = 0;
  /// Steps in one pass that writes: a writer gets one event a pass.
  int StepsPerPass = 1;
  double StepMs = 0;
  /// Added to a step for each request that is being written.
  double StepMsPerWriter = 0;
  /// Added to a step for each 1,000 tokens of context of each writer.
  double StepMsPerThousandContext = 0;
  /// Prompt tokens read in a second.
  double ReadTokensPerSecond = 1;
  /// Milliseconds for a million pairs of a token and an earlier one.
  double ReadMsPerMillionPairs = 0;
  /// Prompt tokens that one step reads at most.
  int ReadTokensPerStep = 2048;
  /// Mean tokens of a prompt and of an answer.
  double UsualPromptTokens = 0;
  double UsualAnswerTokens = 0;
  /// Loads from the weight store that may start in a second, over all engines.
  double LoadsPerSecond = 1;
  /// Concurrent loads beyond which each takes longer.
  int ConcurrentLoads = 1;
  /// From the order to open until a group serves.
  Duration OpenTime{};
  std::vector<ModelSpec> Models = {};

  [[nodiscard]] const ModelSpec *model(std::string_view Name) const;
};

struct Service {
  ServiceName Name = {};
  std::string HealthPath = {};
  /// Connections that one endpoint accepts from all callers together.
  int ConnectionsPerEndpoint = 0;
  /// Requests per second that a cold endpoint bears; 0: no limit.
  double ColdRequestsPerSecond = 0;
  /// Set where the service runs on model engines.
  std::optional<EngineSpec> Engine = {};
};

struct Workspace {
  WorkspaceName Name = {};
  std::vector<std::string> Keys = {};
  /// Goes before the priority of the route.
  std::optional<int> Priority = {};
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

struct Catalog {
  /// Given by the operator; the highest one is in force.
  std::uint64_t Version = 0;
  std::vector<Route> Routes = {};
  std::vector<Service> Services = {};
  /// Empty: no request needs a key.
  std::vector<Workspace> Workspaces = {};
  CallerLimits Limits = {};

  [[nodiscard]] const Service *service(std::string_view Name) const;
};

} // namespace carobhinge

#endif // LIBCATALOG_CATALOG_H
