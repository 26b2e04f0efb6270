//===- LibEntry/EndpointProtocol.h - Reads and writes request heads -------===//
///
/// \file
/// Interface to the header fields of callers and endpoints. It holds what an
/// entry host needs from a message in terms of this system; the names and
/// formats of the platform stay in the implementation.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENDPOINTPROTOCOL_H
#define LIBENTRY_ENDPOINTPROTOCOL_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <LibRouting/CrashReport.h>
#include <cstdint>
#include <optional>
#include <string>

namespace carobhinge {

/// Metadata of a caller's request, besides method, path and body.
struct RequestMetadata {
  /// Identifies one attempt of a caller.
  std::string AttemptId = {};
  std::string Host = {};
  /// Time until the caller gives up; empty if the request doesn't state it.
  std::optional<Duration> TimeBudget = {};
  std::string Key = {};
  ModelName Model = {};
  /// Tokens of the prompt, and maximum number of tokens of the answer; 0 if not
  /// given.
  double PromptTokens = 0;
  double AnswerTokens = 0;
  /// The parts of the prompt that other requests may share, in order: all but
  /// the last one, and at most MaxSharedParts of them.
  PromptParts SharedParts = {};
  /// The id of the last event that the caller has, if it resumes a stream. The
  /// endpoint chose it, so it may be any text.
  std::optional<std::string> ResumeAfter = {};
  /// Endpoints that may have run the request before another entry host handed
  /// it on. To be believed from entry hosts only.
  int PossibleRuns = 0;
  /// The version of the catalog by which another entry host admitted the
  /// request; 0 if none is named. To be believed from entry hosts only.
  std::uint64_t AdmittedVersion = 0;
};

/// Metadata that an entry host adds to a request that it forwards.
struct DispatchMetadata {
  /// Any other endpoint refuses the request.
  EndpointName ExpectedEndpoint = {};
  /// Time until the request's deadline.
  Duration RemainingTime{};
  /// Empty where the request needs no key.
  WorkspaceName Workspace = {};
  std::optional<std::string> ResumeAfter = {};
  /// For entry hosts: endpoints that may have run the request.
  int PossibleRuns = 0;
  /// For entry hosts: the version of the catalog that admitted the request.
  std::uint64_t AdmittedVersion = 0;
};

/// Metadata of an endpoint's answer.
struct ResponseMetadata {
  /// The endpoint reports that it did not run the request.
  bool NotRun = false;
  /// The attempt that the answer belongs to; empty if not given.
  std::string AttemptId = {};
  /// The answer has the endpoint's signature.
  bool Signed = false;
  bool IsEventStream = false;
  /// Requests in a second that the endpoint takes from all hosts together; 0 if
  /// it names no limit.
  double RequestLimit = 0;
  /// The time in which the endpoint wants no requests from this host; empty if
  /// it names none.
  std::optional<Duration> RetryAfter = {};
  /// The endpoint is leaving and takes nothing new.
  bool Leaving = false;
  /// The endpoint that is leaving, if another entry host hands the answer back.
  EndpointName LeavingEndpoint = {};
  /// The version of the catalog that another entry host decided by, if that
  /// hands the answer back; 0 if it names none.
  std::uint64_t PeerCatalogVersion = 0;
  /// The body has a content encoding, so it isn't the endpoint's own bytes.
  bool Encoded = false;
};

/// \returns whether an answer is a success with the endpoint's own events.
inline bool carriesEvents(const ResponseMetadata &Metadata, unsigned Status) {
  return Metadata.IsEventStream && Status < 300 && Metadata.Signed &&
         !Metadata.Encoded;
}

class EndpointProtocol {
public:
  EndpointProtocol() = default;
  EndpointProtocol(const EndpointProtocol &) = delete;
  EndpointProtocol &operator=(const EndpointProtocol &) = delete;
  virtual ~EndpointProtocol() = default;

  [[nodiscard]] virtual RequestMetadata
  readCall(const HttpRequest &Call) const = 0;
  /// The request to the endpoint: \p Call with \p Metadata added.
  [[nodiscard]] virtual HttpRequest
  makeEndpointRequest(const HttpRequest &Call,
                      const DispatchMetadata &Metadata) const = 0;
  /// The request to another entry host, which handles it as if its caller had
  /// sent it there. Of \p Metadata only the time, the resumption, the possible
  /// runs and the catalog's version are added.
  [[nodiscard]] virtual HttpRequest
  makePeerRequest(const HttpRequest &Call,
                  const DispatchMetadata &Metadata) const = 0;
  [[nodiscard]] virtual ResponseMetadata
  readAnswer(const HttpResponseHead &Answer) const = 0;
  /// The endpoint's head without the fields that concern only one connection.
  [[nodiscard]] virtual HttpResponseHead
  makeCallerHead(const HttpResponseHead &Answer) const = 0;
  /// The same for an entry host that handed the request on. \p LeavingEndpoint:
  /// the endpoint that answered if it is leaving, otherwise empty.
  [[nodiscard]] virtual HttpResponseHead
  makePeerHead(const HttpResponseHead &Answer,
               const EndpointName &LeavingEndpoint) const = 0;
  /// Adds to the fields of an answer for an entry host by which version of the
  /// catalog this one has decided.
  virtual void addCatalogVersion(HttpHeaders &Fields,
                                 std::uint64_t Version) const = 0;
  /// An answer with which this system itself refuses the attempt \p AttemptId.
  /// \p RetryAfter: when the caller should retry, if useful.
  [[nodiscard]] virtual HttpResponse
  makeRefusal(unsigned Status, std::string_view Reason,
              std::string_view AttemptId,
              std::optional<Duration> RetryAfter) const = 0;
};

} // namespace carobhinge

#endif // LIBENTRY_ENDPOINTPROTOCOL_H
