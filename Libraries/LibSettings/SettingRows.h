//===- LibSettings/SettingRows.h - The table of all settings --------------===//
///
/// \file
/// One row for each setting: its place, kind, default, range, unit, meaning
/// and where its value goes. The parser reads by this table and
/// docs/SETTINGS.md is printed from it, so that the two cannot differ.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_SETTINGROWS_H
#define LIBSETTINGS_SETTINGROWS_H

#include <LibCore/JsonReader.h>
#include <LibSettings/Settings.h>
#include <span>
#include <variant>

namespace carobhinge {

/// Where the value of a setting goes. The kind of the pointee says how the
/// member is read: a Duration is an integer number of milliseconds.
using SettingTarget =
    std::variant<std::string &(*)(Settings &), std::int64_t &(*)(Settings &),
                 Duration &(*)(Settings &), NetworkAddress &(*)(Settings &),
                 Roles &(*)(Settings &), std::vector<Peer> &(*)(Settings &)>;

/// One setting.
struct SettingRow {
  /// The object it stands in; empty for the outermost one.
  std::string_view Section;
  std::string_view Name;
  std::string_view Meaning;
  SettingTarget Target;
  /// Without a default a setting must be given.
  std::optional<std::string_view> TextDefault = {};
  /// Strings only: the values allowed, where not every string is. The first
  /// is the default.
  std::span<const std::string_view> Choices = {};
  std::int64_t NumberDefault = 0;
  IntegerRange Range = {};
  std::string_view Unit = {};
};

/// All settings, those of one section next to each other.
std::span<const SettingRow> settingRows();

/// The table of docs/SETTINGS.md.
std::string settingsMarkdown();

} // namespace carobhinge

#endif // LIBSETTINGS_SETTINGROWS_H
