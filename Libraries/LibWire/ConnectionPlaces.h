//===- LibWire/ConnectionPlaces.h - Who may hold a connection -------------===//
///
/// \file
/// A server has a limit of connections. Some hosts, such as the voters of a
/// log, have a few places of their own, which no other connection can take.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_CONNECTIONPLACES_H
#define LIBWIRE_CONNECTIONPLACES_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

class ConnectionPlaces {
public:
  /// Of each known host. It needs one; those that it has lost keep theirs until
  /// their pings time out, while it connects again.
  static constexpr std::size_t OwnPlaces = 8;

  struct Place {
    /// The host whose own place it is; empty: a common place.
    std::string OwnerIp;
  };

  /// \p Limit is the number of common places.
  explicit ConnectionPlaces(std::size_t Limit) : Limit(Limit) {}

  /// Takes a place for a connection from \p Ip: an own one if \p IsKnownHost
  /// and one is free, else a common one. \returns nothing if there is none.
  std::optional<Place> take(std::string_view Ip, bool IsKnownHost);
  void giveBack(const Place &Taken);

private:
  std::size_t Limit;
  std::size_t CommonTaken = 0;
  /// By IP address; without those that have taken none.
  std::map<std::string, std::size_t, std::less<>> OwnTaken;
};

} // namespace carobhinge

#endif // LIBWIRE_CONNECTIONPLACES_H
