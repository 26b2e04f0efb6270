//===- LibCommands/RequestTrace.h - Log lines of one request --------------===//
///
/// \file
/// Collects the lines about one request from the logs of all processes, sorts
/// them by time, adds the lost and found engines of the dispatch targets to
/// which it was sent, and states the cause of its outcome in one sentence.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_REQUESTTRACE_H
#define LIBCOMMANDS_REQUESTTRACE_H

#include <LibCommands/CommandResult.h>
#include <boost/json.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Collects the log lines of one request and prints them with the cause of its
/// outcome.
class RequestTrace {
public:
  explicit RequestTrace(std::string Id) : Id(std::move(Id)) {}

  /// Adds one line of a log. Lines that are not JSON objects are counted and
  /// skipped.
  void addLine(std::string_view Line);

  /// Returns the sorted lines and the cause. The exit code is ExitRefused if no
  /// line mentions the request.
  [[nodiscard]] CommandResult render() const;

private:
  /// Returns one sentence about the outcome and its cause.
  [[nodiscard]] std::string cause() const;
  /// Returns the refusals that hold for the request's prompt, and the crashes
  /// that were the reason; empty if there are none.
  [[nodiscard]] std::string crashesBehindRefusal() const;
  /// Returns the latest line of \p Event about the request, or null.
  [[nodiscard]] const boost::json::object *
  lastLine(std::string_view Event) const;

  std::string Id;
  /// Lines about the request, by the text of their time.
  std::multimap<std::string, boost::json::object> RequestLines;
  /// Lines about lost and found engines, by group, or by endpoint if the
  /// endpoint belongs to no group.
  std::multimap<std::string, boost::json::object> EngineLines;
  std::multimap<std::string, boost::json::object> RefusalLines;
  /// By endpoint.
  std::multimap<std::string, boost::json::object> CrashLines;
  std::size_t Unreadable = 0;
  std::int64_t Omitted = 0;
};

} // namespace carobhinge

#endif // LIBCOMMANDS_REQUESTTRACE_H
