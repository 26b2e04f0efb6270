//===- LibRouting/RouterOptions.h - Policies and limits of a Router -------===//
///
/// \file
/// Each policy is chosen by name and stands beside the simplest baseline, so
/// that one program can measure both.
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

/// The names that choose a policy. An unknown one makes the Router's
/// constructor throw std::invalid_argument.
struct RouterPolicies {
  /// "fair" shares by workspace weight; baseline "fifo".
  std::string Admission = "fair";
  /// "prefix-affinity" or "two-choices"; baseline "round-robin".
  std::string Choice = "prefix-affinity";
  /// "estimate" refuses what cannot be in time; baseline "none" only drops
  /// from the queue what is already late.
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
  /// Weights of the workspaces; one that is not listed has weight 1.
  std::map<WorkspaceName, double> Weights = {};
  /// Requests that may wait, for each workspace and class.
  std::uint32_t QueueLimit = 500;
  /// Retries and resumes allowed for each new request sent to a target.
  double RetryShare = 0.2;
  /// Hedges allowed for each new request sent to a target.
  double HedgeShare = 0.05;
  /// Most attempts that either budget saves up.
  double BudgetBurst = 10;
  /// A summary older than this promises nothing.
  Duration SummaryLifetime = 3s;
  /// Share of a neighbour's spare slots that this entry host may fill. Others
  /// see the same spare slots: one over the number of entry hosts of a failure
  /// domain is safe.
  double SpareShare = 0.5;
  /// A neighbour that returns gets its full share only after this long.
  Duration SlowStart = 20s;
  /// A request that would wait longer than this is forwarded if it can be.
  Duration SpillWait = 500ms;
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTEROPTIONS_H
