//===- LibIntent/Intent.cpp - Look-ups in the typed intent ----------------===//
///
/// \file
/// Finds specs by name, and the call that matches a request.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/Intent.h>

#include <algorithm>
#include <cctype>

namespace carobhinge {

template <typename Spec>
static const Spec *findByName(const std::vector<Spec> &List,
                              std::string_view Name) {
  auto Found = std::ranges::find(List, Name, &Spec::Name);
  return Found == List.end() ? nullptr : &*Found;
}

const FailureDomainSpec *
Intent::findFailureDomain(std::string_view Name) const {
  return findByName(this->FailureDomains, Name);
}

const WorkspaceSpec *Intent::findWorkspace(std::string_view Name) const {
  return findByName(this->Workspaces, Name);
}

const ClassSpec *Intent::findClass(std::string_view Name) const {
  return findByName(this->Classes, Name);
}

const ServiceSpec *Intent::findService(std::string_view Name) const {
  return findByName(this->Services, Name);
}

/// Returns whether every way of normalising \p Path leaves it unchanged.
static bool isUnambiguous(std::string_view Path) {
  std::string Lower(Path);
  std::ranges::transform(Lower, Lower.begin(),
                         [](unsigned char C) { return std::tolower(C); });
  for (std::string_view ForbiddenPart :
       {"//", "/./", "/../", "\\", "%2e", "%2f", "%5c"})
    if (Lower.find(ForbiddenPart) != std::string::npos)
      return false;
  return !Path.ends_with("/.") && !Path.ends_with("/..");
}

bool CallSpec::matches(std::string_view Method, std::string_view Path) const {
  if (Method != this->Method || !isUnambiguous(Path))
    return false;
  std::string_view Pattern = this->Path;
  if (!Pattern.ends_with('*'))
    return Path == Pattern;
  Pattern.remove_suffix(1);
  return Path.starts_with(Pattern);
}

bool CallSpec::overlaps(const CallSpec &Other) const {
  if (this->Method != Other.Method)
    return false;
  std::string_view Prefix = this->Path;
  std::string_view OtherPrefix = Other.Path;
  bool IsWildcard = Prefix.ends_with('*');
  bool OtherIsWildcard = OtherPrefix.ends_with('*');
  Prefix.remove_suffix(IsWildcard);
  OtherPrefix.remove_suffix(OtherIsWildcard);
  return (IsWildcard && OtherPrefix.starts_with(Prefix)) ||
         (OtherIsWildcard && Prefix.starts_with(OtherPrefix)) ||
         Prefix == OtherPrefix;
}

const CallSpec *ServiceSpec::findCall(std::string_view Method,
                                      std::string_view Path) const {
  auto Found = std::ranges::find_if(this->Calls, [&](const CallSpec &Call) {
    return Call.matches(Method, Path);
  });
  return Found == this->Calls.end() ? nullptr : &*Found;
}

} // namespace carobhinge
