//===- LibCore/Names.h - Types of identifiers -----------------------------===//
///
/// \file
/// Aliases for the identifiers that all libraries share. The types are plain
/// strings and numbers; the alias shows which kind of thing a parameter names.
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
/// A back end that has announced itself: a model engine or a plain service.
using EndpointName = std::string;
using GroupName = std::string;
/// Hash of one part of a prompt. Callers choose it.
using PromptPart = std::uint64_t;

/// Changes each time a process or endpoint starts, so that a guarantee given to
/// an earlier incarnation never counts for a later one.
using Incarnation = std::uint64_t;

/// Every order carries one; of two orders the one with the larger token takes
/// precedence. Zero means that no order was received yet.
using FencingToken = std::uint64_t;

} // namespace carobhinge

#endif // LIBCORE_NAMES_H
