//===- LibFleet/AnnouncementTable.cpp - Newest announcement per endpoint --===//
///
/// \file
/// Accepts newer announcements and removes endpoints after their expiry.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/AnnouncementTable.h>

namespace carobhinge {

bool AnnouncementTable::update(TimePoint Now,
                               const Announcement &NewAnnouncement,
                               Duration Age) {
  auto Found = this->Entries.find(NewAnnouncement.Endpoint);
  if (Found != this->Entries.end() &&
      !isNewer(NewAnnouncement, Found->second.Content))
    return false;
  this->Entries.insert_or_assign(
      NewAnnouncement.Endpoint, ReceivedAnnouncement{.Content = NewAnnouncement,
                                                     .ReceivedAt = Now - Age});
  return true;
}

const ReceivedAnnouncement *
AnnouncementTable::find(const EndpointName &Endpoint) const {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

std::vector<EndpointName> AnnouncementTable::removeExpired(TimePoint Now,
                                                           Duration Retention) {
  std::vector<EndpointName> Expired;
  for (const auto &[Name, Entry] : this->Entries)
    if (Now - Entry.ReceivedAt >= Entry.Content.Lifetime + Retention)
      Expired.push_back(Name);
  for (const EndpointName &Name : Expired)
    this->Entries.erase(Name);
  return Expired;
}

} // namespace carobhinge
