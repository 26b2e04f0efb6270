//===- LibTelemetry/Supervision.cpp - Tasks whose failures are handled ----===//

#include <LibTelemetry/Supervision.h>

#include <LibTelemetry/Log.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>

namespace asio = boost::asio;

namespace carobhinge {

static std::string describe(const std::exception_ptr &Cause) {
  try {
    std::rethrow_exception(Cause);
  } catch (const std::exception &Error) {
    return Error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

static void writeTaskFailure(std::string_view Name, std::string_view Action,
                             const std::exception_ptr &Cause,
                             std::uint64_t Omitted) {
  logEvent(Severity::Error, "task-failed",
           {{"task", Name},
            {"cause", describe(Cause)},
            {"action", Action},
            {"omitted", static_cast<std::int64_t>(Omitted)}});
}

static std::optional<std::uint64_t> admitFailure(std::string_view Name) {
  static std::mutex Lock;
  static FailureLogLimits Limits;
  std::lock_guard Guard(Lock);
  return Limits.admit(Name, monotonicNow());
}

void logTaskFailure(std::string_view Name, std::string_view Action,
                    const std::exception_ptr &Cause) {
  if (std::optional<std::uint64_t> Omitted = admitFailure(Name))
    writeTaskFailure(Name, Action, Cause, *Omitted);
}

/// Logs the failure of a task that runs once.
static auto whenTaskEnds(std::string Name) {
  return [Name = std::move(Name)](const std::exception_ptr &Failure) {
    if (Failure)
      logTaskFailure(Name, "ended", Failure);
  };
}

void spawnTask(const asio::any_io_executor &Executor, std::string Name,
               TaskFunction Task) {
  asio::co_spawn(Executor, std::move(Task), whenTaskEnds(std::move(Name)));
}

void spawnTask(const asio::any_io_executor &Executor, std::string Name,
               asio::awaitable<void> Task) {
  asio::co_spawn(Executor, std::move(Task), whenTaskEnds(std::move(Name)));
}

static asio::awaitable<void> superviseLoop(std::string Name, TaskFunction Loop,
                                           LoopFailureOptions Options) {
  LoopFailures Failures(Options);
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  auto Token = asio::as_tuple(asio::use_awaitable);
  while (true) {
    TimePoint EnteredAt = monotonicNow();
    std::exception_ptr Failure;
    try {
      co_await Loop();
      co_return;
    } catch (...) {
      Failure = std::current_exception();
    }
    auto Pause = Failures.recordFailure(EnteredAt, monotonicNow());
    if (!Pause) {
      // No limit: it is the last line before the process ends.
      writeTaskFailure(Name, "given up", Failure,
                       admitFailure(Name).value_or(0));
      throw LoopGivenUp(Name + " fails each time: " + describe(Failure));
    }
    logTaskFailure(Name, "runs again", Failure);
    Timer.expires_after(*Pause);
    co_await Timer.async_wait(Token);
  }
}

void spawnLoop(const asio::any_io_executor &Executor, std::string Name,
               TaskFunction Loop, LoopFailureOptions Options) {
  asio::co_spawn(Executor,
                 superviseLoop(std::move(Name), std::move(Loop), Options),
                 [](const std::exception_ptr &Failure) {
                   if (Failure)
                     std::rethrow_exception(Failure);
                 });
}

void runContext(asio::io_context &Context) {
  while (true) {
    try {
      Context.run();
      return;
    } catch (const LoopGivenUp &) {
      throw;
    } catch (...) {
      logTaskFailure("handler", "ended", std::current_exception());
    }
  }
}

} // namespace carobhinge
