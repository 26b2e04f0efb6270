//===- LibCatalog/RouteTable.cpp - Index of routes and keys ---------------===//

#include <LibCatalog/RouteTable.h>
#include <cassert>

namespace carobhinge {

RouteTable::RouteTable(Catalog Source) : Content(std::move(Source)) {
  for (const Route &Entry : this->Content.Routes)
    this->ByHost[Entry.Host][Entry.Prefix] = &Entry;
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

const ServiceName &RouteTable::chooseService(const Route &Entry,
                                             double Fraction) {
  assert(!Entry.Services.empty() && "A checked route has at least one service");
  double Sum = 0;
  for (const ServiceWeight &Choice : Entry.Services)
    Sum += Choice.Weight;
  double Point = Fraction * Sum;
  for (const ServiceWeight &Choice : Entry.Services) {
    if (Point < Choice.Weight)
      return Choice.Service;
    Point -= Choice.Weight;
  }
  // Rounding may place the point behind the last weight.
  for (auto Choice = Entry.Services.rbegin(); Choice != Entry.Services.rend();
       ++Choice)
    if (Choice->Weight > 0)
      return Choice->Service;
  return Entry.Services.back().Service;
}

} // namespace carobhinge
