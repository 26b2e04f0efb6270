//===- LibEntry/Admission.cpp - Whether a request may be served -----------===//

#include <LibEntry/Admission.h>

namespace carobhinge {

Admission decideAdmission(const AdmissionFacts &Facts) {
  if (!Facts.CatalogVersion)
    return Admission::NoCatalog;
  if (*Facts.CatalogVersion < Facts.RequiredVersion)
    return Admission::CatalogOutdated;
  // A caller does not return after a refusal for good, so that one needs a
  // confirmation which is younger than a suspension of the host.
  if (!Facts.HasRoute)
    return Facts.IsConfirmationFresh ? Admission::UnknownRoute
                                     : Admission::StateUnconfirmed;
  if (!Facts.RequiresKey)
    return Admission::Admitted;
  if (!Facts.IsStateConfirmed)
    return Admission::StateUnconfirmed;
  if (Facts.HasKnownKey)
    return Admission::Admitted;
  return Facts.IsConfirmationFresh ? Admission::UnknownKey
                                   : Admission::StateUnconfirmed;
}

bool isRefusedByOlderCatalog(const PeerAnswer &Answer,
                             std::uint64_t OwnVersion) {
  bool IsRefusedForGood =
      Answer.Status == 401 || Answer.Status == 403 || Answer.Status == 404;
  return IsRefusedForGood && !Answer.IsSigned &&
         Answer.CatalogVersion <= OwnVersion;
}

} // namespace carobhinge
