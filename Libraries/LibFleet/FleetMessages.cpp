//===- LibFleet/FleetMessages.cpp - Fleet messages between entry hosts ----===//
///
/// \file
/// Field by field.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FleetMessages.h>

#include <stdexcept>

namespace carobhinge {

static_assert(static_cast<int>(GroupState::Broken) ==
              message::RosterUpdate::BROKEN);

message::RosterUpdate toMessage(const Roster &From) {
  message::RosterUpdate Result;
  Result.set_failure_domain(From.FailureDomain);
  Result.set_epoch(From.Epoch);
  Result.set_sequence(From.Sequence);
  for (const RosterGroup &Each : From.Groups) {
    message::RosterUpdate::Group &Group = *Result.add_groups();
    Group.set_group(Each.Group);
    Group.set_number(Each.Number);
    Group.set_service(Each.Service);
    Group.set_version(Each.Version);
    Group.set_fabric_domain(Each.FabricDomain);
    Group.set_state(static_cast<message::RosterUpdate::State>(Each.State));
    for (const RosterMember &Of : Each.Members) {
      message::RosterUpdate::Member &Member = *Group.add_members();
      Member.set_endpoint(Of.Endpoint);
      Member.set_incarnation(Of.Life);
    }
  }
  return Result;
}

Roster fromMessage(const message::RosterUpdate &From) {
  Roster Result = {.FailureDomain = From.failure_domain(),
                   .Epoch = From.epoch(),
                   .Sequence = From.sequence()};
  for (const message::RosterUpdate::Group &Each : From.groups()) {
    if (!message::RosterUpdate::State_IsValid(Each.state()))
      throw std::invalid_argument("roster with an unknown group state");
    RosterGroup &Group = Result.Groups.emplace_back();
    Group.Group = Each.group();
    Group.Number = Each.number();
    Group.Service = Each.service();
    Group.Version = Each.version();
    Group.FabricDomain = Each.fabric_domain();
    Group.State = static_cast<GroupState>(Each.state());
    for (const message::RosterUpdate::Member &Of : Each.members())
      Group.Members.push_back(
          {.Endpoint = Of.endpoint(), .Life = Of.incarnation()});
  }
  return Result;
}

message::RosterDigest digestOf(const Roster &Of) {
  message::RosterDigest Result;
  Result.set_failure_domain(Of.FailureDomain);
  Result.set_epoch(Of.Epoch);
  Result.set_sequence(Of.Sequence);
  return Result;
}

message::OutstandingWork toMessage(const OutstandingReport &From) {
  message::OutstandingWork Result;
  Result.set_entry_host(From.EntryHost);
  Result.set_epoch(From.Epoch);
  Result.set_sequence(From.Sequence);
  Result.set_known_epoch(From.KnownEpoch);
  for (const auto &[Group, Count] : From.Count) {
    message::OutstandingWork::Item &Item = *Result.add_items();
    Item.set_group(Group);
    Item.set_count(Count);
  }
  return Result;
}

OutstandingReport fromMessage(const message::OutstandingWork &From) {
  OutstandingReport Result = {.EntryHost = From.entry_host(),
                              .Epoch = From.epoch(),
                              .Sequence = From.sequence(),
                              .KnownEpoch = From.known_epoch()};
  for (const message::OutstandingWork::Item &Item : From.items())
    Result.Count[Item.group()] = Item.count();
  return Result;
}

} // namespace carobhinge
