//===- LibCatalog/RouteTable.h - Finds the route and the workspace --------===//
///
/// \file
/// An index over one version of the catalog. It is built once when the version
/// comes into force and not changed afterwards, so that a request which began
/// under it can keep it.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_ROUTETABLE_H
#define LIBCATALOG_ROUTETABLE_H

#include <LibCatalog/Catalog.h>
#include <map>
#include <string_view>
#include <unordered_map>

namespace carobhinge {

class RouteTable {
public:
  explicit RouteTable(Catalog Given);

  /// The route of \p Host with the longest prefix that begins \p Path, or
  /// null. \p Path is without a query.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

  /// The workspace that holds \p Key, or null.
  [[nodiscard]] const Workspace *holder(std::string_view Key) const;

  /// One service of \p Rule by its weights. \p Fraction is in [0, 1).
  [[nodiscard]] static const ServiceName &chooseService(const Route &Rule,
                                                        double Fraction);

  [[nodiscard]] const Catalog &catalog() const { return this->Content; }
  [[nodiscard]] bool asksForKeys() const {
    return !this->Content.Workspaces.empty();
  }

private:
  Catalog Content;
  /// Host, then prefix. Both point into Content, which never changes.
  std::unordered_map<std::string_view,
                     std::map<std::string_view, const Route *>>
      ByHost;
  std::unordered_map<std::string_view, const Workspace *> ByKey;
};

} // namespace carobhinge

#endif // LIBCATALOG_ROUTETABLE_H
