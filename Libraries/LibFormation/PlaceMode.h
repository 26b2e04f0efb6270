//===- LibFormation/PlaceMode.h - What may be sent to a place -------------===//
///
/// \file
/// Told by control hosts to entry hosts for each group and plain endpoint.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_PLACEMODE_H
#define LIBFORMATION_PLACEMODE_H

namespace carobhinge {

/// The numbers are sent between hosts.
enum class PlaceMode {
  Open = 0,
  /// What runs there may end; nothing new.
  Finishing = 1,
  /// It stands still: what waits there is to go elsewhere.
  Standing = 2,
};

} // namespace carobhinge

#endif // LIBFORMATION_PLACEMODE_H
