//===- LibSettings/PolicyNames.h - Names of the policies ------------------===//
///
/// \file
/// The names that settings may choose from. The first of each is the default;
/// the simplest baseline stands beside it, so that both can be measured.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_POLICYNAMES_H
#define LIBSETTINGS_POLICYNAMES_H

#include <array>
#include <string_view>

namespace carobhinge {

inline constexpr std::array<std::string_view, 2> AdmissionPolicyNames = {
    "weighted-fair", "first-come"};
inline constexpr std::array<std::string_view, 2> ChoicePolicyNames = {
    "least-work", "round-robin"};
inline constexpr std::array<std::string_view, 2> GroupPolicyNames = {
    "fabric-packing", "announcement-order"};
inline constexpr std::array<std::string_view, 2> RepairPolicyNames = {
    "spare-first", "re-form"};

} // namespace carobhinge

#endif // LIBSETTINGS_POLICYNAMES_H
