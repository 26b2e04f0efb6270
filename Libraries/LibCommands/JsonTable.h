//===- LibCommands/JsonTable.h - JSON as readable tables ------------------===//
///
/// \file
/// Formats the answers of a host in aligned columns. Members that a newer
/// release adds are printed as well, because no member names are built in.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_JSONTABLE_H
#define LIBCOMMANDS_JSONTABLE_H

#include <boost/json.hpp>
#include <string>

namespace carobhinge {

/// Returns a header and one line for each object, with the columns in order of
/// appearance. If any entry is not an object, returns one line for each entry.
std::string tableLines(const boost::json::array &Rows);

/// Returns "name: value" for each member that is not a list, then a table for
/// each list.
std::string objectLines(const boost::json::object &Value);

/// Returns a time in milliseconds since the epoch as UTC, such as
/// "2026-12-03T21:45:47Z".
std::string stampText(std::int64_t StampMs);

} // namespace carobhinge

#endif // LIBCOMMANDS_JSONTABLE_H
