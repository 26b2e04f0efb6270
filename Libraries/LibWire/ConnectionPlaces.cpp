//===- LibWire/ConnectionPlaces.cpp - Who may hold a connection -----------===//

#include <LibWire/ConnectionPlaces.h>

namespace carobhinge {

std::optional<ConnectionPlaces::Place>
ConnectionPlaces::take(std::string_view Ip, bool IsKnownHost) {
  if (IsKnownHost && !Ip.empty()) {
    std::size_t &Taken = this->OwnTaken[std::string(Ip)];
    if (Taken < OwnPlaces) {
      ++Taken;
      return Place{.OwnerIp = std::string(Ip)};
    }
  }
  if (this->CommonTaken >= this->Limit)
    return std::nullopt;
  ++this->CommonTaken;
  return Place{};
}

void ConnectionPlaces::giveBack(const Place &Taken) {
  if (Taken.OwnerIp.empty()) {
    --this->CommonTaken;
    return;
  }
  auto Owner = this->OwnTaken.find(Taken.OwnerIp);
  if (--Owner->second == 0)
    this->OwnTaken.erase(Owner);
}

} // namespace carobhinge
