//===- LibEntry/ConfirmationLease.h - How old the known state may be ------===//
///
/// \file
/// A key that was taken away must stop working also at an entry host that is
/// cut off. So a host serves requests with keys only while a majority of the
/// control hosts has confirmed its state recently, counted from the moment at
/// which it asked, on a clock that goes on while the host is suspended.
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

  /// A majority confirmed, for a question asked at \p AskedAt, that nothing
  /// newer than \p Revision was accepted before.
  void confirmed(TimePoint AskedAt, std::uint64_t Revision) {
    if (Revision <= this->Held)
      this->renew(AskedAt);
    else if (!this->Pending || this->Pending->Revision <= Revision)
      this->Pending = {.AskedAt = AskedAt, .Revision = Revision};
  }

  /// This host has put \p Revision in force.
  void applied(std::uint64_t Revision) {
    if (Revision > this->Held)
      this->Held = Revision;
    if (this->Pending && this->Pending->Revision <= this->Held) {
      this->renew(this->Pending->AskedAt);
      this->Pending.reset();
    }
  }

  /// Time since the last confirmation was asked for; nothing if there is none.
  [[nodiscard]] std::optional<Duration> age(TimePoint Now) const {
    if (!this->Since)
      return std::nullopt;
    return Now - *this->Since;
  }
  [[nodiscard]] bool holds(TimePoint Now) const {
    return this->Since && Now - *this->Since < this->Length;
  }

private:
  struct Confirmation {
    TimePoint AskedAt;
    std::uint64_t Revision = 0;
  };

  void renew(TimePoint AskedAt) {
    if (!this->Since || AskedAt > *this->Since)
      this->Since = AskedAt;
  }

  Duration Length;
  /// The newest revision in force at this host.
  std::uint64_t Held = 0;
  /// Waits for its revision.
  std::optional<Confirmation> Pending;
  std::optional<TimePoint> Since;
};

} // namespace carobhinge

#endif // LIBENTRY_CONFIRMATIONLEASE_H
