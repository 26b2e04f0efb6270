//===- LibHTTP/ResponseOwner.h - Which call a response belongs to ---------===//
///
/// \file
/// A faulty peer may write a response twice, also where the response to the
/// next call on a kept connection is due. Decides from the ids that calls and
/// responses bear which call a response belongs to.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_RESPONSEOWNER_H
#define LIBHTTP_RESPONSEOWNER_H

#include <string_view>

namespace carobhinge {

enum class ResponseOwner {
  /// The call that waits for it.
  ThisCall,
  AnotherCall,
  /// It bears no id and may have been written for an earlier call.
  Unknown,
};

/// What is known of a response besides its bytes.
struct ResponseContext {
  /// The connection has carried other calls before.
  bool IsReusedConnection = false;
  /// Bytes of it were there before the request was written whole.
  bool IsEarly = false;
};

/// \p ResponseId: the id that the response bears, or empty.
ResponseOwner findResponseOwner(std::string_view ResponseId,
                                std::string_view CallId,
                                const ResponseContext &Context);

} // namespace carobhinge

#endif // LIBHTTP_RESPONSEOWNER_H
