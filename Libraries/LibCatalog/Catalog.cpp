//===- LibCatalog/Catalog.cpp - Lookup of services and models by name -----===//

#include <LibCatalog/Catalog.h>
#include <algorithm>

namespace carobhinge {

const ModelSpec *EngineSpec::model(std::string_view Name) const {
  auto Found = std::ranges::find(this->Models, Name, &ModelSpec::Name);
  return Found == this->Models.end() ? nullptr : &*Found;
}

const Service *Catalog::service(std::string_view Name) const {
  auto Found = std::ranges::find(this->Services, Name, &Service::Name);
  return Found == this->Services.end() ? nullptr : &*Found;
}

} // namespace carobhinge
