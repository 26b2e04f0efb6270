//===- LibFleet/AnnouncementTable.h - Newest announcement per endpoint ----===//
///
/// \file
/// Stores the newest announcement of each endpoint. Announcements arrive late,
/// duplicated and over several paths. Only those that are newer than the stored
/// one are accepted, so that an earlier incarnation never overrides a later one
/// and a duplicate never extends a lifetime.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ANNOUNCEMENTTABLE_H
#define LIBFLEET_ANNOUNCEMENTTABLE_H

#include <LibFleet/Announcement.h>
#include <unordered_map>
#include <vector>

namespace carobhinge {

struct ReceivedAnnouncement {
  Announcement Content;
  /// When it was sent, on this host's clock, as far as its age is known.
  TimePoint ReceivedAt;

  [[nodiscard]] bool isFresh(TimePoint Now) const {
    return Now - this->ReceivedAt < this->Content.Lifetime;
  }
};

class AnnouncementTable {
public:
  using Map = std::unordered_map<EndpointName, ReceivedAnnouncement>;

  /// \p Age is the time since the announcement reached the first entry host.
  /// Returns false and stores nothing if it is not newer than the stored one.
  bool update(TimePoint Now, const Announcement &NewAnnouncement, Duration Age);

  [[nodiscard]] const ReceivedAnnouncement *
  find(const EndpointName &Endpoint) const;

  /// Removes endpoints whose announcement expired at least \p Retention ago and
  /// returns their names.
  std::vector<EndpointName> removeExpired(TimePoint Now, Duration Retention);

  [[nodiscard]] const Map &all() const { return this->Entries; }

private:
  Map Entries;
};

} // namespace carobhinge

#endif // LIBFLEET_ANNOUNCEMENTTABLE_H
