//===- LibHTTP/BlockingFetch.cpp - Synchronous HTTP requests --------------===//
///
/// \file
/// Runs a separate event loop for each request.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/BlockingFetch.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace asio = boost::asio;

namespace carobhinge {

HttpFetchResult blockingFetch(const std::string &Address, HttpRequest Request,
                              HttpCallOptions Options, std::size_t MaxBytes) {
  asio::io_context Context(1);
  HttpClient Client(Context.get_executor());
  auto Future = asio::co_spawn(
      Context,
      Client.fetch(Address, std::move(Request), std::move(Options), MaxBytes),
      asio::use_future);
  Context.run();
  return Future.get();
}

} // namespace carobhinge
