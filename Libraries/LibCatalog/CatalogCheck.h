//===- LibCatalog/CatalogCheck.h - Whether a catalog may be in force ------===//
///
/// \file
/// The rules that a decoded catalog must keep before it is accepted, whatever
/// its version. All findings are reported together.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_CATALOGCHECK_H
#define LIBCATALOG_CATALOGCHECK_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Findings.h>

namespace carobhinge {

/// Unknown services, routes with the same host and prefix, weights that add up
/// to nothing, missing timeouts, and keys that two workspaces share.
Findings checkCatalog(const Catalog &Given);

} // namespace carobhinge

#endif // LIBCATALOG_CATALOGCHECK_H
