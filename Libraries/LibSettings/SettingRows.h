//===- LibSettings/SettingRows.h - Table of all settings ------------------===//
///
/// \file
/// One row for each setting: its section, name, type, default, range, unit,
/// description and the member of Settings that stores its value. The parser
/// reads this table and the table in docs/SETTINGS.md is printed from it, so
/// that the two cannot differ.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_SETTINGROWS_H
#define LIBSETTINGS_SETTINGROWS_H

#include <LibCore/JsonReader.h>
#include <LibSettings/Settings.h>
#include <span>
#include <variant>

namespace carobhinge {

/// Accessor of the member of Settings that stores a value. The type of the
/// member determines how the value is parsed: a Duration is read as an integer
/// number of milliseconds.
using SettingTarget =
    std::variant<std::string &(*)(Settings &), std::int64_t &(*)(Settings &),
                 Duration &(*)(Settings &), NetworkAddress &(*)(Settings &),
                 Roles &(*)(Settings &), std::vector<Peer> &(*)(Settings &)>;

/// Describes one setting.
struct SettingRow {
  /// The JSON object that contains the setting; empty for the top level.
  std::string_view Section;
  std::string_view Name;
  std::string_view Meaning;
  SettingTarget Target;
  /// Strings only: the default. A string without a default is required.
  std::optional<std::string_view> TextDefault = {};
  /// Strings only: the allowed values, the first of which is the default.
  /// Empty if every string is allowed.
  std::span<const std::string_view> Choices = {};
  std::int64_t NumberDefault = 0;
  IntegerRange Range = {};
  std::string_view Unit = {};
};

/// Returns all settings; the settings of one section are adjacent.
std::span<const SettingRow> settingRows();

/// Returns the Markdown table of docs/SETTINGS.md.
std::string settingsMarkdown();

} // namespace carobhinge

#endif // LIBSETTINGS_SETTINGROWS_H
