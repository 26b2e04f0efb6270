//===- LibRouting/RouterOptions.h - Policies and limits of a Router -------===//
///
/// \file
/// Each policy is selected by name. Each has a simple baseline, so that one
/// program can measure both.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTEROPTIONS_H
#define LIBROUTING_ROUTEROPTIONS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <string>

namespace carobhinge {

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Policies by name. The Router's constructor throws std::invalid_argument for
/// an unknown name.
struct RouterPolicies {
  /// "fair" shares by workspace weight; baseline "fifo".
  std::string Admission = "fair";
  /// "prefix-affinity" or "two-choices"; baseline "round-robin".
  std::string Choice = "prefix-affinity";
  /// "estimate" refuses requests that are not expected to meet their deadline;
  /// baseline "none" only drops queued requests whose deadline has passed.
  std::string Deadlines = "estimate";
  /// "budgeted"; baseline "unlimited".
  std::string Retries = "budgeted";
  /// "budgeted"; baseline "none".
  std::string Hedges = "budgeted";
  /// "peer-mean"; baseline "none".
  std::string Stragglers = "peer-mean";
  /// "spare-capacity"; baseline "none".
  std::string Spillover = "spare-capacity";
};

struct RouterOptions {
  ServiceName Service = {};
  FailureDomainName FailureDomain = {};
  std::uint64_t Seed = 1;
  RouterPolicies Policies = {};
  /// Weights by workspace; a workspace that is not listed has weight 1.
  std::map<WorkspaceName, double> Weights = {};
  /// Maximum number of queued requests per workspace and class.
  std::uint32_t QueueLimit = 500;
  /// Retries and resumes allowed per new request sent to a target.
  double RetryShare = 0.2;
  /// Hedges allowed per new request sent to a target.
  double HedgeShare = 0.05;
  /// Maximum number of attempts that each budget can accumulate.
  double BudgetBurst = 10;
  /// A summary older than this is ignored.
  Duration SummaryLifetime = 3s;
  /// Share of another failure domain's spare slots that this entry host may
  /// use. Other entry hosts receive the same summary, so one divided by the
  /// number of entry hosts of a failure domain is safe.
  double SpareShare = 0.5;
  /// Time over which a failure domain that becomes available again is ramped up
  /// to its full share.
  Duration SlowStart = 20s;
  /// A request with a longer expected wait is forwarded if possible.
  Duration SpilloverThreshold = 500ms;
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTEROPTIONS_H
