//===- Tests/LibEntry/PlainProtocol.h - Requests as they are --------------===//
///
/// \file
/// A protocol for sessions in tests: all requests are one call of one attempt,
/// and go on as they came.
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBENTRY_PLAINPROTOCOL_H
#define TESTS_LIBENTRY_PLAINPROTOCOL_H

#include <LibEntry/EndpointProtocol.h>

namespace carobhinge {

class PlainProtocol : public EndpointProtocol {
public:
  RequestMetadata readCall(const HttpRequest &) const override {
    return {
        .AttemptId = "r1", .Host = "host", .SharedParts = this->SharedParts};
  }
  HttpRequest makeEndpointRequest(const HttpRequest &Call,
                                  const DispatchMetadata &Data) const override {
    HttpRequest Request = Call;
    Request.Headers.add("Resume", Data.ResumeAfter.value_or("0"));
    return Request;
  }
  HttpRequest makePeerRequest(const HttpRequest &Call,
                              const DispatchMetadata &) const override {
    return Call;
  }
  ResponseMetadata readAnswer(const HttpResponseHead &) const override {
    return {.AttemptId = "r1", .Signed = true, .IsEventStream = true};
  }
  HttpResponseHead
  makeCallerHead(const HttpResponseHead &Answer) const override {
    return Answer;
  }
  HttpResponseHead makePeerHead(const HttpResponseHead &Answer,
                                const EndpointName &) const override {
    return Answer;
  }
  void addCatalogVersion(HttpHeaders &, std::uint64_t) const override {}
  HttpResponse makeRefusal(unsigned Status, std::string_view, std::string_view,
                           std::optional<Duration>) const override {
    return {.Status = Status};
  }

  /// Of the prompt of each call.
  PromptParts SharedParts;
};

} // namespace carobhinge

#endif // TESTS_LIBENTRY_PLAINPROTOCOL_H
