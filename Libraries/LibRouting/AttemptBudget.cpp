//===- LibRouting/AttemptBudget.cpp - Budget of retries and hedges --------===//
///
/// \file
/// The token bucket and its two baselines.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/AttemptBudget.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <string>

namespace carobhinge {

namespace {

class TokenBucket final : public AttemptBudget {
public:
  TokenBucket(double Share, double Burst)
      : Share(Share), Burst(Burst), Tokens(Burst) {}

  void refill() override {
    this->Tokens = std::min(this->Burst, this->Tokens + this->Share);
  }

  bool tryConsume() override {
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    return true;
  }

  [[nodiscard]] double balance() const override { return this->Tokens; }

private:
  double Share;
  double Burst;
  /// Between zero and Burst.
  double Tokens;
};

class UnlimitedBudget final : public AttemptBudget {
public:
  void refill() override {}
  bool tryConsume() override { return true; }
  [[nodiscard]] double balance() const override {
    return std::numeric_limits<double>::infinity();
  }
};

class EmptyBudget final : public AttemptBudget {
public:
  void refill() override {}
  bool tryConsume() override { return false; }
  [[nodiscard]] double balance() const override { return 0; }
};

} // namespace

std::unique_ptr<AttemptBudget> makeAttemptBudget(std::string_view Name,
                                                 double Share, double Burst) {
  if (Name == "budgeted")
    return std::make_unique<TokenBucket>(Share, Burst);
  if (Name == "unlimited")
    return std::make_unique<UnlimitedBudget>();
  if (Name == "none")
    return std::make_unique<EmptyBudget>();
  throw std::invalid_argument("no attempt budget named " + std::string(Name));
}

} // namespace carobhinge
