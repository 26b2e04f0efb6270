//===- LibIntent/IntentJson.cpp - The intent as canonical JSON ------------===//
///
/// \file
/// Writes the same members that the parser reads for each kind of spec.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentJson.h>

#include <algorithm>

namespace json = boost::json;

namespace carobhinge {

template <typename Spec> static json::array listJson(std::vector<Spec> List) {
  std::ranges::sort(List, {}, &Spec::Name);
  json::array Result;
  for (const Spec &Each : List)
    Result.push_back(specJson(Each));
  return Result;
}

static json::object specJson(const FailureDomainSpec &Spec) {
  return {
      {"name", Spec.Name},
      {"region", Spec.Region},
      {"out", Spec.Drained},
      {"when_cut_off", Spec.CutOff == CutOffRule::Serve ? "serve" : "refuse"}};
}

static json::object specJson(const WorkspaceSpec &Spec) {
  json::object Result{{"name", Spec.Name}, {"weight", Spec.Weight}};
  if (Spec.RequestsPerSecond)
    Result["requests_per_second"] = *Spec.RequestsPerSecond;
  Result["queue_limit"] = Spec.QueueLimit;
  return Result;
}

static json::object specJson(const ClassSpec &Spec) {
  return {{"name", Spec.Name},
          {"priority", Spec.Priority},
          {"deadline_ms", milliseconds(Spec.Deadline)}};
}

static json::object keyJson(const KeySpec &Spec) {
  if (Spec.Rule == KeyRule::Permanent)
    return {{"rule", "kept"}};
  return {{"rule", "dated"}, {"retention_days", Spec.RetentionDays}};
}

static json::object specJson(const CallSpec &Spec) {
  json::object Result{{"name", Spec.Name},
                      {"method", Spec.Method},
                      {"path", Spec.Path},
                      {"idempotent", Spec.Idempotent}};
  if (Spec.Key)
    Result["key"] = keyJson(*Spec.Key);
  Result["class"] = Spec.Class;
  return Result;
}

static void addModel(const ServiceSpec &Spec, json::object &Members) {
  Members["hosts_per_group"] = Spec.HostsPerGroup;
  Members["batch_limit"] = Spec.SlotLimit;
  Members["fencing"] =
      Spec.Fencing == FencingRule::Checked ? "checked" : "ignored";
  Members["resumable"] = Spec.Resumable;
}

static json::object specJson(const ServiceSpec &Spec) {
  bool Model = Spec.Kind == ServiceKind::Model;
  std::vector<ServiceName> DependsOn = Spec.DependsOn;
  std::ranges::sort(DependsOn);
  json::object Result{{"name", Spec.Name},
                      {"kind", Model ? "model" : "plain"},
                      {"depends_on", json::value_from(DependsOn)}};
  if (!Spec.Version.empty())
    Result["version"] = Spec.Version;
  if (Model)
    addModel(Spec, Result);
  else
    Result["concurrency"] = Spec.SlotLimit;
  auto WarmUp =
      std::chrono::duration_cast<std::chrono::seconds>(Spec.WarmUp.Length);
  Result["warm_up"] = {{"budget", Spec.WarmUp.Budget},
                       {"seconds", WarmUp.count()}};
  Result["deadline_ms"] = milliseconds(Spec.Deadline);
  Result["calls"] = listJson(Spec.Calls);
  return Result;
}

json::object canonicalJson(const Intent &Value) {
  return {{"cluster", Value.Cluster},
          {"failure_domains", listJson(Value.FailureDomains)},
          {"workspaces", listJson(Value.Workspaces)},
          {"classes", listJson(Value.Classes)},
          {"services", listJson(Value.Services)}};
}

std::string canonicalText(const Intent &Value) {
  return json::serialize(canonicalJson(Value));
}

} // namespace carobhinge
