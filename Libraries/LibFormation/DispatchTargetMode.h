//===- LibFormation/DispatchTargetMode.h - State of a dispatch target -----===//
///
/// \file
/// State of a dispatch target, which is a group or a plain endpoint. Control
/// hosts send it to entry hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_DISPATCHTARGETMODE_H
#define LIBFORMATION_DISPATCHTARGETMODE_H

namespace carobhinge {

/// The values are part of the protocol between hosts.
enum class DispatchTargetMode {
  /// Accepts requests.
  Open = 0,
  /// Finishes its running requests and gets no others.
  Finishing = 1,
  /// Makes no progress; its waiting requests must move to other targets.
  Stalled = 2,
};

} // namespace carobhinge

#endif // LIBFORMATION_DISPATCHTARGETMODE_H
