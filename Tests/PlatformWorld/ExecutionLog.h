//===- Tests/PlatformWorld/ExecutionLog.h - Executions at the endpoints ---===//
///
/// \file
/// The endpoints' side of the oracle: how often each attempt of a caller
/// started to run, and the violations that endpoints observed.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_EXECUTIONLOG_H
#define PLATFORMWORLD_EXECUTIONLOG_H

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace carobhinge {

/// Thread-safe.
class ExecutionLog {
public:
  void recordExecution(const std::string &AttemptId) {
    std::lock_guard Guard(this->Lock);
    ++this->Executions[AttemptId];
  }
  void reportViolation(std::string Violation) {
    std::lock_guard Guard(this->Lock);
    this->Violations.push_back(std::move(Violation));
  }
  [[nodiscard]] std::map<std::string, unsigned> executions() const {
    std::lock_guard Guard(this->Lock);
    return this->Executions;
  }
  [[nodiscard]] std::vector<std::string> violations() const {
    std::lock_guard Guard(this->Lock);
    return this->Violations;
  }

private:
  mutable std::mutex Lock;
  std::map<std::string, unsigned> Executions;
  std::vector<std::string> Violations;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_EXECUTIONLOG_H
