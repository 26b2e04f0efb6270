//===- LibTelemetry/RefusedMessageLog.h - Messages that were not taken ----===//
///
/// \file
/// Tells operators which host sends messages that can't be taken, and what was
/// wrong, in a bounded number of log lines: a peer may send them without end.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_REFUSEDMESSAGELOG_H
#define LIBTELEMETRY_REFUSEDMESSAGELOG_H

#include <LibCore/Findings.h>
#include <LibTelemetry/LimitReports.h>

namespace carobhinge {

/// Writes the lines and counts in the metrics. Safe to use from any thread.
class RefusedMessageLog {
public:
  explicit RefusedMessageLog(Metrics &Output) : Output(Output) {}

  /// Records that a message of \p Peer was refused because of \p Found.
  void record(std::string_view Peer, const Findings &Found);

private:
  Metrics &Output;
  std::mutex Lock;
  LimitReports Reports;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_REFUSEDMESSAGELOG_H
