//===- LibIntent/IntentInForce.cpp - The intent that a host acts on -------===//
///
/// \file
/// Tracks the version, the last confirmation by the control quorum and the
/// hold.
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
  case DomainRefusal::Drained:
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
  Findings Faults;
  this->CurrentIntent = nullptr;
  if (std::optional<Intent> ParsedIntent = parseIntent(Text, Faults))
    this->CurrentIntent =
        std::make_shared<const Intent>(std::move(*ParsedIntent));
  return true;
}

void IntentInForce::recordControlConfirmation(TimePoint ConfirmedAt) {
  if (!this->ControlConfirmedAt || *this->ControlConfirmedAt < ConfirmedAt)
    this->ControlConfirmedAt = ConfirmedAt;
}

bool IntentInForce::cutOff(TimePoint Now) const {
  return !this->ControlConfirmedAt ||
         Now - *this->ControlConfirmedAt > this->Options.CutOffAfter;
}

DomainRefusal IntentInForce::refusal(TimePoint Now) const {
  if (!this->Ready)
    return DomainRefusal::NotReady;
  if (!this->CurrentIntent)
    return DomainRefusal::Unreadable;
  const FailureDomainSpec *DomainSpec =
      this->CurrentIntent->findFailureDomain(this->Options.Domain);
  if (!DomainSpec)
    return DomainRefusal::NotListed;
  if (this->held())
    return DomainRefusal::Held;
  if (DomainSpec->Drained)
    return DomainRefusal::Drained;
  if (DomainSpec->CutOff == CutOffRule::Refuse && this->cutOff(Now))
    return DomainRefusal::CutOff;
  return DomainRefusal::None;
}

bool IntentInForce::isDrained(std::string_view Domain) const {
  if (!this->CurrentIntent)
    return true;
  const FailureDomainSpec *Found =
      this->CurrentIntent->findFailureDomain(Domain);
  return !Found || Found->Drained;
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

/// Sort key that ranks later orders higher and, among concurrent orders, the
/// one that refuses work. The other fields only break ties, so that every host
/// chooses the same order.
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
