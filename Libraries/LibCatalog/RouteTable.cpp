//===- LibCatalog/RouteTable.cpp - Index of routes and keys ---------------===//

#include <LibCatalog/RouteTable.h>
#include <cassert>

namespace carobhinge {

RouteTable::RouteTable(Catalog Source) : Content(std::move(Source)) {
  for (const Route &Rule : this->Content.Routes)
    this->ByHost[Rule.Host][Rule.Prefix] = &Rule;
  for (const Workspace &Owner : this->Content.Workspaces)
    for (const std::string &Key : Owner.Keys)
      this->ByKey[Key] = &Owner;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  auto Routes = this->ByHost.find(Host);
  if (Routes == this->ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only parts of the path that end with one can
  // match.
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    auto Found = Routes->second.find(Path.substr(0, Slash + 1));
    if (Found != Routes->second.end())
      return Found->second;
  }
  return nullptr;
}

const Workspace *RouteTable::findWorkspace(std::string_view Key) const {
  auto Found = this->ByKey.find(Key);
  return Found == this->ByKey.end() ? nullptr : Found->second;
}

const ServiceName &RouteTable::chooseService(const Route &Rule,
                                             double Fraction) {
  assert(!Rule.Services.empty() && "A checked route has at least one service");
  double Sum = 0;
  for (const ServiceWeight &Choice : Rule.Services)
    Sum += Choice.Weight;
  double Point = Fraction * Sum;
  for (const ServiceWeight &Choice : Rule.Services) {
    if (Point < Choice.Weight)
      return Choice.Service;
    Point -= Choice.Weight;
  }
  // Rounding may place the point behind the last weight.
  for (auto Choice = Rule.Services.rbegin(); Choice != Rule.Services.rend();
       ++Choice)
    if (Choice->Weight > 0)
      return Choice->Service;
  return Rule.Services.back().Service;
}

} // namespace carobhinge
