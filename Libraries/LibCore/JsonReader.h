//===- LibCore/JsonReader.h - Validating reader of JSON objects -----------===//
///
/// \file
/// Reads settings and intent texts member by member. A reader never throws on
/// invalid input: each error becomes a finding with its JSON pointer, and the
/// read returns a placeholder value. Callers use placeholders only to go on
/// checking the rest of the text. Entries are no longer read once the findings
/// are full.
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

/// What a text may take when it is parsed: an eighth of the 256 MB that a host
/// has by default. All hosts must read the same agreed texts, so that it does
/// not follow the settings of one host.
inline constexpr std::size_t MaxParsedBytes = 32'000'000;

/// Parses \p Text. Returns nothing and adds a finding if the syntax is wrong
/// (the finding names line and column), if the text is longer or nested more
/// deeply than the bounds in JsonReader.cpp, or if it would take more than
/// MaxParsedBytes of memory.
std::optional<boost::json::value> parseJson(std::string_view Text,
                                            Findings &Out);

/// Bounds of an integer member, both inclusive.
struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = INT64_MAX;
};

/// Treatment of members that were never read.
enum class UnknownMemberPolicy {
  Report,
  /// For formats that other programs extend with members of their own.
  Ignore,
};

/// Reads one JSON object. finish() reports the members that were never read.
class JsonReader {
public:
  /// If \p Value is not an object, this is a finding. Readers of nested objects
  /// treat unknown members in the same way.
  JsonReader(const boost::json::value &Value, std::string Pointer,
             Findings &Out,
             UnknownMemberPolicy Policy = UnknownMemberPolicy::Report);

  /// Reads a member that must be present and a non-empty string.
  std::string requiredString(std::string_view Name);
  std::string optionalString(std::string_view Name, std::string_view Default);
  std::int64_t requiredInteger(std::string_view Name, IntegerRange Range);
  std::int64_t optionalInteger(std::string_view Name, std::int64_t Default,
                               IntegerRange Range);
  double optionalNumber(std::string_view Name, double Default, double Min,
                        double Max);
  bool optionalBool(std::string_view Name, bool Default);

  /// Reads a string that must be one of \p Allowed. The first one is the
  /// default if the member is missing.
  std::string optionalChoice(std::string_view Name,
                             std::span<const std::string_view> Allowed);

  /// Reads an array of at most \p MaxCount non-empty strings. A missing member
  /// is an empty array.
  std::vector<std::string> optionalStrings(std::string_view Name,
                                           std::size_t MaxCount = SIZE_MAX);

  /// Calls \p Callback with a reader for every object of the array \p Name.
  /// None of more than \p MaxCount entries is read.
  void eachObject(std::string_view Name,
                  const std::function<void(JsonReader &)> &Callback,
                  std::size_t MaxCount = SIZE_MAX);

  /// Calls \p Callback with key and reader for every member of the object
  /// \p Name.
  void eachMember(
      std::string_view Name,
      const std::function<void(std::string_view Key, JsonReader &)> &Callback);

  /// Calls \p Callback with a reader for the object member \p Name if it is
  /// present.
  void optionalObject(std::string_view Name,
                      const std::function<void(JsonReader &)> &Callback);
  /// Like optionalObject(), but a missing member is a finding.
  void requiredObject(std::string_view Name,
                      const std::function<void(JsonReader &)> &Callback);

  [[nodiscard]] bool has(std::string_view Name) const;

  /// Adds a finding about member \p Name of this object.
  void report(std::string_view Name, std::string_view Expected,
              std::string_view Found);

  /// Reports members that were never read, with the closest known name.
  void finish();

  [[nodiscard]] const std::string &pointer() const { return this->Pointer; }

private:
  const boost::json::value *find(std::string_view Name);
  /// Returns the array \p Name of at most \p MaxCount entries; null if there is
  /// none. Another value is a finding.
  const boost::json::array *findArray(std::string_view Name,
                                      std::string_view Expected,
                                      std::size_t MaxCount);
  [[nodiscard]] std::string pointerTo(std::string_view Name) const;

  /// Null if the value is not an object. Every member is then missing, but only
  /// the value itself is reported.
  const boost::json::object *Object;
  std::string Pointer;
  Findings &Out;
  UnknownMemberPolicy Policy;
  std::set<std::string, std::less<>> ReadMembers;
};

} // namespace carobhinge

#endif // LIBCORE_JSONREADER_H
