//===- LibHTTP/BlockingFetch.h - Synchronous HTTP requests ----------------===//
///
/// \file
/// For commands and tools that make one request at a time.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_BLOCKINGFETCH_H
#define LIBHTTP_BLOCKINGFETCH_H

#include <LibHTTP/HttpClient.h>

namespace carobhinge {

/// Sends \p Request to \p Address ("IP:PORT") and blocks the calling thread
/// until the call ends. A response body longer than \p MaxBytes ends the call
/// as Incomplete.
HttpFetchResult blockingFetch(const std::string &Address, HttpRequest Request,
                              HttpCallOptions Options = {},
                              std::size_t MaxBytes = 64 * 1024 * 1024);

} // namespace carobhinge

#endif // LIBHTTP_BLOCKINGFETCH_H
