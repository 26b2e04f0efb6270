//===- LibTelemetry/RefusedMessageLog.cpp - Messages that were not taken --===//

#include <LibTelemetry/RefusedMessageLog.h>

#include <LibCore/Utf8.h>
#include <LibTelemetry/Log.h>

namespace carobhinge {

/// Bytes of a name or of findings in a line.
static constexpr std::size_t MaxTextBytes = 512;

/// \returns the first bytes of \p Text that are text.
static std::string_view loggedText(std::string_view Text) {
  Text = Text.substr(0, MaxTextBytes);
  // The last character may have been cut.
  for (int Cut = 0; Cut < 4 && !Text.empty() && !isUtf8(Text); ++Cut)
    Text.remove_suffix(1);
  return isUtf8(Text) ? Text : "no text";
}

void RefusedMessageLog::record(std::string_view Peer, const Findings &Found) {
  this->Output.countEvent("messages_refused");
  std::optional<LimitReports::Line> Due;
  {
    std::lock_guard Guard(this->Lock);
    Due = this->Reports.record(monotonicNow(), "message", loggedText(Peer));
  }
  if (!Due)
    return;
  std::string Report = Found.report();
  logEvent(Severity::Warning, "message-refused",
           {{"peer", Due->Peer},
            {"findings", loggedText(Report)},
            {"count", static_cast<std::int64_t>(Due->Count)}});
}

} // namespace carobhinge
