//===- Carobhinge/ProcessStart.h - The start of a process -----------------===//
///
/// \file
/// Waits for what the predecessor of a process may still hold, and handles the
/// signals that end the process from its start to its end.
///
//===----------------------------------------------------------------------===//

#ifndef CAROBHINGE_PROCESSSTART_H
#define CAROBHINGE_PROCESSSTART_H

#include <LibCore/BoundedRetry.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace carobhinge {

/// Waits while the settings file \p Path is being written: while it is empty,
/// or its JSON text ends early. Gives up after a bounded time.
void waitForSettings(const std::string &Path);

/// Returns whether \p Error tells of a data folder that cannot be used.
bool isDataFolderFailure(const std::exception &Error);

/// Used by the thread that starts the process. Owns the context of the process
/// and must outlive what uses it.
class ProcessStart {
public:
  /// From now on SIGTERM and SIGINT ask for a stop. \p Threads will run the
  /// context; \p Limit bounds the wait.
  ProcessStart(int Threads, Duration Limit);
  /// Stop signals that come from now on are blocked: the process ends anyway.
  ~ProcessStart();
  ProcessStart(const ProcessStart &) = delete;
  ProcessStart &operator=(const ProcessStart &) = delete;

  /// Calls \p Construct once nobody listens on \p Addresses; again, with
  /// another context, if an address or the data folder is taken then.
  /// \returns false if a stop was requested before that. \throws AddressError
  /// or DataFolderError once the limit has passed, and whatever else
  /// \p Construct throws.
  bool run(std::span<const std::string> Addresses,
           const std::function<void(boost::asio::io_context &)> &Construct);

  /// The context with which the process was constructed, once run() has
  /// returned true.
  [[nodiscard]] boost::asio::io_context &context() { return *this->Context; }

  /// Calls \p Handler once a stop is requested; if that was before, as soon as
  /// the context runs. Only after run() has returned true.
  void whenStopped(std::function<void()> Handler);

private:
  /// \returns false if the limit has passed.
  bool pauseAfter(const std::string &Cause);
  /// Makes \p Constructed the context of the process.
  void adopt(std::unique_ptr<boost::asio::io_context> Constructed);
  /// Without a handler, a signal stops \p Target.
  void awaitSignal(boost::asio::signal_set &Signals,
                   boost::asio::io_context &Target);

  int Threads;
  /// Runs in the pauses only.
  boost::asio::io_context WaitContext{1};
  boost::asio::signal_set WaitSignals;
  std::unique_ptr<boost::asio::io_context> Context;
  std::optional<boost::asio::signal_set> StopSignals;
  BoundedRetry Retry;
  std::function<void()> StopHandler;
  bool StopRequested = false;
  bool WaitLogged = false;
};

} // namespace carobhinge

#endif // CAROBHINGE_PROCESSSTART_H
