//===- LibCommands/JsonTable.h - JSON as lines for people -----------------===//
///
/// \file
/// Prints the answers of a host in aligned columns. Members that a newer host
/// adds are printed without the command knowing them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_JSONTABLE_H
#define LIBCOMMANDS_JSONTABLE_H

#include <boost/json.hpp>
#include <string>

namespace carobhinge {

/// A header and one line for each object; columns in order of appearance.
/// Entries that are no objects are printed one a line.
std::string tableLines(const boost::json::array &Rows);

/// "name: value" for plain members, then a table for each list.
std::string objectLines(const boost::json::object &Value);

/// UTC as "2026-12-03T21:45:47Z".
std::string stampText(std::int64_t StampMs);

} // namespace carobhinge

#endif // LIBCOMMANDS_JSONTABLE_H
