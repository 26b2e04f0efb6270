//===- LibFleet/FleetMessages.cpp - Fleet messages between entry hosts ----===//
///
/// \file
/// Converts messages field by field.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FleetMessages.h>

#include <stdexcept>

namespace carobhinge {

static_assert(static_cast<int>(GroupState::Broken) ==
              message::RosterUpdate::BROKEN);

message::RosterUpdate toMessage(const Roster &Source) {
  message::RosterUpdate Result;
  Result.set_failure_domain(Source.FailureDomain);
  Result.set_epoch(Source.Epoch);
  Result.set_sequence(Source.Sequence);
  for (const RosterGroup &SourceGroup : Source.Groups) {
    message::RosterUpdate::Group &Group = *Result.add_groups();
    Group.set_group(SourceGroup.Group);
    Group.set_number(SourceGroup.Number);
    Group.set_service(SourceGroup.Service);
    Group.set_version(SourceGroup.Version);
    Group.set_fabric_domain(SourceGroup.FabricDomain);
    Group.set_state(
        static_cast<message::RosterUpdate::State>(SourceGroup.State));
    for (const RosterMember &SourceMember : SourceGroup.Members) {
      message::RosterUpdate::Member &Member = *Group.add_members();
      Member.set_endpoint(SourceMember.Endpoint);
      Member.set_incarnation(SourceMember.IncarnationNumber);
    }
  }
  return Result;
}

Roster fromMessage(const message::RosterUpdate &Source) {
  Roster Result = {.FailureDomain = Source.failure_domain(),
                   .Epoch = Source.epoch(),
                   .Sequence = Source.sequence()};
  for (const message::RosterUpdate::Group &SourceGroup : Source.groups()) {
    if (!message::RosterUpdate::State_IsValid(SourceGroup.state()))
      throw std::invalid_argument("roster with an unknown group state");
    RosterGroup &Group = Result.Groups.emplace_back();
    Group.Group = SourceGroup.group();
    Group.Number = SourceGroup.number();
    Group.Service = SourceGroup.service();
    Group.Version = SourceGroup.version();
    Group.FabricDomain = SourceGroup.fabric_domain();
    Group.State = static_cast<GroupState>(SourceGroup.state());
    for (const message::RosterUpdate::Member &SourceMember :
         SourceGroup.members())
      Group.Members.push_back(
          {.Endpoint = SourceMember.endpoint(),
           .IncarnationNumber = SourceMember.incarnation()});
  }
  return Result;
}

message::RosterDigest makeDigest(const Roster &Source) {
  message::RosterDigest Result;
  Result.set_failure_domain(Source.FailureDomain);
  Result.set_epoch(Source.Epoch);
  Result.set_sequence(Source.Sequence);
  return Result;
}

message::OutstandingWork toMessage(const OutstandingReport &Source) {
  message::OutstandingWork Result;
  Result.set_entry_host(Source.EntryHost);
  Result.set_epoch(Source.Epoch);
  Result.set_sequence(Source.Sequence);
  Result.set_known_epoch(Source.KnownEpoch);
  Result.set_requests(Source.Requests);
  for (const auto &[Group, Count] : Source.Count) {
    message::OutstandingWork::Item &Item = *Result.add_items();
    Item.set_group(Group);
    Item.set_count(Count);
  }
  return Result;
}

OutstandingReport fromMessage(const message::OutstandingWork &Source) {
  OutstandingReport Result = {.EntryHost = Source.entry_host(),
                              .Epoch = Source.epoch(),
                              .Sequence = Source.sequence(),
                              .KnownEpoch = Source.known_epoch()};
  for (const message::OutstandingWork::Item &Item : Source.items())
    Result.Count[Item.group()] = Item.count();
  Result.Requests = Source.requests();
  return Result;
}

} // namespace carobhinge
