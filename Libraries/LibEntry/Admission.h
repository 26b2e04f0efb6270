//===- LibEntry/Admission.h - Whether a request may be served -------------===//
///
/// \file
/// Decides by which catalog a request is admitted or refused. A host may hold
/// an older catalog than another one that the request, or an earlier one, came
/// by: it was suspended, or the change is still on its way. It must not decide
/// by that; least of all may it refuse for good what a newer catalog allows.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ADMISSION_H
#define LIBENTRY_ADMISSION_H

#include <cstdint>
#include <optional>

namespace carobhinge {

/// What a host knows of a request that has arrived.
struct AdmissionFacts {
  /// The catalog of this host; nothing if it knows none.
  std::optional<std::uint64_t> CatalogVersion = {};
  /// The newest catalog that a decision for this host's callers, or for the
  /// host that handed the request on, was made by.
  std::uint64_t RequiredVersion = 0;
  /// The confirmation lease is valid; at most half of it has passed.
  bool IsStateConfirmed = false;
  bool IsConfirmationFresh = false;
  bool HasRoute = false;
  bool RequiresKey = false;
  bool HasKnownKey = false;
};

enum class Admission {
  Admitted,
  /// Refused for now; another host, or this one soon, may serve the request.
  NoCatalog,
  CatalogOutdated,
  StateUnconfirmed,
  /// Refused for good.
  UnknownRoute,
  UnknownKey,
};

Admission decideAdmission(const AdmissionFacts &Facts);

/// The answer of an entry host that a request was handed on to.
struct PeerAnswer {
  unsigned Status = 0;
  /// An endpoint wrote it.
  bool IsSigned = false;
  /// The catalog that the peer decided by; 0 if it names none, as in earlier
  /// builds.
  std::uint64_t CatalogVersion = 0;
};

/// \returns whether the peer has refused for good, by a catalog no newer than
/// \p OwnVersion, what was admitted by that one. The request has not run.
bool isRefusedByOlderCatalog(const PeerAnswer &Answer,
                             std::uint64_t OwnVersion);

} // namespace carobhinge

#endif // LIBENTRY_ADMISSION_H
