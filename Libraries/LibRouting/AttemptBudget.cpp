//===- LibRouting/AttemptBudget.cpp - How many further attempts are allowed
//===//
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

  void earn() override {
    this->Tokens = std::min(this->Burst, this->Tokens + this->Share);
  }

  bool spend() override {
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

class Unlimited final : public AttemptBudget {
public:
  void earn() override {}
  bool spend() override { return true; }
  [[nodiscard]] double balance() const override {
    return std::numeric_limits<double>::infinity();
  }
};

class NoAttempts final : public AttemptBudget {
public:
  void earn() override {}
  bool spend() override { return false; }
  [[nodiscard]] double balance() const override { return 0; }
};

} // namespace

std::unique_ptr<AttemptBudget> makeAttemptBudget(std::string_view Name,
                                                 double Share, double Burst) {
  if (Name == "budgeted")
    return std::make_unique<TokenBucket>(Share, Burst);
  if (Name == "unlimited")
    return std::make_unique<Unlimited>();
  if (Name == "none")
    return std::make_unique<NoAttempts>();
  throw std::invalid_argument("no attempt budget named " + std::string(Name));
}

} // namespace carobhinge
