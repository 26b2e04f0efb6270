//===- LibHTTP/HttpMessage.h - Requests and responses as plain values -----===//
///
/// \file
/// What the rest of the system sees of HTTP. Beast stays inside the sources
/// of this library.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_HTTPMESSAGE_H
#define LIBHTTP_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Header fields in order of arrival. Names compare without regard to case.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> Fields) : Fields(Fields) {}

  void add(std::string_view Name, std::string_view Value);
  /// The first value of \p Name, or an empty view.
  [[nodiscard]] std::string_view value(std::string_view Name) const;
  [[nodiscard]] std::size_t count(std::string_view Name) const;
  [[nodiscard]] const std::vector<HttpHeader> &fields() const {
    return this->Fields;
  }

private:
  std::vector<HttpHeader> Fields;
};

/// A whole request: the body has been read to its end.
struct HttpRequest {
  std::string Method = {};
  /// Path and query as they were sent.
  std::string Target = {};
  HttpHeaders Headers = {};
  std::string Body = {};

  /// The target up to the question mark.
  [[nodiscard]] std::string_view path() const;
  /// The value of query parameter \p Name (not percent-decoded), or empty.
  [[nodiscard]] std::string_view queryValue(std::string_view Name) const;
};

struct HttpResponseHead {
  unsigned Status = 200;
  HttpHeaders Headers = {};
};

/// A whole response with a body of known length.
struct HttpResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  HttpHeaders Headers = {};
  std::string Body = {};
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPMESSAGE_H
