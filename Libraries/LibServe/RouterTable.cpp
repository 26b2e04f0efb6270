//===- LibServe/RouterTable.cpp - The routers of all services -------------===//
///
/// \file
/// Making and finding routers.
///
//===----------------------------------------------------------------------===//

#include <LibServe/RouterTable.h>

#include <LibCore/Hash.h>
#include <algorithm>

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
  // The entry hosts of a failure domain see the same spare slots elsewhere.
  auto SameDomain = std::ranges::count_if(Own.Peers, [&Own](const Peer &Each) {
    return Each.Does.Entry && Each.FailureDomain == Own.FailureDomain;
  });
  Options.SpareShare = 1.0 / static_cast<double>(1 + SameDomain);
  return Options;
}

static std::ptrdiff_t entryHostCount(const Settings &Own) {
  return 1 + std::ranges::count_if(
                 Own.Peers, [](const Peer &Each) { return Each.Does.Entry; });
}

void RouterTable::intentChanged(const Intent &Wanted) {
  std::map<WorkspaceName, double> Weights;
  std::map<WorkspaceName, std::uint32_t> QueueLimits;
  std::map<WorkspaceName, double> Rates;
  for (const WorkspaceSpec &Each : Wanted.Workspaces) {
    Weights[Each.Name] = static_cast<double>(Each.Weight);
    // Each entry host takes its part of the workspace's rate.
    if (Each.RequestsPerSecond)
      Rates[Each.Name] = static_cast<double>(*Each.RequestsPerSecond) /
                         static_cast<double>(entryHostCount(this->Own));
    if (Each.QueueLimit > 0)
      QueueLimits[Each.Name] = static_cast<std::uint32_t>(Each.QueueLimit);
  }
  std::lock_guard Guard(this->Lock);
  this->Rates.setRates(monotonicNow(), Rates);
  for (const ServiceSpec &Service : Wanted.Services) {
    std::unique_ptr<ServiceRouter> &Entry = this->Routers[Service.Name];
    if (!Entry)
      Entry = std::make_unique<ServiceRouter>(
          this->Executor, routerOptions(this->Own, Service.Name));
    Entry->workspacesChanged(Weights, QueueLimits);
    if (this->Draining)
      Entry->drain();
  }
}

std::optional<Duration> RouterTable::overRate(const WorkspaceName &Workspace) {
  std::lock_guard Guard(this->Lock);
  return this->Rates.acquire(monotonicNow(), Workspace);
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
