//===- LibCore/JsonReader.cpp - Validating reader of JSON objects ---------===//
///
/// \file
/// Each read records the member's name, checks its type and range, and reports
/// an error as a finding with a JSON pointer.
///
//===----------------------------------------------------------------------===//

#include <LibCore/JsonReader.h>

#include <algorithm>
#include <array>
#include <new>

namespace json = boost::json;

namespace carobhinge {

static constexpr std::size_t MaxTextBytes = 4 * 1024 * 1024;
static constexpr std::size_t MaxDepth = 32;
static constexpr std::size_t MaxExcerptBytes = 60;
/// Of a name in a JSON pointer.
static constexpr std::size_t MaxPointerNameBytes = 128;

namespace {

/// Thrown where a text takes too much memory.
class ParsedTextLimitReached : public std::bad_alloc {};

/// Memory of one parsed text, with a limit. A few bytes of text may become an
/// array, an object and their values.
class LimitedMemory : public json::memory_resource {
public:
  /// \p Limit in bytes.
  explicit LimitedMemory(std::size_t Limit) : Limit(Limit) {}

private:
  /// Of the allocator, for each block.
  static constexpr std::size_t OverheadBytes = 16;

  // Boost.JSON names other alignments when it frees a key than when it
  // allocated it; the default one fits all of its values.
  void *do_allocate(std::size_t Bytes, std::size_t /*Alignment*/) override {
    if (Bytes + OverheadBytes > this->Limit - this->Used)
      throw ParsedTextLimitReached();
    void *Block = ::operator new(Bytes);
    this->Used += Bytes + OverheadBytes;
    return Block;
  }
  void do_deallocate(void *Block, std::size_t Bytes,
                     std::size_t /*Alignment*/) override {
    ::operator delete(Block);
    this->Used -= Bytes + OverheadBytes;
  }
  [[nodiscard]] bool
  do_is_equal(const json::memory_resource &Other) const noexcept override {
    return this == &Other;
  }

  const std::size_t Limit;
  /// At most Limit.
  std::size_t Used = 0;
};

} // namespace

/// Returns \p Value as text, truncated, for the "found" part of a finding.
static std::string excerpt(const json::value &Value) {
  std::array<char, MaxExcerptBytes> Buffer;
  json::serializer Serializer;
  Serializer.reset(&Value);
  std::string Text(Serializer.read(Buffer.data(), Buffer.size()));
  if (!Serializer.done())
    Text += "...";
  return Text;
}

/// Returns "line L, column C" of the byte at \p Offset; both count from one.
static std::string position(std::string_view Text, std::size_t Offset) {
  std::string_view Before = Text.substr(0, Offset);
  auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  std::size_t LastBreak = Before.rfind('\n');
  std::size_t Column =
      LastBreak == std::string_view::npos ? Offset + 1 : Offset - LastBreak;
  return "line " + std::to_string(Line) + ", column " + std::to_string(Column);
}

std::optional<json::value> parseJson(std::string_view Text, Findings &Out) {
  if (Text.size() > MaxTextBytes) {
    Out.add("", "at most " + std::to_string(MaxTextBytes) + " bytes",
            std::to_string(Text.size()) + " bytes");
    return std::nullopt;
  }
  json::parse_options Options;
  Options.max_depth = MaxDepth;
  // The value shares the ownership of its memory.
  auto Memory = json::make_shared_resource<LimitedMemory>(MaxParsedBytes);
  try {
    json::stream_parser Parser(Memory, Options);
    Parser.reset(Memory);
    json::error_code Error;
    std::size_t ParsedBytes =
        Parser.write_some(Text.data(), Text.size(), Error);
    if (!Error && ParsedBytes == Text.size())
      Parser.finish(Error);
    if (!Error && ParsedBytes != Text.size())
      Error = json::error::extra_data;
    if (!Error)
      return Parser.release();
    Out.add("", "one JSON value",
            Error.message() + " at " + position(Text, ParsedBytes));
  } catch (const ParsedTextLimitReached &) {
    Out.add("",
            "a text that takes at most " + std::to_string(MaxParsedBytes) +
                " bytes when it is parsed",
            "more");
  }
  return std::nullopt;
}

JsonReader::JsonReader(const json::value &Value, std::string Pointer,
                       Findings &Out, UnknownMemberPolicy Policy)
    : Object(Value.if_object()), Pointer(std::move(Pointer)), Out(Out),
      Policy(Policy) {
  if (!this->Object)
    Out.add(this->Pointer, "an object", excerpt(Value));
}

const json::value *JsonReader::find(std::string_view Name) {
  this->ReadMembers.emplace(Name);
  return this->Object ? this->Object->if_contains(Name) : nullptr;
}

bool JsonReader::has(std::string_view Name) const {
  return this->Object && this->Object->contains(Name);
}

std::string JsonReader::pointerTo(std::string_view Name) const {
  std::string Result = this->Pointer + "/";
  for (char C : Name.substr(0, MaxPointerNameBytes)) {
    if (C == '~')
      Result += "~0";
    else if (C == '/')
      Result += "~1";
    else
      Result += C;
  }
  return Result;
}

void JsonReader::report(std::string_view Name, std::string_view Expected,
                        std::string_view Found) {
  this->Out.add(this->pointerTo(Name), Expected, Found);
}

std::string JsonReader::requiredString(std::string_view Name) {
  if (!this->has(Name) && this->Object)
    this->report(Name, "a non-empty string", "nothing");
  return this->optionalString(Name, "");
}

std::string JsonReader::optionalString(std::string_view Name,
                                       std::string_view Default) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return std::string(Default);
  if (const json::string *Text = Value->if_string(); Text && !Text->empty())
    return std::string(*Text);
  this->report(Name, "a non-empty string", excerpt(*Value));
  return std::string(Default);
}

std::int64_t JsonReader::requiredInteger(std::string_view Name,
                                         IntegerRange Range) {
  if (!this->has(Name) && this->Object)
    this->report(Name, "an integer", "nothing");
  return this->optionalInteger(Name, Range.Min, Range);
}

std::int64_t JsonReader::optionalInteger(std::string_view Name,
                                         std::int64_t Default,
                                         IntegerRange Range) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return Default;
  const std::int64_t *Number = Value->if_int64();
  if (Number && *Number >= Range.Min && *Number <= Range.Max)
    return *Number;
  this->report(Name,
               "an integer from " + std::to_string(Range.Min) + " to " +
                   std::to_string(Range.Max),
               excerpt(*Value));
  return Default;
}

double JsonReader::optionalNumber(std::string_view Name, double Default,
                                  double Min, double Max) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return Default;
  json::error_code Error;
  auto Number = Value->to_number<double>(Error);
  if (!Error && Number >= Min && Number <= Max)
    return Number;
  this->report(Name,
               "a number from " + std::to_string(Min) + " to " +
                   std::to_string(Max),
               excerpt(*Value));
  return Default;
}

bool JsonReader::optionalBool(std::string_view Name, bool Default) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return Default;
  if (const bool *Flag = Value->if_bool())
    return *Flag;
  this->report(Name, "true or false", excerpt(*Value));
  return Default;
}

std::string
JsonReader::optionalChoice(std::string_view Name,
                           std::span<const std::string_view> Allowed) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return std::string(Allowed.front());
  const json::string *Text = Value->if_string();
  if (Text &&
      std::ranges::find(Allowed, std::string_view(*Text)) != Allowed.end())
    return std::string(*Text);
  std::string Expected = "one of";
  for (std::string_view Choice : Allowed)
    Expected += " " + std::string(Choice);
  this->report(Name, Expected, excerpt(*Value));
  return std::string(Allowed.front());
}

const json::array *JsonReader::findArray(std::string_view Name,
                                         std::string_view Expected,
                                         std::size_t MaxCount) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return nullptr;
  const json::array *Array = Value->if_array();
  if (!Array) {
    this->report(Name, Expected, excerpt(*Value));
    return nullptr;
  }
  if (Array->size() <= MaxCount)
    return Array;
  this->report(Name, "at most " + std::to_string(MaxCount) + " entries",
               std::to_string(Array->size()));
  return nullptr;
}

std::vector<std::string> JsonReader::optionalStrings(std::string_view Name,
                                                     std::size_t MaxCount) {
  std::vector<std::string> Result;
  const json::array *Array =
      this->findArray(Name, "an array of strings", MaxCount);
  if (!Array)
    return Result;
  Result.reserve(Array->size());
  for (std::size_t I = 0; I < Array->size() && !this->Out.isFull(); ++I) {
    const json::string *Text = (*Array)[I].if_string();
    if (Text && !Text->empty())
      Result.emplace_back(*Text);
    else
      this->Out.add(this->pointerTo(Name) + "/" + std::to_string(I),
                    "a non-empty string", excerpt((*Array)[I]));
  }
  return Result;
}

void JsonReader::eachObject(std::string_view Name,
                            const std::function<void(JsonReader &)> &Callback,
                            std::size_t MaxCount) {
  const json::array *Array =
      this->findArray(Name, "an array of objects", MaxCount);
  if (!Array)
    return;
  for (std::size_t I = 0; I < Array->size() && !this->Out.isFull(); ++I) {
    JsonReader Reader((*Array)[I],
                      this->pointerTo(Name) + "/" + std::to_string(I),
                      this->Out, this->Policy);
    Callback(Reader);
    Reader.finish();
  }
}

void JsonReader::eachMember(
    std::string_view Name,
    const std::function<void(std::string_view, JsonReader &)> &Callback) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return;
  JsonReader Outer(*Value, this->pointerTo(Name), this->Out, this->Policy);
  if (!Outer.Object)
    return;
  for (const json::key_value_pair &Member : *Outer.Object) {
    if (this->Out.isFull())
      break;
    JsonReader Reader(Member.value(), Outer.pointerTo(Member.key()), this->Out,
                      this->Policy);
    Callback(Member.key(), Reader);
    Reader.finish();
  }
}

void JsonReader::optionalObject(
    std::string_view Name, const std::function<void(JsonReader &)> &Callback) {
  const json::value *Value = this->find(Name);
  if (!Value)
    return;
  JsonReader Reader(*Value, this->pointerTo(Name), this->Out, this->Policy);
  Callback(Reader);
  Reader.finish();
}

void JsonReader::requiredObject(
    std::string_view Name, const std::function<void(JsonReader &)> &Callback) {
  if (!this->has(Name) && this->Object)
    this->report(Name, "an object", "nothing");
  this->optionalObject(Name, Callback);
}

void JsonReader::finish() {
  if (!this->Object || this->Policy == UnknownMemberPolicy::Ignore)
    return;
  std::vector<std::string_view> KnownNames(this->ReadMembers.begin(),
                                           this->ReadMembers.end());
  for (const json::key_value_pair &Member : *this->Object) {
    if (this->Out.isFull())
      break;
    if (this->ReadMembers.contains(std::string_view(Member.key())))
      continue;
    std::string_view Nearest = nearestName(Member.key(), KnownNames);
    std::string Expected = "a known member";
    if (!Nearest.empty())
      Expected += " (did you mean \"" + std::string(Nearest) + "\"?)";
    this->report(Member.key(), Expected,
                 "\"" + std::string(Member.key()) + "\"");
  }
}

} // namespace carobhinge
