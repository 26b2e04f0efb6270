//===- LibIntent/IntentInForce.cpp - The intent that a host acts on -------===//
///
/// \file
/// Versions, the freshness of the control quorum's word, and the hold.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentInForce.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <tuple>

namespace carobhinge {

std::string_view refusalName(DomainRefusal Refusal) {
  switch (Refusal) {
  case DomainRefusal::None:
    return "serving";
  case DomainRefusal::NotReady:
    return "not-ready";
  case DomainRefusal::Unreadable:
    return "unreadable-intent";
  case DomainRefusal::NotListed:
    return "not-listed";
  case DomainRefusal::Held:
    return "held";
  case DomainRefusal::Out:
    return "out";
  case DomainRefusal::CutOff:
    return "cut-off";
  }
  return "unknown";
}

IntentInForce::IntentInForce(InForceOptions Options)
    : Options(std::move(Options)) {}

bool IntentInForce::offer(std::uint64_t Version, std::string_view Text) {
  if (Version <= this->Version)
    return false;
  this->Version = Version;
  this->Text = Text;
  this->Digest = digest(Text);
  Findings Unreadable;
  this->Wanted = nullptr;
  if (std::optional<Intent> Read = parseIntent(Text, Unreadable))
    this->Wanted = std::make_shared<const Intent>(std::move(*Read));
  return true;
}

void IntentInForce::heardControl(TimePoint At) {
  if (!this->HeardAt || *this->HeardAt < At)
    this->HeardAt = At;
}

bool IntentInForce::cutOff(TimePoint Now) const {
  return !this->HeardAt || Now - *this->HeardAt > this->Options.CutOffAfter;
}

DomainRefusal IntentInForce::refusal(TimePoint Now) const {
  if (!this->Ready)
    return DomainRefusal::NotReady;
  if (!this->Wanted)
    return DomainRefusal::Unreadable;
  const FailureDomainSpec *Own =
      this->Wanted->findFailureDomain(this->Options.Domain);
  if (!Own)
    return DomainRefusal::NotListed;
  if (this->held())
    return DomainRefusal::Held;
  if (Own->Out)
    return DomainRefusal::Out;
  if (Own->CutOff == WhenCutOff::Refuse && this->cutOff(Now))
    return DomainRefusal::CutOff;
  return DomainRefusal::None;
}

bool IntentInForce::isOut(std::string_view Domain) const {
  if (!this->Wanted)
    return true;
  const FailureDomainSpec *Found = this->Wanted->findFailureDomain(Domain);
  return !Found || Found->Out;
}

bool IntentInForce::held() const {
  return this->Hold.held() && this->Version <= this->Hold.base_version();
}

bool IntentInForce::order(bool Held, std::string_view Operator,
                          std::int64_t StampMs) {
  if (!this->Ready)
    return false;
  this->Hold.set_sequence(this->Hold.sequence() + 1);
  this->Hold.set_held(Held);
  this->Hold.set_operator_name(std::string(Operator));
  this->Hold.set_stamp_ms(StampMs);
  this->Hold.set_base_version(this->Version);
  return true;
}

/// Later orders first; of orders given at once, the one that refuses work.
/// The rest only makes every host choose the same one.
static auto holdRank(const message::DomainHold &Hold) {
  return std::tuple(Hold.sequence(), Hold.held(), Hold.base_version(),
                    Hold.operator_name(), Hold.stamp_ms());
}

bool IntentInForce::mergeHold(const message::DomainHold &Other) {
  if (holdRank(Other) <= holdRank(this->Hold))
    return false;
  this->Hold = Other;
  return true;
}

} // namespace carobhinge
