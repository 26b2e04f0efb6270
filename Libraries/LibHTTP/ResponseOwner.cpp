//===- LibHTTP/ResponseOwner.cpp - Which call a response belongs to -------===//

#include <LibHTTP/ResponseOwner.h>

namespace carobhinge {

ResponseOwner findResponseOwner(std::string_view ResponseId,
                                std::string_view CallId,
                                const ResponseContext &Context) {
  if (!ResponseId.empty())
    return ResponseId == CallId ? ResponseOwner::ThisCall
                                : ResponseOwner::AnotherCall;
  return Context.IsReusedConnection || Context.IsEarly
             ? ResponseOwner::Unknown
             : ResponseOwner::ThisCall;
}

} // namespace carobhinge
