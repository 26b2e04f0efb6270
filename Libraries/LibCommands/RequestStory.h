//===- LibCommands/RequestStory.h - What the logs tell of one request -----===//
///
/// \file
/// Picks the lines about one request out of the logs of all processes, brings
/// them into the order of time, adds what happened meanwhile to the places
/// that it was sent to, and says the cause in one sentence.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_REQUESTSTORY_H
#define LIBCOMMANDS_REQUESTSTORY_H

#include <LibCommands/CommandResult.h>
#include <boost/json.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

class RequestStory {
public:
  explicit RequestStory(std::string Id) : Id(std::move(Id)) {}

  /// Takes one line of a log. Lines that aren't JSON are counted and left out.
  void take(std::string_view Line);

  /// The story; its exit code is ExitRefused if no line tells of the request.
  [[nodiscard]] CommandResult tell() const;

private:
  [[nodiscard]] std::string cause() const;
  [[nodiscard]] const boost::json::object *last(std::string_view Event) const;

  std::string Id;
  /// Lines about the request, by time as written.
  std::multimap<std::string, boost::json::object> Own;
  /// Lines about lost and found endpoints, by group or plain endpoint.
  std::multimap<std::string, boost::json::object> Groups;
  std::size_t Unreadable = 0;
  std::int64_t Omitted = 0;
};

} // namespace carobhinge

#endif // LIBCOMMANDS_REQUESTSTORY_H
