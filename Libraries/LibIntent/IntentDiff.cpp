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
    return "+ " + this->Place + ": " + this->After;
  case ChangeKind::Removed:
    return "- " + this->Place + ": " + this->Before;
  case ChangeKind::Changed:
    break;
  }
  return "~ " + this->Place + ": " + this->Before + " -> " + this->After;
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
  void compareObjects(const json::object &Before, const json::object &After,
                      const std::string &Prefix) {
    for (const auto &[Name, Old] : Before) {
      std::string Place = Prefix + std::string(Name);
      if (const json::value *New = After.if_contains(Name))
        this->compareValues(Old, *New, Place);
      else
        this->add(ChangeKind::Removed, Place, &Old, nullptr);
    }
    for (const auto &[Name, New] : After)
      if (!Before.contains(Name))
        this->add(ChangeKind::Added, Prefix + std::string(Name), nullptr, &New);
  }

  std::vector<IntentChange> Changes;

private:
  void compareValues(const json::value &Old, const json::value &New,
                     const std::string &Place) {
    if (Old == New)
      return;
    if (Old.is_object() && New.is_object())
      this->compareObjects(Old.as_object(), New.as_object(), Place + "/");
    else if (isNamedList(Old) || isNamedList(New))
      this->compareObjects(indexByName(Old.as_array()),
                           indexByName(New.as_array()), Place + "/");
    else
      this->add(ChangeKind::Changed, Place, &Old, &New);
  }

  void add(ChangeKind Kind, std::string Place, const json::value *Old,
           const json::value *New) {
    this->Changes.push_back({.Kind = Kind,
                             .Place = std::move(Place),
                             .Before = Old ? json::serialize(*Old) : "",
                             .After = New ? json::serialize(*New) : ""});
  }
};

std::vector<IntentChange> diff(const Intent &Before, const Intent &After) {
  Comparison Result;
  Result.compareObjects(canonicalJson(Before), canonicalJson(After), "");
  return std::move(Result.Changes);
}

} // namespace carobhinge
