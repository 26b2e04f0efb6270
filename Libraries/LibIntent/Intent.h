//===- LibIntent/Intent.h - Validated, typed intent -----------------------===//
///
/// \file
/// The intent is one JSON text. Parsing validates the text as a whole; all
/// other components use the typed form below.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENT_H
#define LIBINTENT_INTENT_H

#include <LibCore/Findings.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Treatment of new work by a failure domain while it is cut off from the
/// control quorum.
enum class CutOffRule { Serve, Refuse };

struct FailureDomainSpec {
  FailureDomainName Name;
  RegionName Region;
  /// Drained by the operators: the domain gets no new work.
  bool Drained = false;
  CutOffRule CutOff = CutOffRule::Serve;

  bool operator==(const FailureDomainSpec &) const = default;
};

struct WorkspaceSpec {
  WorkspaceName Name;
  /// Weight of this workspace's share of every service, relative to the other
  /// workspaces.
  std::int64_t Weight = 1;
  /// Rate above which requests are refused; unlimited if not set.
  std::optional<std::int64_t> RequestsPerSecond;
  /// Maximum number of queued requests on one entry host.
  std::int64_t QueueLimit = 0;

  bool operator==(const WorkspaceSpec &) const = default;
};

struct ClassSpec {
  std::string Name;
  /// Within the share of a workspace, higher priorities are dispatched first.
  std::int64_t Priority = 0;
  /// Default deadline of requests that specify none.
  Duration Deadline{};

  bool operator==(const ClassSpec &) const = default;
};

enum class ServiceKind { Model, Plain };

/// Treatment of an order with an outdated fencing token by the endpoints.
enum class FencingRule { Checked, Ignored };

/// Rule that bounds the idempotency keys of a call.
enum class KeyRule {
  /// Keys start with their date; keys older than the retention are refused.
  Dated,
  /// Records are kept until their number reaches a limit.
  Permanent
};

struct KeySpec {
  KeyRule Rule = KeyRule::Dated;
  /// Rule Dated only: how long the record of a key is retained.
  std::int64_t RetentionDays = 0;

  bool operator==(const KeySpec &) const = default;
};

struct CallSpec {
  std::string Name;
  /// HTTP method in capital letters.
  std::string Method;
  /// Path below the service; a trailing '*' matches any suffix.
  std::string Path;
  bool Idempotent = false;
  /// Set if and only if the call is not idempotent.
  std::optional<KeySpec> Key = {};
  /// Name of a listed class; the first one if the text specifies none.
  std::string Class = {};

  bool operator==(const CallSpec &) const = default;

  /// Returns whether a request matches this call. \p Path has no query. A path
  /// that a service could normalise to another one (dot segments, empty
  /// segments, encoded separators) matches nothing, so that a call that must
  /// not be retried cannot be reached as one that may be.
  [[nodiscard]] bool matches(std::string_view Method,
                             std::string_view Path) const;

  /// Returns whether a request could match both calls.
  [[nodiscard]] bool overlaps(const CallSpec &Other) const;
};

/// Limits for an endpoint that warms up after a cold start.
struct WarmUpSpec {
  /// Maximum number of concurrent requests, summed over all entry hosts.
  std::int64_t Budget = 1;
  /// Time after its start during which an endpoint counts as cold.
  Duration Length{};

  bool operator==(const WarmUpSpec &) const = default;
};

struct ServiceSpec {
  ServiceName Name;
  ServiceKind Kind = ServiceKind::Plain;
  std::vector<ServiceName> DependsOn;
  std::string Version;
  /// Models only; a plain service has one host in each "group".
  std::int64_t HostsPerGroup = 1;
  /// Concurrent requests that a warm target accepts: the batching limit of a
  /// model group, the concurrency of a plain service's endpoint.
  std::int64_t SlotLimit = 1;
  FencingRule Fencing = FencingRule::Ignored;
  WarmUpSpec WarmUp;
  /// Longest deadline that a caller may request.
  Duration Deadline{};
  /// True if an engine can continue a stream after a given chunk.
  bool Resumable = false;
  std::vector<CallSpec> Calls;

  bool operator==(const ServiceSpec &) const = default;

  /// The call that a request matches; null if there is none. At most one call
  /// matches, as overlapping calls are a finding.
  [[nodiscard]] const CallSpec *findCall(std::string_view Method,
                                         std::string_view Path) const;
};

/// The whole intent. The result of parseIntent() is consistent: names
/// are unique within their list, references resolve, dependencies are acyclic.
struct Intent {
  std::string Cluster;
  std::vector<FailureDomainSpec> FailureDomains;
  std::vector<WorkspaceSpec> Workspaces;
  std::vector<ClassSpec> Classes;
  std::vector<ServiceSpec> Services;

  bool operator==(const Intent &) const = default;

  /// These return null if the name is not listed.
  [[nodiscard]] const FailureDomainSpec *
  findFailureDomain(std::string_view Name) const;
  [[nodiscard]] const WorkspaceSpec *findWorkspace(std::string_view Name) const;
  [[nodiscard]] const ClassSpec *findClass(std::string_view Name) const;
  [[nodiscard]] const ServiceSpec *findService(std::string_view Name) const;
};

/// Parses and validates an intent. Returns nullopt if there is any finding.
std::optional<Intent> parseIntent(std::string_view Text, Findings &Out);

/// Parses and validates the file \p Path.
/// \throws FindingsError with all findings; an unreadable file is a finding.
Intent loadIntent(const std::string &Path);

/// Returns the same text for equivalent intents: members in fixed order
/// including defaults, lists sorted by name.
std::string canonicalText(const Intent &Value);

} // namespace carobhinge

#endif // LIBINTENT_INTENT_H
