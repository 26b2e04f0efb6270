//===- LibServe/AwaitResult.h - Awaits callbacks in coroutines ------------===//
///
/// \file
/// Lets a coroutine wait for a callback that runs on another thread.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_AWAITRESULT_H
#define LIBSERVE_AWAITRESULT_H

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace carobhinge {

/// Calls \p Begin with a callback that takes the Result. The coroutine resumes
/// on its own executor after the callback was called, from any thread.
template <class Result, class Start>
boost::asio::awaitable<Result> awaitResult(Start Begin) {
  namespace asio = boost::asio;
  auto Initiate = [Begin = std::move(Begin)](auto Handler) mutable {
    using HandlerType = decltype(Handler);
    // Shared, because callbacks are kept in copyable function objects.
    auto Waiting = std::make_shared<HandlerType>(std::move(Handler));
    Begin([Waiting](Result Value) {
      auto Executor = asio::get_associated_executor(*Waiting);
      asio::post(Executor, [Waiting, Value = std::move(Value)]() mutable {
        std::move (*Waiting)(std::move(Value));
      });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Result)>(std::move(Initiate),
                                                        asio::use_awaitable);
}

} // namespace carobhinge

#endif // LIBSERVE_AWAITRESULT_H
