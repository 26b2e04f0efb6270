//===- LibEntry/ConfirmationLease.h - Bounds the age of the applied state -===//
///
/// \file
/// A revoked key must stop working also at an entry host that is partitioned
/// from the control hosts. So an entry host serves requests with keys only
/// while a majority of the control hosts has confirmed its state recently. The
/// age counts from the moment at which the confirmation was requested, on a
/// clock that continues while the host is suspended.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_CONFIRMATIONLEASE_H
#define LIBENTRY_CONFIRMATIONLEASE_H

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace carobhinge {

class ConfirmationLease {
public:
  explicit ConfirmationLease(Duration Length) : Length(Length) {}

  /// A majority confirmed, for a request sent at \p RequestedAt, that \p
  /// Revision was the newest accepted one. Renews the lease once this host has
  /// applied that revision.
  void recordConfirmation(TimePoint RequestedAt, std::uint64_t Revision) {
    if (Revision <= this->AppliedRevision)
      this->renew(RequestedAt);
    else if (!this->Pending || this->Pending->Revision <= Revision)
      this->Pending = {.RequestedAt = RequestedAt, .Revision = Revision};
  }

  /// This host has applied \p Revision.
  void recordApplied(std::uint64_t Revision) {
    if (Revision > this->AppliedRevision)
      this->AppliedRevision = Revision;
    if (this->Pending && this->Pending->Revision <= this->AppliedRevision) {
      this->renew(this->Pending->RequestedAt);
      this->Pending.reset();
    }
  }

  /// Time since the newest valid confirmation was requested; empty if there
  /// is none.
  [[nodiscard]] std::optional<Duration> age(TimePoint Now) const {
    if (!this->RenewedAt)
      return std::nullopt;
    return Now - *this->RenewedAt;
  }
  [[nodiscard]] bool isValid(TimePoint Now) const {
    return this->RenewedAt && Now - *this->RenewedAt < this->Length;
  }

  /// \returns whether at most half of the lease has passed.
  [[nodiscard]] bool isFresh(TimePoint Now) const {
    return this->RenewedAt && Now - *this->RenewedAt <= this->Length / 2;
  }

private:
  struct Confirmation {
    TimePoint RequestedAt;
    std::uint64_t Revision = 0;
  };

  void renew(TimePoint RequestedAt) {
    if (!this->RenewedAt || RequestedAt > *this->RenewedAt)
      this->RenewedAt = RequestedAt;
  }

  Duration Length;
  /// The newest revision that this host has applied.
  std::uint64_t AppliedRevision = 0;
  /// Confirmation of a revision that this host has not applied yet.
  std::optional<Confirmation> Pending;
  /// When the newest valid confirmation was requested.
  std::optional<TimePoint> RenewedAt;
};

} // namespace carobhinge

#endif // LIBENTRY_CONFIRMATIONLEASE_H
