//===- LibIntent/IntentRegister.h - Accepted versions of the intent -------===//
///
/// \file
/// The part of the control log's state that holds the intent. A command is
/// accepted by compare-and-set on the version, so that of operators who race
/// from the same base exactly one wins. Texts are checked before they are
/// proposed, not here: a check that differs between releases would make the
/// replicas differ.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTREGISTER_H
#define LIBINTENT_INTENTREGISTER_H

#include <LibIntent/Intent.pb.h>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace carobhinge {

/// Deterministic: equal commands in equal order give equal states and results.
class IntentRegister {
public:
  /// Entries kept of the history, about a day and a half at 11,000 a day. A
  /// resend on a base older than this gets a conflict instead of its first
  /// acceptance.
  static constexpr std::size_t HistoryLimit = 16384;

  /// Applies a serialized IntentCommand; returns a serialized IntentResult.
  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command);

  /// Serialized IntentRegisterState.
  [[nodiscard]] std::string snapshot() const;
  /// \throws std::runtime_error if \p Snapshot is not one.
  void restore(std::string_view Snapshot);

  /// Zero before the first acceptance.
  [[nodiscard]] std::uint64_t version() const;
  /// The text exactly as it was accepted.
  [[nodiscard]] const std::string &text() const { return this->Text; }
  /// The newest entries, ascending by version.
  [[nodiscard]] const std::deque<message::IntentEntry> &history() const {
    return this->History;
  }

private:
  [[nodiscard]] const message::IntentEntry *find(std::uint64_t Version) const;
  void accept(std::int64_t StampMs, const message::IntentCommand &Command,
              std::string Digest);

  /// Versions ascend by one; at most HistoryLimit entries.
  std::deque<message::IntentEntry> History;
  std::string Text;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTREGISTER_H
