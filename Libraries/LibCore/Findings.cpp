//===- LibCore/Findings.cpp - Errors found while checking a text ----------===//
///
/// \file
/// Formats findings and looks up the closest known name for a misspelt one.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Findings.h>

#include <algorithm>
#include <numeric>

namespace carobhinge {

static std::string cutPart(std::string_view Text) {
  if (Text.size() <= Findings::MaxPartBytes)
    return std::string(Text);
  return std::string(Text.substr(0, Findings::MaxPartBytes)) + "...";
}

void Findings::add(std::string_view Location, std::string_view Expected,
                   std::string_view Found) {
  if (this->isFull())
    return;
  this->Items.push_back(Finding{.Location = cutPart(Location),
                                .Expected = cutPart(Expected),
                                .Found = cutPart(Found)});
}

std::string Findings::report() const {
  std::string Text;
  for (const Finding &Item : this->Items) {
    Text += Item.Location.empty() ? "/" : Item.Location;
    Text += ": expected " + Item.Expected + ", found " + Item.Found + "\n";
  }
  if (this->isFull())
    Text += "There may be more.\n";
  return Text;
}

FindingsError::FindingsError(Findings AllFindings)
    : std::runtime_error(AllFindings.report()),
      AllFindings(std::move(AllFindings)) {}

/// Returns the Levenshtein distance between two short names.
static std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      std::size_t Substituted = Diagonal + (Left[I - 1] != Right[J - 1]);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Substituted});
    }
  }
  return Row.back();
}

std::string_view nearestName(std::string_view Name,
                             std::span<const std::string_view> KnownNames) {
  // A name that differs in more than about a third of its letters is another
  // word, not a misspelling.
  std::size_t BestDistance = Name.size() / 3 + 2;
  std::string_view Best;
  for (std::string_view Candidate : KnownNames) {
    // The distance is at least the difference of the lengths.
    if (Name.size() >= Candidate.size() + BestDistance)
      continue;
    std::size_t Distance = editDistance(Name, Candidate);
    if (Distance < BestDistance) {
      BestDistance = Distance;
      Best = Candidate;
    }
  }
  return Best;
}

} // namespace carobhinge
