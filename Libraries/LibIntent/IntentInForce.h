//===- LibIntent/IntentInForce.h - The intent that a host acts on ---------===//
///
/// \file
/// Holds the newest version that this host has received and decides whether its
/// failure domain accepts new work. Two requirements conflict if a failure
/// domain is cut off before it was drained: a drained domain must not serve,
/// and a domain that is cut off must continue to serve. Operators choose in
/// advance for each domain with when_cut_off. In addition, an operator who can
/// reach any entry host of the domain can put the domain on hold there, as
/// refusing work is always safe.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTINFORCE_H
#define LIBINTENT_INTENTINFORCE_H

#include <LibCore/Time.h>
#include <LibIntent/Intent.h>
#include <LibIntent/Intent.pb.h>
#include <memory>
#include <string>

namespace carobhinge {

/// Why a host's failure domain accepts no new work.
enum class DomainRefusal {
  /// New work is accepted.
  None,
  /// The host has restarted and has not yet determined the version in force.
  NotReady,
  /// The accepted text was written for a newer release than this one.
  Unreadable,
  /// The text does not list this failure domain.
  NotListed,
  /// An operator has put the domain on hold through one of its hosts.
  Held,
  /// The domain is drained by the intent.
  Drained,
  /// The domain is cut off from the control quorum and the intent requires it
  /// to refuse work in this case.
  CutOff
};

/// The name of a refusal in answers, status and logs.
std::string_view refusalName(DomainRefusal Refusal);

struct InForceOptions {
  FailureDomainName Domain;
  /// Time without a confirmation by the control quorum after which the domain
  /// counts as cut off.
  Duration CutOffAfter = std::chrono::seconds(10);
};

/// Not thread-safe.
class IntentInForce {
public:
  explicit IntentInForce(InForceOptions Options);

  /// Puts an accepted text in force if it is newer than the current version;
  /// otherwise returns false. Texts that arrive late, twice or out of order
  /// change nothing.
  bool offer(std::uint64_t Version, std::string_view Text);

  /// Marks the host ready to act on the current version: nothing newer was in
  /// force on it before its restart.
  void markReady() { this->Ready = true; }
  [[nodiscard]] bool ready() const { return this->Ready; }

  /// Zero before the first offer.
  [[nodiscard]] std::uint64_t version() const { return this->Version; }
  [[nodiscard]] const std::string &textDigest() const { return this->Digest; }
  [[nodiscard]] const std::string &text() const { return this->Text; }
  /// Null before the first offer and if unreadable. Callers keep the pointer
  /// while they handle one request, so that the whole request is handled with
  /// the same version.
  [[nodiscard]] std::shared_ptr<const Intent> intent() const {
    return this->CurrentIntent;
  }

  /// Records a confirmation by the control quorum: every version accepted
  /// before \p ConfirmedAt is covered by the versions offered so far.
  void recordControlConfirmation(TimePoint ConfirmedAt);
  [[nodiscard]] std::optional<TimePoint> controlConfirmedAt() const {
    return this->ControlConfirmedAt;
  }
  [[nodiscard]] bool cutOff(TimePoint Now) const;

  /// Why this host's failure domain accepts no new work; None if it does.
  [[nodiscard]] DomainRefusal refusal(TimePoint Now) const;
  /// Returns whether \p Domain is drained by the intent or not listed in it.
  /// True for every domain if there is no readable intent.
  [[nodiscard]] bool isDrained(std::string_view Domain) const;

  /// Applies an operator's order given to this host. Returns false if the host
  /// is not ready: it cannot determine whether the order is the latest,
  /// and it refuses work anyway.
  bool order(bool Held, std::string_view Operator, std::int64_t StampMs);
  /// Adopts another host's order if it is later, and returns whether it did.
  bool mergeHold(const message::DomainHold &Other);
  [[nodiscard]] const message::DomainHold &hold() const { return this->Hold; }
  [[nodiscard]] bool held() const;

private:
  InForceOptions Options;
  /// Never decreases.
  std::uint64_t Version = 0;
  std::string Digest;
  std::string Text;
  std::shared_ptr<const Intent> CurrentIntent;
  bool Ready = false;
  /// Never decreases.
  std::optional<TimePoint> ControlConfirmedAt;
  message::DomainHold Hold;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTINFORCE_H
