//===- LibFleet/AnnouncementTable.cpp - The newest word of each endpoint --===//
///
/// \file
/// Takes newer announcements and forgets endpoints that are long gone.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/AnnouncementTable.h>

namespace carobhinge {

bool AnnouncementTable::take(TimePoint Now, const Announcement &New,
                             Duration Age) {
  auto Found = this->Heard.find(New.Endpoint);
  if (Found != this->Heard.end() && !isNewer(New, Found->second.Said))
    return false;
  this->Heard.insert_or_assign(New.Endpoint,
                               HeardAnnouncement{.Said = New, .At = Now - Age});
  return true;
}

const HeardAnnouncement *
AnnouncementTable::find(const EndpointName &Endpoint) const {
  auto Found = this->Heard.find(Endpoint);
  return Found == this->Heard.end() ? nullptr : &Found->second;
}

std::vector<EndpointName> AnnouncementTable::forget(TimePoint Now,
                                                    Duration Silence) {
  std::vector<EndpointName> Forgotten;
  for (const auto &[Name, Heard] : this->Heard)
    if (Now - Heard.At >= Heard.Said.Lifetime + Silence)
      Forgotten.push_back(Name);
  for (const EndpointName &Name : Forgotten)
    this->Heard.erase(Name);
  return Forgotten;
}

} // namespace carobhinge
