//===- LibFleet/AnnouncementTable.h - The newest word of each endpoint ----===//
///
/// \file
/// Keeps the newest announcement of each endpoint. Announcements arrive late,
/// twice and by several ways; only one that is newer than what is known is
/// taken, so that an earlier incarnation never speaks for a later one and a
/// duplicate never extends a lifetime.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ANNOUNCEMENTTABLE_H
#define LIBFLEET_ANNOUNCEMENTTABLE_H

#include <LibFleet/Announcement.h>
#include <unordered_map>
#include <vector>

namespace carobhinge {

struct HeardAnnouncement {
  Announcement Said;
  /// When it was made, on this host's clock, as far as its age is known.
  TimePoint At;

  [[nodiscard]] bool isFresh(TimePoint Now) const {
    return Now - this->At < this->Said.Lifetime;
  }
};

class AnnouncementTable {
public:
  using Map = std::unordered_map<EndpointName, HeardAnnouncement>;

  /// \p Age is how long ago the announcement reached the system. False if it
  /// is not newer than what is known.
  bool take(TimePoint Now, const Announcement &New, Duration Age);

  [[nodiscard]] const HeardAnnouncement *
  find(const EndpointName &Endpoint) const;

  /// Forgets endpoints that were silent for longer than \p Silence beyond
  /// their lifetime and returns their names.
  std::vector<EndpointName> forget(TimePoint Now, Duration Silence);

  [[nodiscard]] const Map &all() const { return this->Heard; }

private:
  Map Heard;
};

} // namespace carobhinge

#endif // LIBFLEET_ANNOUNCEMENTTABLE_H
