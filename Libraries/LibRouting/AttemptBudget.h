//===- LibRouting/AttemptBudget.h - How many further attempts are allowed -===//
///
/// \file
/// Retries and hedges are paid from a token bucket that new requests fill, so
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

  /// A new request was sent to a target.
  virtual void earn() = 0;
  /// Takes one further attempt from the budget, or refuses it.
  virtual bool spend() = 0;
  /// Further attempts that could be had now.
  [[nodiscard]] virtual double balance() const = 0;
};

/// "budgeted": over any number of new requests sent, at most \p Share of them
/// plus \p Burst. "unlimited" and "none" are the baselines. Throws
/// std::invalid_argument for another name.
std::unique_ptr<AttemptBudget> makeAttemptBudget(std::string_view Name,
                                                 double Share, double Burst);

} // namespace carobhinge

#endif // LIBROUTING_ATTEMPTBUDGET_H
