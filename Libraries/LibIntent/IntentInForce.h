//===- LibIntent/IntentInForce.h - The intent that a host acts on ---------===//
///
/// \file
/// Holds the newest version that this host has seen and says whether its
/// failure domain takes new work. Two wishes clash in a failure domain that
/// is cut off before it was taken out: out must mean out, and a domain that
/// is cut off must go on serving. The operators choose in advance, domain by
/// domain, by when_cut_off; and an operator who reaches any entry host of the
/// domain can hold it there, as refusing work is always safe.
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

/// Why a host's failure domain takes no new work.
enum class DomainRefusal {
  /// New work is taken.
  None,
  /// The host restarted and does not know yet what is in force.
  NotReady,
  /// The accepted text was written for a newer release than this one.
  Unreadable,
  /// The text does not list this failure domain.
  NotListed,
  /// An operator holds the domain on the spot.
  Held,
  /// The intent takes the domain out.
  Out,
  /// No control quorum is heard and the intent says to refuse then.
  CutOff
};

/// The word for a refusal in answers, status and logs.
std::string_view refusalName(DomainRefusal Refusal);

struct InForceOptions {
  FailureDomainName Domain;
  /// Silence of the control quorum after which the domain is cut off.
  Duration CutOffAfter = std::chrono::seconds(10);
};

/// Not thread-safe.
class IntentInForce {
public:
  explicit IntentInForce(InForceOptions Options);

  /// Puts an accepted text in force if it is newer than all before; false if
  /// it is not. What arrives late, twice or out of order changes nothing.
  bool offer(std::uint64_t Version, std::string_view Text);

  /// The host may act on what it has: nothing newer was in force on it before.
  void markReady() { this->Ready = true; }
  [[nodiscard]] bool ready() const { return this->Ready; }

  /// Zero before the first offer.
  [[nodiscard]] std::uint64_t version() const { return this->Version; }
  [[nodiscard]] const std::string &textDigest() const { return this->Digest; }
  [[nodiscard]] const std::string &text() const { return this->Text; }
  /// Null before the first offer and if unreadable. Callers keep it while they
  /// work on one request, so that a change never meets it half-way.
  [[nodiscard]] std::shared_ptr<const Intent> intent() const {
    return this->Wanted;
  }

  /// All versions accepted before \p At had been taken into account in what
  /// was offered here.
  void heardControl(TimePoint At);
  [[nodiscard]] std::optional<TimePoint> heardControlAt() const {
    return this->HeardAt;
  }
  [[nodiscard]] bool cutOff(TimePoint Now) const;

  /// Whether this host's failure domain takes new work.
  [[nodiscard]] DomainRefusal refusal(TimePoint Now) const;
  /// Whether the intent takes \p Domain out or does not list it.
  [[nodiscard]] bool isOut(std::string_view Domain) const;

  /// An operator's order on the spot. Only a ready host takes one, as another
  /// cannot know whether it is the latest; it refuses work anyway. False if
  /// not taken.
  bool order(bool Held, std::string_view Operator, std::int64_t StampMs);
  /// Takes over another host's order if it is later; true if so.
  bool mergeHold(const message::DomainHold &Other);
  [[nodiscard]] const message::DomainHold &hold() const { return this->Hold; }
  [[nodiscard]] bool held() const;

private:
  InForceOptions Options;
  /// Never falls.
  std::uint64_t Version = 0;
  std::string Digest;
  std::string Text;
  std::shared_ptr<const Intent> Wanted;
  bool Ready = false;
  /// Never falls.
  std::optional<TimePoint> HeardAt;
  message::DomainHold Hold;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTINFORCE_H
