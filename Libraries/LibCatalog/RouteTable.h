//===- LibCatalog/RouteTable.h - Index of routes and keys -----------------===//
///
/// \file
/// Immutable index of one version of the catalog. It is built once when the
/// version takes effect, so that a request can use the same version until it
/// ends.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_ROUTETABLE_H
#define LIBCATALOG_ROUTETABLE_H

#include <LibCatalog/Catalog.h>
#include <map>
#include <string_view>
#include <unordered_map>

namespace carobhinge {

/// Finds the route and the workspace of a request.
class RouteTable {
public:
  explicit RouteTable(Catalog Source);

  /// \returns the route of \p Host with the longest prefix of \p Path, or null.
  /// \p Path has no query.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

  /// \returns the workspace that owns \p Key, or null.
  [[nodiscard]] const Workspace *findWorkspace(std::string_view Key) const;

  /// Selects a service of \p Entry in proportion to the weights. \p Fraction is
  /// in [0, 1) and at least one weight is positive.
  [[nodiscard]] static const ServiceName &chooseService(const Route &Entry,
                                                        double Fraction);

  [[nodiscard]] const Catalog &catalog() const { return this->Content; }
  /// \returns whether requests to routes that aren't public need a key.
  [[nodiscard]] bool requiresKeys() const {
    return !this->Content.Workspaces.empty();
  }

private:
  Catalog Content;
  /// Routes by host and prefix. Keys and values refer to Content, which never
  /// changes.
  std::unordered_map<std::string_view,
                     std::map<std::string_view, const Route *>>
      ByHost;
  std::unordered_map<std::string_view, const Workspace *> ByKey;
};

} // namespace carobhinge

#endif // LIBCATALOG_ROUTETABLE_H
