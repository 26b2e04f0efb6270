//===- LibTelemetry/Supervision.h - Tasks whose failures are handled ------===//
///
/// \file
/// What becomes of an exception that leaves a task: it is logged as
/// `task-failed`, and the process goes on.
///
/// - A loop (spawnLoop) is entered again after a pause. If it fails each time
///   for long, LoopGivenUp leaves the context and ends the process.
/// - A task that runs once (spawnTask) ends. What it must undo in any case it
///   undoes in a destructor, see ResetOnExit.
/// - A handler of the context (runContext) ends; the context runs on.
///
/// Asio's `detached` drops the exception of a coroutine, and an exception of a
/// handler leaves io_context::run(); neither is used for work of the processes.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_SUPERVISION_H
#define LIBTELEMETRY_SUPERVISION_H

#include <LibCore/FailureLimits.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobhinge {

/// Thrown if a loop fails each time it is entered; what() names the loop and
/// the cause.
class LoopGivenUp : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using TaskFunction = std::function<boost::asio::awaitable<void>()>;

/// Runs \p Task once on \p Executor. \p Name is for the log.
void spawnTask(const boost::asio::any_io_executor &Executor, std::string Name,
               TaskFunction Task);
/// The same for a coroutine that has been created.
void spawnTask(const boost::asio::any_io_executor &Executor, std::string Name,
               boost::asio::awaitable<void> Task);

/// Runs \p Loop on \p Executor and enters it again whenever it fails, until it
/// returns.
void spawnLoop(const boost::asio::any_io_executor &Executor, std::string Name,
               TaskFunction Loop, LoopFailureOptions Options = {});

/// Runs \p Context until it is stopped. \throws LoopGivenUp
void runContext(boost::asio::io_context &Context);

/// Logs that the task \p Name failed with \p Cause. Lines beyond a bounded rate
/// for each task are omitted and counted.
void logTaskFailure(std::string_view Name, std::string_view Action,
                    const std::exception_ptr &Cause);

/// Initially false. Its value lives until all guards that reset it are gone: a
/// context destroys its suspended tasks after the objects that started them.
class SharedFlag {
public:
  SharedFlag() = default;
  SharedFlag(const SharedFlag &) = delete;
  SharedFlag &operator=(const SharedFlag &) = delete;
  SharedFlag &operator=(bool NewValue) {
    *this->Value = NewValue;
    return *this;
  }
  operator bool() const { return *this->Value; }

private:
  friend class ResetOnExit;

  std::shared_ptr<bool> Value = std::make_shared<bool>(false);
};

/// Sets a flag to false on destruction, also if the task that owns it fails.
class ResetOnExit {
public:
  explicit ResetOnExit(const SharedFlag &Flag) : Value(Flag.Value) {}
  ~ResetOnExit() { *this->Value = false; }
  ResetOnExit(const ResetOnExit &) = delete;
  ResetOnExit &operator=(const ResetOnExit &) = delete;

private:
  std::shared_ptr<bool> Value;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_SUPERVISION_H
