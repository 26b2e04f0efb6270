//===- LibFormation/GroupNames.h - Model and kind encoded in group names --===//
///
/// \file
/// Engines report the name of their group but not its model, and a new leader
/// has only these reports. The name therefore encodes the model and whether the
/// group is a reserve: MODEL.g-NUMBER or MODEL.r-NUMBER.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_GROUPNAMES_H
#define LIBFORMATION_GROUPNAMES_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobhinge {

inline GroupName servingGroupName(const ModelName &Model,
                                  std::uint64_t Number) {
  return Model + ".g-" + std::to_string(Number);
}

inline GroupName reserveGroupName(const ModelName &Model,
                                  std::uint64_t Number) {
  return Model + ".r-" + std::to_string(Number);
}

/// \returns the model that the name encodes. A name of another form is returned
/// unchanged and matches no model.
inline ModelName modelFromGroupName(std::string_view Name) {
  return ModelName(Name.substr(0, Name.rfind('.')));
}

inline bool isReserveName(std::string_view Name) {
  std::size_t Dot = Name.rfind('.');
  return Dot != std::string_view::npos &&
         Name.substr(Dot + 1).starts_with("r-");
}

} // namespace carobhinge

#endif // LIBFORMATION_GROUPNAMES_H
