//===- LibIntent/IntentDiff.cpp - Changes between two intents -------------===//
///
/// \file
/// Compares the canonical JSON of both intents: objects member by member, lists
/// of named objects by entry name, and everything else as a whole.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentDiff.h>

#include <LibIntent/IntentJson.h>

namespace json = boost::json;

namespace carobhinge {

std::string IntentChange::line() const {
  switch (this->Kind) {
  case ChangeKind::Added:
    return "+ " + this->Path + ": " + this->NewValue;
  case ChangeKind::Removed:
    return "- " + this->Path + ": " + this->OldValue;
  case ChangeKind::Changed:
    break;
  }
  return "~ " + this->Path + ": " + this->OldValue + " -> " + this->NewValue;
}

/// Converts a list to an object keyed by name, so that lists compare like
/// objects.
static json::object indexByName(const json::array &List) {
  json::object Result;
  for (const json::value &Entry : List)
    Result[Entry.as_object().at("name").as_string()] = Entry;
  return Result;
}

static bool isNamedList(const json::value &Value) {
  const json::array *List = Value.if_array();
  return List && !List->empty() && List->front().is_object();
}

class Comparison {
public:
  void compareObjects(const json::object &OldObject,
                      const json::object &NewObject,
                      const std::string &Prefix) {
    for (const auto &[Name, OldValue] : OldObject) {
      std::string Path = Prefix + std::string(Name);
      if (const json::value *NewValue = NewObject.if_contains(Name))
        this->compareValues(OldValue, *NewValue, Path);
      else
        this->add(ChangeKind::Removed, Path, &OldValue, nullptr);
    }
    for (const auto &[Name, NewValue] : NewObject)
      if (!OldObject.contains(Name))
        this->add(ChangeKind::Added, Prefix + std::string(Name), nullptr,
                  &NewValue);
  }

  std::vector<IntentChange> Changes;

private:
  void compareValues(const json::value &OldValue, const json::value &NewValue,
                     const std::string &Path) {
    if (OldValue == NewValue)
      return;
    if (OldValue.is_object() && NewValue.is_object())
      this->compareObjects(OldValue.as_object(), NewValue.as_object(),
                           Path + "/");
    else if (isNamedList(OldValue) || isNamedList(NewValue))
      this->compareObjects(indexByName(OldValue.as_array()),
                           indexByName(NewValue.as_array()), Path + "/");
    else
      this->add(ChangeKind::Changed, Path, &OldValue, &NewValue);
  }

  void add(ChangeKind Kind, std::string Path, const json::value *OldValue,
           const json::value *NewValue) {
    this->Changes.push_back(
        {.Kind = Kind,
         .Path = std::move(Path),
         .OldValue = OldValue ? json::serialize(*OldValue) : "",
         .NewValue = NewValue ? json::serialize(*NewValue) : ""});
  }
};

std::vector<IntentChange> diff(const Intent &OldIntent,
                               const Intent &NewIntent) {
  Comparison Result;
  Result.compareObjects(canonicalJson(OldIntent), canonicalJson(NewIntent), "");
  return std::move(Result.Changes);
}

} // namespace carobhinge
