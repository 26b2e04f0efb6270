//===- LibRouting/DeadlinePolicy.cpp - Whether an answer can be in time ---===//
///
/// \file
/// The estimate and its baseline.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/DeadlinePolicy.h>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace carobhinge {

/// After a wait this many times the mean service time is left for the service,
/// so that longer answers than the mean are in time as well.
static constexpr double ServiceMargin = 2;

namespace {

class Estimate final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(const RoutedRequest &Request,
                                      Duration Service) const override {
    std::int64_t Reserved = static_cast<std::int64_t>(
        static_cast<double>(Service.count()) * ServiceMargin);
    // A deadline too short for the margin is kept if there is no wait.
    TimePoint AtOnce = std::min(Request.ArrivedAt, Request.Deadline - Service);
    return std::max(AtOnce, Request.Deadline - Duration(Reserved));
  }
  [[nodiscard]] Duration countedWait(Duration Wait) const override {
    return Wait;
  }
};

class OnlyPassed final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(const RoutedRequest &Request,
                                      Duration /*Service*/) const override {
    return Request.Deadline;
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
