//===- LibCore/Names.h - Names of the things the system deals with --------===//
///
/// \file
/// The identifiers shared by all libraries. They are plain strings; the alias
/// tells a reader which kind of thing a parameter names.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_NAMES_H
#define LIBCORE_NAMES_H

#include <cstdint>
#include <string>

namespace carobhinge {

/// A host of the system itself (entry or control), unique in the cluster.
using HostName = std::string;
using RegionName = std::string;
using FailureDomainName = std::string;
/// Hosts of one fabric domain share a fast interconnect. A fabric domain lies
/// inside one failure domain.
using FabricDomainName = std::string;
using WorkspaceName = std::string;
using ServiceName = std::string;
/// A back end that announced itself: a model engine or a plain service.
using EndpointName = std::string;
using GroupName = std::string;

/// Changes each time a process or endpoint starts, so that what was promised
/// to an earlier life is never mistaken for a promise to this one.
using Incarnation = std::uint64_t;

/// Orders carry one; a larger number wins. Zero means "never ordered".
using FencingNumber = std::uint64_t;

} // namespace carobhinge

#endif // LIBCORE_NAMES_H
