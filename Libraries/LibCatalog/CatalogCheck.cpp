//===- LibCatalog/CatalogCheck.cpp - Whether a catalog may be in force ----===//

#include <LibCatalog/CatalogCheck.h>
#include <map>
#include <set>
#include <utility>

namespace carobhinge {

static std::string placeOf(std::string_view List, std::size_t Index,
                           std::string_view Member) {
  return "/" + std::string(List) + "/" + std::to_string(Index) + "/" +
         std::string(Member);
}

static void checkServices(const Catalog &Given, const Route &Rule,
                          std::size_t Index, Findings &Out) {
  double Sum = 0;
  for (const ServiceWeight &Choice : Rule.Services) {
    if (Given.service(Choice.Service) == nullptr)
      Out.add(placeOf("routes", Index, "service"), "a service of this catalog",
              Choice.Service);
    if (Choice.Weight < 0)
      Out.add(placeOf("routes", Index, "weight"), "a weight of 0 or more",
              std::to_string(Choice.Weight));
    Sum += Choice.Weight;
  }
  if (!(Sum > 0))
    Out.add(placeOf("routes", Index, "weight"), "weights with a positive sum",
            std::to_string(Sum));
}

static void checkRoutes(const Catalog &Given, Findings &Out) {
  std::set<std::pair<std::string_view, std::string_view>> Places;
  for (std::size_t I = 0; I < Given.Routes.size(); ++I) {
    const Route &Rule = Given.Routes[I];
    if (!Places.emplace(Rule.Host, Rule.Prefix).second)
      Out.add(placeOf("routes", I, "prefix"), "a place of its own",
              Rule.Host + Rule.Prefix);
    if (Rule.Timeout <= Duration::zero())
      Out.add(placeOf("routes", I, "timeout"), "a timeout above 0 ms", "0");
    checkServices(Given, Rule, I, Out);
  }
}

static void checkKeys(const Catalog &Given, Findings &Out) {
  std::map<std::string_view, std::string_view> Holders;
  for (std::size_t I = 0; I < Given.Workspaces.size(); ++I)
    for (const std::string &Key : Given.Workspaces[I].Keys) {
      auto [Holder, New] = Holders.emplace(Key, Given.Workspaces[I].Name);
      if (!New && Holder->second != Given.Workspaces[I].Name)
        // The key itself is a secret and is not repeated.
        Out.add(placeOf("workspaces", I, "keys"),
                "keys of this workspace alone",
                "a key that " + std::string(Holder->second) + " holds too");
    }
}

Findings checkCatalog(const Catalog &Given) {
  Findings Out;
  checkRoutes(Given, Out);
  checkKeys(Given, Out);
  return Out;
}

} // namespace carobhinge
