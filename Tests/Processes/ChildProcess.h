//===- Tests/Processes/ChildProcess.h - A process started by a test -------===//
///
/// \file
/// Starts a binary, sends it signals and kills it at the latest on destruction.
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
  /// Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Makes SIGTERM, SIGINT and SIGHUP kill all children before this process
  /// ends, so that an interrupted run leaves no processes behind.
  static void killAllWhenInterrupted();

  void signal(int Number) const;
  /// Waits for the end of the process. Returns its exit code, or the negative
  /// signal number if a signal ended it; empty if \p Limit has passed.
  std::optional<int> wait(std::chrono::milliseconds Limit);
  [[nodiscard]] bool running();

  /// Resources used by a running process so far; zeros if it is not running.
  struct ResourceUsage {
    double ProcessorSeconds = 0;
    double ResidentMegabytes = 0;
  };
  [[nodiscard]] ResourceUsage resourceUsage() const;

private:
  bool reap();

  pid_t Id = -1;
  /// Set once the process has ended. Its id may then belong to another process.
  std::optional<int> ExitStatus;
};

} // namespace carobhinge

#endif // PROCESSES_CHILDPROCESS_H
