//===- LibSettings/PolicyNames.h - Names of the policies ------------------===//
///
/// \file
/// The policy names that settings may select. The first name of each list is
/// the default. Each list also holds the simplest baseline, so that the two can
/// be compared by measurement.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_POLICYNAMES_H
#define LIBSETTINGS_POLICYNAMES_H

#include <array>
#include <string_view>

namespace carobhinge {

template <std::size_t Count>
using PolicyNames = std::array<std::string_view, Count>;

inline constexpr PolicyNames<2> AdmissionPolicyNames = {"fair", "fifo"};
inline constexpr PolicyNames<3> ChoicePolicyNames = {
    "prefix-affinity", "two-choices", "round-robin"};
inline constexpr PolicyNames<2> DeadlinePolicyNames = {"estimate", "none"};
inline constexpr PolicyNames<3> RetryPolicyNames = {"budgeted", "none",
                                                    "unlimited"};
inline constexpr PolicyNames<3> HedgePolicyNames = {"budgeted", "none",
                                                    "unlimited"};
inline constexpr PolicyNames<2> StragglerPolicyNames = {"peer-mean", "none"};
inline constexpr PolicyNames<2> SpilloverPolicyNames = {"spare-capacity",
                                                        "none"};
inline constexpr PolicyNames<2> GroupPolicyNames = {"loaded-rank",
                                                    "announcement-order"};
inline constexpr PolicyNames<2> RepairPolicyNames = {"spare-first",
                                                     "fixed-timeout"};

} // namespace carobhinge

#endif // LIBSETTINGS_POLICYNAMES_H
