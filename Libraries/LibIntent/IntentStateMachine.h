//===- LibIntent/IntentStateMachine.h - Accepted intent versions ----------===//
///
/// \file
/// The part of the replicated control state that holds the intent. Commands are
/// accepted by compare-and-set on the version, so that exactly one of several
/// concurrent changes to the same base succeeds. Texts are validated before
/// they are proposed, not here: validation that differs between releases would
/// make the replicas diverge.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTSTATEMACHINE_H
#define LIBINTENT_INTENTSTATEMACHINE_H

#include <LibIntent/Intent.pb.h>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace carobhinge {

/// Deterministic: the same commands in the same order give the same states and
/// results.
class IntentStateMachine {
public:
  /// History entries kept, about a day and a half at 11,000 changes a day. A
  /// command resent for a base older than the history gets a conflict instead
  /// of its original acceptance.
  static constexpr std::size_t HistoryLimit = 16384;

  /// Applies a serialized IntentCommand; returns a serialized IntentResult.
  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command);

  /// Serialized IntentRegisterState.
  [[nodiscard]] std::string snapshot() const;
  /// \throws std::runtime_error if \p Snapshot cannot be parsed.
  void restore(std::string_view Snapshot);

  /// Zero before the first acceptance.
  [[nodiscard]] std::uint64_t version() const;
  /// The text of the current version, exactly as accepted.
  [[nodiscard]] const std::string &text() const { return this->Text; }
  /// The newest entries, ascending by version.
  [[nodiscard]] const std::deque<message::IntentEntry> &history() const {
    return this->History;
  }

private:
  [[nodiscard]] const message::IntentEntry *find(std::uint64_t Version) const;
  void accept(std::int64_t StampMs, const message::IntentCommand &Command,
              std::string Digest);

  /// Versions are consecutive and ascending; at most HistoryLimit entries.
  std::deque<message::IntentEntry> History;
  std::string Text;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTSTATEMACHINE_H
