//===- LibServe/RouterTable.cpp - The routers of all services -------------===//
///
/// \file
/// Making and finding routers.
///
//===----------------------------------------------------------------------===//

#include <LibServe/RouterTable.h>

#include <LibCore/Hash.h>

namespace carobhinge {

RouterTable::RouterTable(boost::asio::any_io_executor Executor,
                         const Settings &Own)
    : Executor(std::move(Executor)), Own(Own) {}

static RouterOptions routerOptions(const Settings &Own,
                                   const ServiceName &Service) {
  RouterOptions Options;
  Options.Service = Service;
  Options.FailureDomain = Own.FailureDomain;
  Options.Seed = hash64(Own.Host, hash64(Service));
  Options.Policies = {.Admission = Own.Policies.Admission,
                      .Choice = Own.Policies.Choice,
                      .Deadlines = Own.Policies.Deadlines,
                      .Retries = Own.Policies.Retries,
                      .Hedges = Own.Policies.Hedges,
                      .Stragglers = Own.Policies.Stragglers,
                      .Spillover = Own.Policies.Spillover};
  Options.QueueLimit = static_cast<std::uint32_t>(Own.Bounds.QueuedRequests);
  return Options;
}

void RouterTable::intentChanged(const Intent &Wanted) {
  std::map<WorkspaceName, double> Weights;
  for (const WorkspaceSpec &Each : Wanted.Workspaces)
    Weights[Each.Name] = static_cast<double>(Each.Weight);
  std::lock_guard Guard(this->Lock);
  for (const ServiceSpec &Service : Wanted.Services) {
    std::unique_ptr<ServiceRouter> &Entry = this->Routers[Service.Name];
    if (!Entry)
      Entry = std::make_unique<ServiceRouter>(
          this->Executor, routerOptions(this->Own, Service.Name));
    Entry->weightsChanged(Weights);
    if (this->Draining)
      Entry->drain();
  }
}

ServiceRouter *RouterTable::find(const ServiceName &Service) const {
  std::lock_guard Guard(this->Lock);
  auto Found = this->Routers.find(Service);
  return Found == this->Routers.end() ? nullptr : Found->second.get();
}

std::vector<std::pair<ServiceName, ServiceRouter *>> RouterTable::all() const {
  std::vector<std::pair<ServiceName, ServiceRouter *>> Result;
  std::lock_guard Guard(this->Lock);
  for (const auto &[Service, Entry] : this->Routers)
    Result.emplace_back(Service, Entry.get());
  return Result;
}

void RouterTable::drain() {
  std::lock_guard Guard(this->Lock);
  this->Draining = true;
  for (const auto &[Service, Entry] : this->Routers)
    Entry->drain();
}

} // namespace carobhinge
