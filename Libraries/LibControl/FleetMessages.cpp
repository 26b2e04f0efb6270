//===- LibControl/FleetMessages.cpp - Conversion of engine reports --------===//

#include <LibControl/FleetMessages.h>

namespace carobhinge {

message::EngineReportMessage toMessage(const EngineReport &Report,
                                       Duration Age) {
  message::EngineReportMessage Result;
  Result.set_id(Report.Id);
  Result.set_address(Report.Address);
  Result.set_service(Report.Service);
  Result.set_failure_domain(Report.FailureDomain);
  Result.set_fabric_domain(Report.Fabric);
  Result.set_born_ms(Report.StartedAtMs);
  Result.set_sequence(Report.Sequence);
  Result.set_leaving(Report.Leaving);
  Result.set_still_cold_ms(milliseconds(Report.RemainingColdTime));
  Result.set_slots(Report.Slots);
  for (const ModelName &Model : Report.StagedModels)
    Result.add_staged(Model);
  if (Report.Group) {
    message::MembershipMessage &Group = *Result.mutable_group();
    Group.set_group(Report.Group->Group);
    Group.set_epoch(Report.Group->Epoch);
    Group.set_rank(Report.Group->Rank);
    Group.set_state(static_cast<std::int32_t>(Report.Group->State));
  }
  Result.set_age_ms(milliseconds(Age));
  return Result;
}

EngineReport fromMessage(const message::EngineReportMessage &Message) {
  EngineReport Result{
      .Id = Message.id(),
      .Address = Message.address(),
      .Service = Message.service(),
      .FailureDomain = Message.failure_domain(),
      .Fabric = Message.fabric_domain(),
      .StartedAtMs = Message.born_ms(),
      .Sequence = Message.sequence(),
      .Leaving = Message.leaving(),
      .RemainingColdTime = std::chrono::milliseconds(Message.still_cold_ms()),
      .Slots = Message.slots(),
      .StagedModels = {Message.staged().begin(), Message.staged().end()},
      .Group = {}};
  if (Message.has_group())
    Result.Group = GroupMembership{
        .Group = Message.group().group(),
        .Epoch = Message.group().epoch(),
        .Rank = Message.group().rank(),
        .State = static_cast<MemberState>(Message.group().state())};
  return Result;
}

} // namespace carobhinge
