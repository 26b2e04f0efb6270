//===- LibEntry/EndpointDialect.h - How callers and endpoints speak -------===//
///
/// \file
/// What an entry host needs to know of a message, in the product's own words.
/// The platform's names and formats stay behind this interface.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENDPOINTDIALECT_H
#define LIBENTRY_ENDPOINTDIALECT_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <cstdint>
#include <optional>
#include <string>

namespace carobhinge {

/// What a caller's request says besides method, path and body.
struct CallHead {
  /// Identifies one attempt of a caller.
  std::string AttemptId = {};
  std::string Host = {};
  /// How long the caller will wait, if it says so.
  std::optional<Duration> Patience = {};
  std::string Key = {};
  ModelName Model = {};
  /// Tokens of the prompt, and at most of the answer; 0 where not said.
  double PromptTokens = 0;
  double AnswerTokens = 0;
  /// The last event that the caller has, if it resumes a stream.
  std::optional<std::uint64_t> ResumeAfter = {};
};

/// What an entry host adds to a request that it passes on.
struct DispatchTerms {
  /// Only this endpoint may run it.
  EndpointName Expected = {};
  /// How long the caller will still wait.
  Duration Left{};
  /// Empty where the request needs no key.
  WorkspaceName Workspace = {};
  std::optional<std::uint64_t> ResumeAfter = {};
};

/// What the head of an endpoint's answer says.
struct AnswerHead {
  /// The endpoint states that it did not run the request.
  bool NotRun = false;
  /// The attempt that the answer belongs to; empty where not said.
  std::string AttemptId = {};
  /// Bears the endpoint's signature.
  bool Signed = false;
  bool IsEventStream = false;
  /// Not the endpoint's own bytes.
  bool Encoded = false;
};

class EndpointDialect {
public:
  EndpointDialect() = default;
  EndpointDialect(const EndpointDialect &) = delete;
  EndpointDialect &operator=(const EndpointDialect &) = delete;
  virtual ~EndpointDialect() = default;

  [[nodiscard]] virtual CallHead readCall(const HttpRequest &Call) const = 0;
  [[nodiscard]] virtual HttpRequest
  toEndpoint(const HttpRequest &Call, const DispatchTerms &Terms) const = 0;
  [[nodiscard]] virtual AnswerHead
  readAnswer(const HttpResponseHead &Answer) const = 0;
  /// The endpoint's head without what concerns only one connection.
  [[nodiscard]] virtual HttpResponseHead
  toCaller(const HttpResponseHead &Answer) const = 0;
  /// A refusal of this system. \p RetryAfter: when to come back, if useful.
  [[nodiscard]] virtual HttpResponse
  refusal(unsigned Status, std::string_view Reason,
          std::optional<Duration> RetryAfter) const = 0;
};

} // namespace carobhinge

#endif // LIBENTRY_ENDPOINTDIALECT_H
