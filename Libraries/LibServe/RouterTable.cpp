//===- LibServe/RouterTable.cpp - The routers of all services -------------===//
///
/// \file
/// Creates and finds routers.
///
//===----------------------------------------------------------------------===//

#include <LibServe/RouterTable.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace carobhinge {

RouterTable::RouterTable(boost::asio::any_io_executor Executor,
                         const Settings &LocalSettings)
    : Executor(std::move(Executor)), LocalSettings(LocalSettings) {}

static RouterOptions routerOptions(const Settings &LocalSettings,
                                   const ServiceName &Service) {
  RouterOptions Options;
  Options.Service = Service;
  Options.FailureDomain = LocalSettings.FailureDomain;
  Options.Seed = hash64(LocalSettings.Host, hash64(Service));
  Options.Policies = {.Admission = LocalSettings.Policies.Admission,
                      .Choice = LocalSettings.Policies.Choice,
                      .Deadlines = LocalSettings.Policies.Deadlines,
                      .Retries = LocalSettings.Policies.Retries,
                      .Hedges = LocalSettings.Policies.Hedges,
                      .Stragglers = LocalSettings.Policies.Stragglers,
                      .Spillover = LocalSettings.Policies.Spillover};
  Options.QueueLimit =
      static_cast<std::uint32_t>(LocalSettings.Bounds.QueuedRequests);
  // All entry hosts of a failure domain see the same spare slots in other
  // domains, so they share them.
  auto SameDomain = std::ranges::count_if(
      LocalSettings.Peers, [&LocalSettings](const Peer &Each) {
        return Each.AssignedRoles.Entry &&
               Each.FailureDomain == LocalSettings.FailureDomain;
      });
  Options.SpareShare = 1.0 / static_cast<double>(1 + SameDomain);
  return Options;
}

static std::ptrdiff_t entryHostCount(const Settings &LocalSettings) {
  return 1 + std::ranges::count_if(LocalSettings.Peers, [](const Peer &Each) {
           return Each.AssignedRoles.Entry;
         });
}

void RouterTable::applyIntent(const Intent &IntentSnapshot) {
  std::map<WorkspaceName, double> Weights;
  std::map<WorkspaceName, std::uint32_t> QueueLimits;
  std::map<WorkspaceName, double> Rates;
  for (const WorkspaceSpec &Each : IntentSnapshot.Workspaces) {
    Weights[Each.Name] = static_cast<double>(Each.Weight);
    // Each entry host enforces an equal share of the workspace's rate.
    if (Each.RequestsPerSecond)
      Rates[Each.Name] =
          static_cast<double>(*Each.RequestsPerSecond) /
          static_cast<double>(entryHostCount(this->LocalSettings));
    if (Each.QueueLimit > 0)
      QueueLimits[Each.Name] = static_cast<std::uint32_t>(Each.QueueLimit);
  }
  std::lock_guard Guard(this->Lock);
  this->Rates.setRates(monotonicNow(), Rates);
  for (const ServiceSpec &Service : IntentSnapshot.Services) {
    std::unique_ptr<ServiceRouter> &Entry = this->Routers[Service.Name];
    if (!Entry)
      Entry = std::make_unique<ServiceRouter>(
          this->Executor, routerOptions(this->LocalSettings, Service.Name));
    Entry->setWorkspaces(Weights, QueueLimits);
    if (this->Draining)
      Entry->drain();
  }
}

std::optional<Duration>
RouterTable::rateLimitDelay(const WorkspaceName &Workspace) {
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
