//===- Tests/Processes/Deployment.h - A small cluster of real processes ---===//
///
/// \file
/// Three failure domains with two entry hosts each, the first of each a control
/// host; engines in groups of two; one instance of the plain service in each
/// domain. All on loopback, in a folder of its own that is removed afterwards.
///
//===----------------------------------------------------------------------===//

#ifndef PROCESSES_DEPLOYMENT_H
#define PROCESSES_DEPLOYMENT_H

#include <LibHTTP/HttpClient.h>
#include <Processes/ChildProcess.h>
#include <boost/json.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>

namespace carobhinge {

/// One of the two deployments that the examples describe.
struct DeploymentPlan {
  std::string Cluster;
  std::vector<std::string> FailureDomains;
  std::string Intent;
  std::vector<std::string> Workspaces;
  std::string Model;
  std::string PlainService;
  /// Paths of the call that must not repeat and, with a prefix, of the look-up.
  std::string OncePath;
  std::string LookUpPrefix;
};

DeploymentPlan trustPlan();
DeploymentPlan servicioPlan();

/// Addresses of one serving process.
struct HostAddresses {
  std::string Host;
  std::string FailureDomain;
  bool Control = false;
  std::string Callers;
  std::string Endpoints;
  std::string Operators;
  std::string Peers;
};

class Deployment {
public:
  /// \p EngineGroups: groups of two engines for each failure domain.
  Deployment(DeploymentPlan Plan, std::vector<unsigned> EngineGroups);
  ~Deployment();

  /// Starts everything, applies the intent and waits until every host is ready
  /// and every group serves. \throws std::runtime_error if that takes too long.
  void start();

  [[nodiscard]] const DeploymentPlan &plan() const { return this->Plan; }
  [[nodiscard]] const std::vector<HostAddresses> &hosts() const {
    return this->Hosts;
  }
  ChildProcess &process(const std::string &Host);
  void startHost(const HostAddresses &Host);
  /// Removes the data folder of a host that does not run.
  void loseDisk(const std::string &Host);

  /// Executions by key, added up over all instances of the plain service.
  std::map<std::string, unsigned> executions();
  /// Runs the binary with \p Arguments and returns its exit code.
  int command(std::vector<std::string> Arguments);
  /// GET at a host's operators' interface; empty without a whole 200 answer.
  std::string operatorsGet(const HostAddresses &Host, const std::string &Path);
  /// Asks over and over until \p Reached. \throws std::runtime_error
  void waitFor(const std::string &What, const std::function<bool()> &Reached);
  /// Whether the leader of every log says that all voters have its data.
  bool repaired();
  /// The index in hosts() of the leader of the control log; waits for one.
  std::size_t leader();

  /// Puts links between the hosts of \p FailureDomain and all others. To be
  /// called before start().
  void putLinksAround(const std::string &FailureDomain);
  /// Sets the mode of all links: "pass", "cut" or "stall".
  void setLinks(const std::string &Mode);
  /// Applies the plan's intent with \p FailureDomain out, on \p Base.
  bool takeOut(const std::string &FailureDomain, unsigned Base);

private:
  /// Sends \p Host's messages to the peer \p To through a faulty link.
  void putLinkBetween(const std::string &Host, const HostAddresses &To);
  std::string freshAddress();
  [[nodiscard]] boost::json::object peerEntry(const HostAddresses &From,
                                              const HostAddresses &To) const;
  void writeSettings(const HostAddresses &Host);
  void startEngines();
  void startServices();
  std::vector<std::string> announceTo(const std::string &FailureDomain);
  [[nodiscard]] std::string file(const std::string &Name) const;
  std::optional<std::size_t> findLeader();
  std::size_t servingGroups(const HostAddresses &Host);

  DeploymentPlan Plan;
  std::vector<unsigned> EngineGroups;
  std::filesystem::path Folder;
  std::vector<HostAddresses> Hosts;
  std::vector<std::string> ServiceAddresses;
  /// By sending and receiving host.
  std::map<std::pair<std::string, std::string>, std::string> LinkAddresses;
  std::vector<std::string> LinkControls;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
};

} // namespace carobhinge

#endif // PROCESSES_DEPLOYMENT_H
