//===- LibFleet/PlannerGrants.cpp - Planner grants of failure domains -----===//
///
/// \file
/// Applies commands by compare-and-set on the epoch, and converts snapshots.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/PlannerGrants.h>

#include <stdexcept>

namespace carobhinge {

static RecordedOrder
fromMessage(const message::PlannerCommand::OpenOrder &Message) {
  return {.Endpoint = Message.endpoint(),
          .IncarnationNumber = Message.incarnation(),
          .Number = Message.number()};
}

bool PlannerGrants::apply(const message::PlannerCommand &Command) {
  if (Command.has_grant())
    return this->grant(Command.grant());
  if (Command.has_record())
    return this->record(Command.record());
  return false;
}

bool PlannerGrants::grant(const message::PlannerCommand::Grant &Command) {
  auto Found = this->Domains.find(Command.failure_domain());
  std::uint64_t Epoch = Found == this->Domains.end() ? 0 : Found->second.Epoch;
  if (Command.expected_epoch() != Epoch)
    return false;
  PlannerGrant &Grant = this->Domains[Command.failure_domain()];
  Grant.Host = Command.host();
  Grant.HostIncarnation = Command.incarnation();
  Grant.Epoch = Epoch + 1;
  return true;
}

bool PlannerGrants::record(const message::PlannerCommand::Record &Command) {
  auto Found = this->Domains.find(Command.failure_domain());
  if (Found == this->Domains.end() || Found->second.Epoch != Command.epoch())
    return false;
  std::map<EndpointName, RecordedOrder> &Orders = Found->second.Orders;
  for (const auto &Each : Command.settled()) {
    auto Recorded = Orders.find(Each.endpoint());
    if (Recorded != Orders.end() && Recorded->second == fromMessage(Each))
      Orders.erase(Recorded);
  }
  for (const auto &Each : Command.orders())
    Orders.insert_or_assign(Each.endpoint(), fromMessage(Each));
  return true;
}

const PlannerGrant *
PlannerGrants::find(const FailureDomainName &FailureDomain) const {
  auto Found = this->Domains.find(FailureDomain);
  return Found == this->Domains.end() ? nullptr : &Found->second;
}

std::string PlannerGrants::snapshot() const {
  message::PlannerGrantsSnapshot Result;
  for (const auto &[Name, Grant] : this->Domains) {
    auto &Domain = *Result.add_domains();
    Domain.set_failure_domain(Name);
    Domain.set_host(Grant.Host);
    Domain.set_incarnation(Grant.HostIncarnation);
    Domain.set_epoch(Grant.Epoch);
    for (const auto &[Endpoint, Recorded] : Grant.Orders) {
      auto &Order = *Domain.add_orders();
      Order.set_endpoint(Endpoint);
      Order.set_incarnation(Recorded.IncarnationNumber);
      Order.set_number(Recorded.Number);
    }
  }
  return Result.SerializeAsString();
}

void PlannerGrants::restore(std::string_view Bytes) {
  message::PlannerGrantsSnapshot Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    throw std::invalid_argument("not a snapshot of planner grants");
  this->Domains.clear();
  for (const auto &Domain : Message.domains()) {
    PlannerGrant &Grant = this->Domains[Domain.failure_domain()];
    Grant.Host = Domain.host();
    Grant.HostIncarnation = Domain.incarnation();
    Grant.Epoch = Domain.epoch();
    for (const auto &Each : Domain.orders())
      Grant.Orders.emplace(Each.endpoint(), fromMessage(Each));
  }
}

} // namespace carobhinge
