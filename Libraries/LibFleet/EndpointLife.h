//===- LibFleet/EndpointLife.h - The life of one endpoint -----------------===//
///
/// \file
/// The states that an endpoint passes through as one entry host sees it. The
/// transition table is in the .cpp.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ENDPOINTLIFE_H
#define LIBFLEET_ENDPOINTLIFE_H

#include <LibFleet/Announcement.h>
#include <memory>

namespace carobhinge {

enum class EndpointState : std::uint8_t {
  /// Takes no requests yet.
  Starting,
  /// Takes requests within its warm-up budget.
  Cold,
  Warm,
  /// Finishes what runs; gets nothing new.
  Leaving,
  /// Its last announcement has run out.
  Silent,
};

/// A state machine fed with announcements and with their expiry.
class EndpointLife {
public:
  EndpointLife();
  ~EndpointLife();
  EndpointLife(EndpointLife &&) noexcept;
  EndpointLife &operator=(EndpointLife &&) noexcept;

  /// \p Said must be newer than what was announced before.
  void announced(TimePoint Now, const Announcement &Said);
  void expired();

  [[nodiscard]] EndpointState state() const;
  /// When it last became cold. Means something while it is cold.
  [[nodiscard]] TimePoint coldSince() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace carobhinge

#endif // LIBFLEET_ENDPOINTLIFE_H
