//===- LibCore/Silence.h - How long a sound peer may say nothing ----------===//
///
/// \file
/// A peer that says nothing may be sound: suspended, overloaded, or out of
/// reach for a moment. Silence is a doubt, which keeps new work away and is
/// taken back with the next word. Only a silence of EndingSilence counts as an
/// end, which gives up work in progress and the peer's place. A refused
/// connection, another life at the address and a leave are ends at once.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_SILENCE_H
#define LIBCORE_SILENCE_H

#include <LibCore/Time.h>

namespace carobhinge {

/// A sound peer is silent for "a second or so" at most; half as much again.
inline constexpr Duration MaxSoundSilence = std::chrono::milliseconds(1500);
/// Time on the way, and the delay of timers at both ends.
inline constexpr Duration SilenceMargin = std::chrono::milliseconds(300);
/// A peer that was asked and said nothing for this long has ended.
inline constexpr Duration EndingSilence = MaxSoundSilence + SilenceMargin;

} // namespace carobhinge

#endif // LIBCORE_SILENCE_H
