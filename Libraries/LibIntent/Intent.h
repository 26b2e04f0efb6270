//===- LibIntent/Intent.h - What operators want, checked and typed --------===//
///
/// \file
/// The intent is one JSON text. Parsing it checks the text as a whole; the
/// typed form below is what every other part reads.
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

/// What a failure domain does with new work while no control host is heard.
enum class WhenCutOff { Serve, Refuse };

struct FailureDomainSpec {
  FailureDomainName Name;
  RegionName Region;
  /// Taken out by the operators: it gets no new work.
  bool Out = false;
  WhenCutOff CutOff = WhenCutOff::Serve;

  bool operator==(const FailureDomainSpec &) const = default;
};

struct WorkspaceSpec {
  WorkspaceName Name;
  /// Share of every service relative to the other workspaces' weights.
  std::int64_t Weight = 1;
  /// Rate above which requests are refused; none means no such bound.
  std::optional<std::int64_t> RequestsPerSecond;
  /// Requests that may wait on one entry host.
  std::int64_t QueueLimit = 0;

  bool operator==(const WorkspaceSpec &) const = default;
};

struct ClassSpec {
  std::string Name;
  /// A higher priority goes first inside the share of a workspace.
  std::int64_t Priority = 0;
  /// Deadline of a request that names none itself.
  Duration Deadline{};

  bool operator==(const ClassSpec &) const = default;
};

enum class ServiceKind { Model, Plain };

/// Whether endpoints refuse an order that carries an old fencing number.
enum class FencingRule { Checked, Ignored };

/// How the idempotency keys of a call are bounded.
enum class KeyRule {
  /// The key starts with its date; older ones than the retention are refused.
  Dated,
  /// Records are kept until their number reaches a bound.
  Kept
};

struct KeySpec {
  KeyRule Rule = KeyRule::Dated;
  /// Rule Dated only: how long the record of a key is kept.
  std::int64_t RetentionDays = 0;

  bool operator==(const KeySpec &) const = default;
};

struct CallSpec {
  std::string Name;
  /// HTTP method in capital letters.
  std::string Method;
  /// Path below the service; a trailing '*' stands for any rest.
  std::string Path;
  bool Idempotent = false;
  /// Set exactly where the call is not idempotent.
  std::optional<KeySpec> Key = {};
  /// A listed class; the first one where the text names none.
  std::string Class = {};

  bool operator==(const CallSpec &) const = default;

  /// Whether a request is of this call. \p Path has no query. A path that a
  /// service could read as another one (dot segments, empty segments, encoded
  /// separators) matches nothing, so that nobody can reach a call that must
  /// not repeat under the name of one that may.
  [[nodiscard]] bool matches(std::string_view Method,
                             std::string_view Path) const;

  /// Whether one request could be of both calls.
  [[nodiscard]] bool overlaps(const CallSpec &Other) const;
};

/// What an endpoint in cold start bears.
struct WarmUpSpec {
  /// Requests at once, over all entry hosts together.
  std::int64_t Budget = 1;
  /// How long an endpoint counts as cold after it started.
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
  /// Requests that a warm target takes at once: the batching limit of a model
  /// group, the concurrency of a plain service's endpoint.
  std::int64_t SlotLimit = 1;
  FencingRule Fencing = FencingRule::Ignored;
  WarmUpSpec WarmUp;
  /// Longest deadline that a caller may ask for.
  Duration Deadline{};
  /// Whether an engine can continue a stream after a given chunk.
  bool Resumable = false;
  std::vector<CallSpec> Calls;

  bool operator==(const ServiceSpec &) const = default;

  /// The call that a request is of; null if there is none. At most one call
  /// matches, as calls that overlap are a finding.
  [[nodiscard]] const CallSpec *findCall(std::string_view Method,
                                         std::string_view Path) const;
};

/// The whole intent. What parseIntent() returns has no contradictions: names
/// are unique within their list, references resolve, dependencies are acyclic.
struct Intent {
  std::string Cluster;
  std::vector<FailureDomainSpec> FailureDomains;
  std::vector<WorkspaceSpec> Workspaces;
  std::vector<ClassSpec> Classes;
  std::vector<ServiceSpec> Services;

  bool operator==(const Intent &) const = default;

  /// Each null if nothing of that name is listed.
  [[nodiscard]] const FailureDomainSpec *
  findFailureDomain(std::string_view Name) const;
  [[nodiscard]] const WorkspaceSpec *findWorkspace(std::string_view Name) const;
  [[nodiscard]] const ClassSpec *findClass(std::string_view Name) const;
  [[nodiscard]] const ServiceSpec *findService(std::string_view Name) const;
};

/// Reads and checks an intent. Empty if there was any finding.
std::optional<Intent> parseIntent(std::string_view Text, Findings &Out);

/// Reads and checks the file \p Path.
/// \throws FindingsError with all findings; an unreadable file is one.
Intent loadIntent(const std::string &Path);

/// The same text for the same meaning: members in fixed order with their
/// defaults, lists by name.
std::string canonicalText(const Intent &Wanted);

} // namespace carobhinge

#endif // LIBINTENT_INTENT_H
