//===- LibHTTP/HttpMessage.cpp - HTTP requests and responses --------------===//
///
/// \file
/// Look-up of header fields and query parameters.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/HttpMessage.h>

#include <algorithm>
#include <cctype>

namespace carobhinge {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  });
}

void HttpHeaders::add(std::string_view Name, std::string_view Value) {
  this->Fields.push_back(
      {.Name = std::string(Name), .Value = std::string(Value)});
}

std::string_view HttpHeaders::value(std::string_view Name) const {
  for (const HttpHeader &Field : this->Fields)
    if (equalIgnoringCase(Field.Name, Name))
      return Field.Value;
  return {};
}

std::size_t HttpHeaders::count(std::string_view Name) const {
  return std::ranges::count_if(this->Fields, [Name](const HttpHeader &Field) {
    return equalIgnoringCase(Field.Name, Name);
  });
}

std::string_view HttpRequest::path() const {
  return std::string_view(this->Target).substr(0, this->Target.find('?'));
}

std::string_view HttpRequest::queryValue(std::string_view Name) const {
  std::size_t Start = this->Target.find('?');
  if (Start == std::string::npos)
    return {};
  std::string_view Query = std::string_view(this->Target).substr(Start + 1);
  while (!Query.empty()) {
    std::string_view Pair = Query.substr(0, Query.find('&'));
    std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? std::string_view()
                                              : Pair.substr(Equals + 1);
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
  }
  return {};
}

} // namespace carobhinge
