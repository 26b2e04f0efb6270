//===- LibRouting/AttemptBudget.h - Budget of retries and hedges ----------===//
///
/// \file
/// Retries and hedges consume tokens of a bucket that new requests refill, so
/// that their number stays a share of the traffic whatever fails.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ATTEMPTBUDGET_H
#define LIBROUTING_ATTEMPTBUDGET_H

#include <memory>
#include <string_view>

namespace carobhinge {

class AttemptBudget {
public:
  virtual ~AttemptBudget() = default;

  /// Adds the allowance for a new request sent to a target.
  virtual void refill() = 0;
  /// Consumes one additional attempt. Returns false if the budget is used up.
  virtual bool tryConsume() = 0;
  /// Additional attempts that the budget allows now.
  [[nodiscard]] virtual double balance() const = 0;
};

/// "budgeted": at most \p Share additional attempts per new request sent, plus
/// \p Burst in total. "unlimited" and "none" are the baselines. Throws
/// std::invalid_argument for another name.
std::unique_ptr<AttemptBudget> makeAttemptBudget(std::string_view Name,
                                                 double Share, double Burst);

} // namespace carobhinge

#endif // LIBROUTING_ATTEMPTBUDGET_H
