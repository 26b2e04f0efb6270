//===- LibFleet/AnnouncementTable.cpp - Newest announcement per endpoint --===//
///
/// \file
/// Accepts newer announcements and removes endpoints after their expiry.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/AnnouncementTable.h>

namespace carobhinge {

bool AnnouncementTable::update(TimePoint Now, const Announcement &New,
                               Duration Age) {
  auto Found = this->Entries.find(New.Endpoint);
  if (Found != this->Entries.end() && !isNewer(New, Found->second.Content))
    return false;
  this->Entries.insert_or_assign(
      New.Endpoint,
      ReceivedAnnouncement{.Content = New, .ReceivedAt = Now - Age});
  return true;
}

const ReceivedAnnouncement *
AnnouncementTable::find(const EndpointName &Endpoint) const {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

std::vector<EndpointName> AnnouncementTable::forget(TimePoint Now,
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
