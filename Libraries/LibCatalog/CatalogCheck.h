//===- LibCatalog/CatalogCheck.h - Validates a catalog --------------------===//
///
/// \file
/// Rules that a decoded catalog must satisfy before it is accepted, regardless
/// of its version.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_CATALOGCHECK_H
#define LIBCATALOG_CATALOGCHECK_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Findings.h>

namespace carobhinge {

/// \returns all violations: unknown services, routes with the same host and
/// prefix, negative weights, weights without a positive sum, missing timeouts
/// and keys that two workspaces share.
Findings checkCatalog(const Catalog &Candidate);

} // namespace carobhinge

#endif // LIBCATALOG_CATALOGCHECK_H
