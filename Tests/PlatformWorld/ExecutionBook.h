//===- Tests/PlatformWorld/ExecutionBook.h - What endpoints really ran ----===//
///
/// \file
/// The endpoints' side of the oracle: how often each attempt of a caller began
/// to run, and what endpoints met that they never should.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_EXECUTIONBOOK_H
#define PLATFORMWORLD_EXECUTIONBOOK_H

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace carobhinge {

/// Thread-safe.
class ExecutionBook {
public:
  void ran(const std::string &AttemptId) {
    std::lock_guard Guard(this->Lock);
    ++this->Runs[AttemptId];
  }
  void broken(std::string What) {
    std::lock_guard Guard(this->Lock);
    this->Broken.push_back(std::move(What));
  }
  [[nodiscard]] std::map<std::string, unsigned> runs() const {
    std::lock_guard Guard(this->Lock);
    return this->Runs;
  }
  [[nodiscard]] std::vector<std::string> broken() const {
    std::lock_guard Guard(this->Lock);
    return this->Broken;
  }

private:
  mutable std::mutex Lock;
  std::map<std::string, unsigned> Runs;
  std::vector<std::string> Broken;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_EXECUTIONBOOK_H
