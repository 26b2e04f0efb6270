//===- LibFleet/EndpointLifecycle.h - State machine of one endpoint -------===//
///
/// \file
/// The states of an endpoint as one entry host derives them from the endpoint's
/// announcements. The transition table is in the .cpp.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ENDPOINTLIFECYCLE_H
#define LIBFLEET_ENDPOINTLIFECYCLE_H

#include <LibFleet/Announcement.h>
#include <memory>

namespace carobhinge {

enum class EndpointState : std::uint8_t {
  /// Accepts no requests yet.
  Starting,
  /// Accepts requests within its warm-up budget.
  Cold,
  Warm,
  /// Finishes its running requests and gets no new ones.
  Leaving,
  /// Its last announcement has expired.
  Expired,
};

/// A state machine driven by announcements and their expiry.
class EndpointLifecycle {
public:
  EndpointLifecycle();
  ~EndpointLifecycle();
  EndpointLifecycle(EndpointLifecycle &&) noexcept;
  EndpointLifecycle &operator=(EndpointLifecycle &&) noexcept;

  /// \p NewAnnouncement must be newer than the previous announcement.
  void handleAnnouncement(TimePoint Now, const Announcement &NewAnnouncement);
  void handleExpiry();

  [[nodiscard]] EndpointState state() const;
  /// When it last became cold. Only meaningful in the state Cold.
  [[nodiscard]] TimePoint coldSince() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace carobhinge

#endif // LIBFLEET_ENDPOINTLIFECYCLE_H
