//===- LibRouting/DeadlinePolicy.cpp - Refuses late requests --------------===//
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

/// A request that was queued must start this many mean service times before its
/// deadline, so that answers longer than the mean are in time as well.
static constexpr double ServiceMargin = 2;

namespace {

class EstimatePolicy final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(const RoutedRequest &Request,
                                      Duration Service) const override {
    std::int64_t Reserved = static_cast<std::int64_t>(
        static_cast<double>(Service.count()) * ServiceMargin);
    // A request whose deadline is too short for the margin is still accepted if
    // it can start on arrival.
    TimePoint ImmediateStart =
        std::min(Request.ArrivedAt, Request.Deadline - Service);
    return std::max(ImmediateStart, Request.Deadline - Duration(Reserved));
  }
  [[nodiscard]] Duration effectiveWait(Duration Wait) const override {
    return Wait;
  }
};

class ExpiryPolicy final : public DeadlinePolicy {
public:
  [[nodiscard]] TimePoint latestStart(const RoutedRequest &Request,
                                      Duration /*Service*/) const override {
    return Request.Deadline;
  }
  [[nodiscard]] Duration effectiveWait(Duration /*Wait*/) const override {
    return Duration::zero();
  }
};

} // namespace

std::unique_ptr<DeadlinePolicy> makeDeadlinePolicy(std::string_view Name) {
  if (Name == "estimate")
    return std::make_unique<EstimatePolicy>();
  if (Name == "none")
    return std::make_unique<ExpiryPolicy>();
  throw std::invalid_argument("no deadline policy named " + std::string(Name));
}

} // namespace carobhinge
