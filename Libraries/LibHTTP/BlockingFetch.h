//===- LibHTTP/BlockingFetch.h - One call, waited for ---------------------===//
///
/// \file
/// For commands and tools that make one call at a time.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_BLOCKINGFETCH_H
#define LIBHTTP_BLOCKINGFETCH_H

#include <LibHTTP/HttpClient.h>

namespace carobhinge {

/// Performs \p Request at \p Address on the calling thread.
HttpAnswer blockingFetch(const std::string &Address, HttpRequest Request,
                         HttpCallOptions Options = {},
                         std::size_t MostBytes = 64 * 1024 * 1024);

} // namespace carobhinge

#endif // LIBHTTP_BLOCKINGFETCH_H
