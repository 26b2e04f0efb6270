//===- Tests/Processes/ChildProcess.h - A process that a test started -----===//
///
/// \file
/// Starts the product's binary and ends it by its process id.
///
//===----------------------------------------------------------------------===//

#ifndef PROCESSES_CHILDPROCESS_H
#define PROCESSES_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace carobhinge {

class ChildProcess {
public:
  /// Standard output and error go to the file \p Log.
  ChildProcess(const std::string &Binary, std::vector<std::string> Arguments,
               const std::string &Log);
  /// Kills a process that still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Makes SIGTERM, SIGINT and SIGHUP kill every child before this process
  /// ends, so that an interrupted run leaves none behind.
  static void killAllWhenInterrupted();

  void signal(int Number) const;
  /// The exit code, or minus the signal's number; empty after the time.
  std::optional<int> wait(std::chrono::milliseconds AtMost);
  [[nodiscard]] bool running();

  /// What a running process has used so far; zeros if it does not run.
  struct Use {
    double ProcessorSeconds = 0;
    double ResidentMegabytes = 0;
  };
  [[nodiscard]] Use use() const;

private:
  bool reap();

  pid_t Id = -1;
  /// Set once the process has ended; its id may belong to another one then.
  std::optional<int> Ended;
};

} // namespace carobhinge

#endif // PROCESSES_CHILDPROCESS_H
