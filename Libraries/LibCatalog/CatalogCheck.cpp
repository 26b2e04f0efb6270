//===- LibCatalog/CatalogCheck.cpp - Validates a catalog ------------------===//

#include <LibCatalog/CatalogCheck.h>
#include <map>
#include <set>
#include <utility>

namespace carobhinge {

static std::string jsonPointer(std::string_view List, std::size_t Index,
                               std::string_view Member) {
  return "/" + std::string(List) + "/" + std::to_string(Index) + "/" +
         std::string(Member);
}

static void checkServices(const Catalog &Candidate, const Route &Entry,
                          std::size_t Index, Findings &Out) {
  double Sum = 0;
  for (const ServiceWeight &Choice : Entry.Services) {
    if (Candidate.service(Choice.Service) == nullptr)
      Out.add(jsonPointer("routes", Index, "service"),
              "a service of this catalog", Choice.Service);
    if (Choice.Weight < 0)
      Out.add(jsonPointer("routes", Index, "weight"), "a weight of 0 or more",
              std::to_string(Choice.Weight));
    Sum += Choice.Weight;
  }
  if (!(Sum > 0))
    Out.add(jsonPointer("routes", Index, "weight"),
            "weights with a positive sum", std::to_string(Sum));
}

static void checkRoutes(const Catalog &Candidate, Findings &Out) {
  std::set<std::pair<std::string_view, std::string_view>> HostPrefixes;
  for (std::size_t I = 0; I < Candidate.Routes.size(); ++I) {
    const Route &Entry = Candidate.Routes[I];
    if (!HostPrefixes.emplace(Entry.Host, Entry.Prefix).second)
      Out.add(jsonPointer("routes", I, "prefix"), "a place of its own",
              Entry.Host + Entry.Prefix);
    if (Entry.Timeout <= Duration::zero())
      Out.add(jsonPointer("routes", I, "timeout"), "a timeout above 0 ms", "0");
    checkServices(Candidate, Entry, I, Out);
  }
}

static void checkKeys(const Catalog &Candidate, Findings &Out) {
  std::map<std::string_view, std::string_view> Owners;
  for (std::size_t I = 0; I < Candidate.Workspaces.size(); ++I)
    for (const std::string &Key : Candidate.Workspaces[I].Keys) {
      auto [Owner, IsNew] = Owners.emplace(Key, Candidate.Workspaces[I].Name);
      if (!IsNew && Owner->second != Candidate.Workspaces[I].Name)
        // The key itself is a secret and must not appear in the finding.
        Out.add(jsonPointer("workspaces", I, "keys"),
                "keys of this workspace alone",
                "a key that " + std::string(Owner->second) + " holds too");
    }
}

Findings checkCatalog(const Catalog &Candidate) {
  Findings Out;
  checkRoutes(Candidate, Out);
  checkKeys(Candidate, Out);
  return Out;
}

} // namespace carobhinge
