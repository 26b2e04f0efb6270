//===- LibHTTP/HttpMessage.h - HTTP requests and responses ----------------===//
///
/// \file
/// Plain types for the rest of the system. Beast is used only in the sources of
/// this library.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_HTTPMESSAGE_H
#define LIBHTTP_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Compares names of fields, and values that are names.
[[nodiscard]] bool equalIgnoringCase(std::string_view Left,
                                     std::string_view Right);

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Header fields in order of arrival. Names are case-insensitive.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> Fields) : Fields(Fields) {}

  void add(std::string_view Name, std::string_view Value);
  /// Returns the first value of \p Name, or an empty view if there is none.
  [[nodiscard]] std::string_view value(std::string_view Name) const;
  /// Returns the number of fields named \p Name.
  [[nodiscard]] std::size_t count(std::string_view Name) const;
  [[nodiscard]] const std::vector<HttpHeader> &fields() const {
    return this->Fields;
  }

private:
  std::vector<HttpHeader> Fields;
};

/// A complete request, including its body.
struct HttpRequest {
  std::string Method = {};
  /// Path and query as received, not percent-decoded.
  std::string Target = {};
  HttpHeaders Headers = {};
  std::string Body = {};

  /// Returns the target up to the question mark.
  [[nodiscard]] std::string_view path() const;
  /// Returns the value of query parameter \p Name, not percent-decoded, or an
  /// empty view if it is missing.
  [[nodiscard]] std::string_view queryValue(std::string_view Name) const;
};

struct HttpResponseHead {
  unsigned Status = 200;
  HttpHeaders Headers = {};
};

/// A complete response with a body of known length.
struct HttpResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  HttpHeaders Headers = {};
  std::string Body = {};
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPMESSAGE_H
