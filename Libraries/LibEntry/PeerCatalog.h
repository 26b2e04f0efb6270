//===- LibEntry/PeerCatalog.h - Newest catalog seen at another host -------===//
///
/// \file
/// The newest version of the catalog by which another entry host is known to
/// have decided. It binds this host until a majority of the control hosts has
/// confirmed, later than that was seen, that the state applied here is the
/// newest: then the version is applied, or it was not a true one.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_PEERCATALOG_H
#define LIBENTRY_PEERCATALOG_H

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace carobhinge {

class PeerCatalog {
public:
  /// An answer of another entry host named \p SeenVersion; 0: none.
  void record(TimePoint Now, std::uint64_t SeenVersion) {
    if (SeenVersion <= this->Version)
      return;
    this->Version = SeenVersion;
    this->SeenAt = Now;
  }

  /// \returns the version that a decision needs at least. \p ConfirmationAge is
  /// the time since the newest valid confirmation was requested.
  [[nodiscard]] std::uint64_t
  requiredVersion(TimePoint Now,
                  std::optional<Duration> ConfirmationAge) const {
    bool IsConfirmedSince =
        ConfirmationAge && Now - *ConfirmationAge > this->SeenAt;
    return IsConfirmedSince ? 0 : this->Version;
  }

private:
  std::uint64_t Version = 0;
  TimePoint SeenAt = TimePoint::min();
};

} // namespace carobhinge

#endif // LIBENTRY_PEERCATALOG_H
