//===- LibServe/CallContext.h - A parsed caller request -------------------===//
///
/// \file
/// The properties of a request after its path and header fields were checked
/// against the intent.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CALLCONTEXT_H
#define LIBSERVE_CALLCONTEXT_H

#include <LibHTTP/HttpMessage.h>
#include <LibIntent/Intent.h>
#include <LibRouting/CrashReport.h>
#include <LibRouting/RoutedRequest.h>
#include <LibServe/Problem.h>
#include <LibTelemetry/Metrics.h>
#include <memory>
#include <variant>

namespace carobhinge {

/// Header fields of the callers' interface.
namespace header {
inline constexpr std::string_view Workspace = "Carobhinge-Workspace";
inline constexpr std::string_view Class = "Carobhinge-Class";
inline constexpr std::string_view DeadlineMs = "Carobhinge-Deadline-Ms";
inline constexpr std::string_view Outcome = "Carobhinge-Outcome";
inline constexpr std::string_view RequestId = "X-Request-Id";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view Group = "Carobhinge-Group";
inline constexpr std::string_view GroupNumber = "Carobhinge-Group-Number";
inline constexpr std::string_view ResumeFrom = "Carobhinge-Resume-From";
} // namespace header

struct CallContext {
  std::string RequestIdText;
  /// Held until the request ends, so that the request sees one version of the
  /// intent throughout. Service and Call point into it.
  std::shared_ptr<const Intent> IntentSnapshot;
  const ServiceSpec *Service = nullptr;
  const CallSpec *Call = nullptr;
  TrafficClass Traffic;
  /// Zero is the most urgent.
  int Priority = 0;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  /// Path and query below the service.
  std::string Target;
  /// True if the caller requested server-sent events.
  bool Streamed = false;
  std::uint64_t PrefixHash = 0;
  /// Hashes of the messages of the prompt but the last one, and last the
  /// fingerprint of the request.
  PromptParts Suspects;
  std::string IdempotencyKey;
  /// Came from an entry host of another failure domain.
  bool Forwarded = false;

  /// The request as routing sees it.
  [[nodiscard]] RoutedRequest routed() const;
};

/// Checks \p Request against \p IntentSnapshot.
std::variant<CallContext, Problem>
parseCall(const HttpRequest &Request,
          std::shared_ptr<const Intent> IntentSnapshot, bool Forwarded,
          std::string_view NewRequestId);

} // namespace carobhinge

#endif // LIBSERVE_CALLCONTEXT_H
