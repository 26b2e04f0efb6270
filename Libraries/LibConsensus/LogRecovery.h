//===- LibConsensus/LogRecovery.h - When a failed log is opened again -----===//
///
/// \file
/// Decides when a log whose disk or state machine failed is opened again, and
/// which changes of its state are worth a line. Has no clock of its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_LOGRECOVERY_H
#define LIBCONSENSUS_LOGRECOVERY_H

#include <LibCore/Time.h>
#include <algorithm>
#include <string>
#include <utility>

namespace carobhinge {

struct LogRecoveryOptions {
  Duration MinPause = std::chrono::milliseconds(500);
  /// Each attempt in vain doubles the pause, up to this one. Opening a log
  /// reads its whole state.
  Duration MaxPause = std::chrono::milliseconds(500);
};

enum class LogChange {
  None,
  /// Failed, or failed with another error than before.
  Failed,
  Regained,
};

class LogRecovery {
public:
  explicit LogRecovery(LogRecoveryOptions Options = {})
      : Options(Options), NextPause(Options.MinPause) {}

  /// \returns whether the log is to be checked, and opened again if it failed.
  [[nodiscard]] bool isDue(TimePoint Now) const { return Now >= this->NextAt; }

  /// Records that a check at \p Now found \p Error; empty if the log works.
  LogChange record(TimePoint Now, std::string Error) {
    if (Error.empty())
      this->NextPause = this->Options.MinPause;
    this->NextAt = Now + this->NextPause;
    if (!Error.empty())
      this->NextPause = std::min(2 * this->NextPause, this->Options.MaxPause);
    if (Error == this->LastError)
      return LogChange::None;
    this->LastError = std::move(Error);
    return this->LastError.empty() ? LogChange::Regained : LogChange::Failed;
  }

private:
  LogRecoveryOptions Options;
  TimePoint NextAt;
  Duration NextPause;
  std::string LastError;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_LOGRECOVERY_H
