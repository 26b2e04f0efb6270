//===- LibCommands/JsonTable.cpp - JSON as readable tables ----------------===//
///
/// \file
/// Formats the cells first, then computes the width of each column, then
/// builds the lines.
///
//===----------------------------------------------------------------------===//

#include <LibCommands/JsonTable.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <vector>

namespace json = boost::json;

namespace carobhinge {

/// Returns a value as text, strings without quotes. Control characters stay
/// escaped, so that an answer cannot send control sequences to the terminal.
static std::string cellText(const json::value &Value) {
  std::string Text = json::serialize(Value);
  if (Value.is_string())
    return Text.substr(1, Text.size() - 2);
  return Text;
}

using Cells = std::vector<std::string>;

static Cells columnNames(const json::array &Rows) {
  Cells Names;
  for (const json::value &Row : Rows)
    for (const json::key_value_pair &Member : Row.as_object())
      if (std::ranges::find(Names, Member.key()) == Names.end())
        Names.emplace_back(Member.key());
  return Names;
}

static Cells rowCells(const json::object &Row, const Cells &Names) {
  Cells Result;
  for (const std::string &Name : Names) {
    const json::value *Value = Row.if_contains(Name);
    Result.push_back(Value ? cellText(*Value) : "-");
  }
  return Result;
}

static std::string alignedLines(const std::vector<Cells> &Table) {
  std::vector<std::size_t> Widths(Table.front().size());
  for (const Cells &Row : Table)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Text;
  for (const Cells &Row : Table) {
    std::string Line = " ";
    for (std::size_t I = 0; I < Row.size(); ++I)
      Line += " " + Row[I] + std::string(Widths[I] - Row[I].size() + 1, ' ');
    Text += Line.substr(0, Line.find_last_not_of(' ') + 1) + "\n";
  }
  return Text;
}

std::string tableLines(const json::array &Rows) {
  bool OnlyObjects =
      !Rows.empty() && std::ranges::all_of(Rows, &json::value::is_object);
  std::string Text;
  if (!OnlyObjects) {
    for (const json::value &Row : Rows)
      Text += "  " + cellText(Row) + "\n";
    return Text;
  }
  std::vector<Cells> Table = {columnNames(Rows)};
  for (const json::value &Row : Rows)
    Table.push_back(rowCells(Row.as_object(), Table.front()));
  return alignedLines(Table);
}

std::string objectLines(const json::object &Value) {
  std::string Text;
  for (const json::key_value_pair &Member : Value)
    if (!Member.value().is_array())
      Text +=
          std::string(Member.key()) + ": " + cellText(Member.value()) + "\n";
  for (const json::key_value_pair &Member : Value)
    if (const json::array *List = Member.value().if_array())
      Text += std::string(Member.key()) + ":" + (List->empty() ? " none" : "") +
              "\n" + tableLines(*List);
  return Text;
}

std::string stampText(std::int64_t StampMs) {
  std::time_t Seconds = StampMs / 1000;
  std::tm Calendar{};
  // No 64-bit number of milliseconds reaches a year that tm cannot represent.
  gmtime_r(&Seconds, &Calendar);
  std::array<char, 32> Text{};
  std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%FT%TZ", &Calendar);
  return {Text.data(), Length};
}

} // namespace carobhinge
