//===- LibCore/JsonReader.h - Checked reading of JSON objects -------------===//
///
/// \file
/// Reads settings and intent texts member by member. A reader never throws
/// for a bad text: each fault becomes a finding with its JSON pointer, and
/// the value that stands in for it is only ever seen by code that goes on to
/// collect further findings.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_JSONREADER_H
#define LIBCORE_JSONREADER_H

#include <LibCore/Findings.h>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Parses \p Text. A syntax error is a finding that names line and column.
/// Texts deeper or longer than the given bounds are findings too.
std::optional<boost::json::value> parseJson(std::string_view Text,
                                            Findings &Out);

/// Bounds of an integer member, both inclusive.
struct IntegerRange {
  std::int64_t Least = 0;
  std::int64_t Most = INT64_MAX;
};

/// What becomes of members that nobody asked for.
enum class UnknownMembers {
  Report,
  /// For formats to which others add members.
  Ignore,
};

/// Reads one JSON object. Members never asked for are reported by finish().
class JsonReader {
public:
  /// \p Value need not be an object: that itself is a finding. Readers of
  /// members treat unknown members alike.
  JsonReader(const boost::json::value &Value, std::string Pointer,
             Findings &Out, UnknownMembers Unknown = UnknownMembers::Report);

  /// A member that must be there and be a non-empty string.
  std::string requiredString(std::string_view Name);
  std::string optionalString(std::string_view Name, std::string_view Default);
  std::int64_t requiredInteger(std::string_view Name, IntegerRange Range);
  std::int64_t optionalInteger(std::string_view Name, std::int64_t Default,
                               IntegerRange Range);
  double optionalNumber(std::string_view Name, double Default, double Least,
                        double Most);
  bool optionalBool(std::string_view Name, bool Default);

  /// A string that must be one of \p Allowed; the first one is the default
  /// where the member is missing.
  std::string optionalChoice(std::string_view Name,
                             std::span<const std::string_view> Allowed);

  /// An array of non-empty strings. A missing one is empty.
  std::vector<std::string> optionalStrings(std::string_view Name);

  /// Calls \p Each with a reader for every object of the array \p Name.
  void eachObject(std::string_view Name,
                  const std::function<void(JsonReader &)> &Each);

  /// Calls \p Each with key and reader for every member of the object Name.
  void eachMember(
      std::string_view Name,
      const std::function<void(std::string_view Key, JsonReader &)> &Each);

  /// Calls \p Then with a reader for the object member \p Name if it is there.
  void optionalObject(std::string_view Name,
                      const std::function<void(JsonReader &)> &Then);
  /// As optionalObject, but a missing member is a finding.
  void requiredObject(std::string_view Name,
                      const std::function<void(JsonReader &)> &Then);

  [[nodiscard]] bool has(std::string_view Name) const;

  /// Adds a finding about member \p Name of this object.
  void report(std::string_view Name, std::string_view Expected,
              std::string_view Found);

  /// Reports members that nobody asked for, with the nearest known name.
  void finish();

  [[nodiscard]] const std::string &pointer() const { return this->Pointer; }

private:
  const boost::json::value *find(std::string_view Name);
  [[nodiscard]] std::string pointerTo(std::string_view Name) const;

  /// Null if the value was no object; every member then counts as missing,
  /// but only the object itself has been reported.
  const boost::json::object *Object;
  std::string Pointer;
  Findings &Out;
  UnknownMembers Unknown;
  std::set<std::string, std::less<>> Asked;
};

} // namespace carobhinge

#endif // LIBCORE_JSONREADER_H
