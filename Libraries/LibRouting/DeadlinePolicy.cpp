//===- LibRouting/DeadlinePolicy.cpp - Whether an answer can be in time ---===//
///
/// \file
/// The estimate and its baseline.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/DeadlinePolicy.h>

#include <stdexcept>
#include <string>

namespace carobhinge {

namespace {

class Estimate final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(TimePoint Deadline,
                                      Duration Service) const override {
    return Deadline - Service;
  }
  [[nodiscard]] Duration countedWait(Duration Wait) const override {
    return Wait;
  }
};

class OnlyPassed final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(TimePoint Deadline,
                                      Duration /*Service*/) const override {
    return Deadline;
  }
  [[nodiscard]] Duration countedWait(Duration /*Wait*/) const override {
    return Duration::zero();
  }
};

} // namespace

std::unique_ptr<DeadlinePolicy> makeDeadlinePolicy(std::string_view Name) {
  if (Name == "estimate")
    return std::make_unique<Estimate>();
  if (Name == "none")
    return std::make_unique<OnlyPassed>();
  throw std::invalid_argument("no deadline policy named " + std::string(Name));
}

} // namespace carobhinge
