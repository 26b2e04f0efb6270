//===- Tests/Processes/Deployment.h - A small cluster of processes --------===//
///
/// \file
/// Three failure domains with two entry hosts each, of which the first is also
/// a control host; engines in groups of two; one instance of the plain service
/// in each domain. All processes run on loopback, with their files in a
/// temporary folder.
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

/// One of the two deployments described in Examples.
struct DeploymentPlan {
  std::string Cluster;
  std::vector<std::string> FailureDomains;
  std::string Intent;
  std::vector<std::string> Workspaces;
  std::string Model;
  std::string PlainService;
  /// The path of the call that must not run twice and needs an idempotency key.
  std::string KeyedCallPath;
  /// The path of a look-up without the number at its end.
  std::string LookUpPrefix;
};

/// What engines do at these messages: EngineStandInOptions.
inline constexpr const char *BadStatusText = "the message that breaks answers";
inline constexpr const char *BreakOffText = "the message that ends streams";
/// Engines crash on a prompt with this message before its last.
inline constexpr const char *CrashText = "the message that crashes engines";

DeploymentPlan trustPlan();
DeploymentPlan servicioPlan();

/// A serving process and its addresses.
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
  /// \p EngineGroups is the number of groups of two engines by failure domain.
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
  /// Requests in a second that every engine announces to take; 0: no limit. To
  /// be called before start().
  void setRequestLimit(unsigned PerSecond) { this->RequestLimit = PerSecond; }
  /// Returns the most requests that one engine got within 4 s.
  /// \throws std::runtime_error if an engine doesn't answer.
  unsigned mostArrivals();
  [[nodiscard]] std::size_t countCrashedEngines();
  /// Starts the engines that crashed again.
  void restartCrashedEngines();
  /// Removes the data folder of a host that is not running.
  void removeDataFolder(const std::string &Host);

  /// Returns the number of executions by key at all instances of the plain
  /// service. \throws std::runtime_error if an instance doesn't answer.
  std::map<std::string, unsigned> executions();
  /// Runs the binary with \p Arguments and returns its exit code; -1 if it did
  /// not end in time.
  int command(std::vector<std::string> Arguments);
  /// Sends a GET request to a host's operator interface. Returns the body;
  /// empty without a complete answer with status 200.
  std::string operatorsGet(const HostAddresses &Host, const std::string &Path);
  /// Polls \p IsReached until it returns true.
  /// \throws std::runtime_error with \p Condition if that takes too long.
  void waitFor(const std::string &Condition,
               const std::function<bool()> &IsReached);
  /// Returns whether the leader of every log reports that all voters have the
  /// log's data.
  bool isRepaired();
  /// Waits until the control log has a leader. Returns its index in hosts().
  std::size_t leader();

  /// Routes the peer connections between the hosts of \p FailureDomain and all
  /// others through links. To be called before start().
  void addLinksAround(const std::string &FailureDomain);
  /// Sets the mode of all links: "pass", "cut" or "stall".
  void setLinks(const std::string &Mode);
  /// Applies the plan's intent on base version \p Base, with \p FailureDomain
  /// as the only drained one; none if it is empty. Returns whether it was
  /// accepted.
  bool drainDomain(const std::string &FailureDomain, unsigned Base);

private:
  /// Sends \p Host's messages to the peer \p To through a link that can be made
  /// faulty.
  void addLink(const std::string &Host, const HostAddresses &To);
  std::string freshAddress();
  [[nodiscard]] boost::json::object peerEntry(const HostAddresses &From,
                                              const HostAddresses &To) const;
  void writeSettings(const HostAddresses &Host);
  void startEngines();
  void startEngine(std::size_t DomainIndex, unsigned Number);
  bool isEngineRunning(std::size_t DomainIndex, unsigned Number);
  void startServices();
  std::vector<std::string> announceTo(const std::string &FailureDomain);
  [[nodiscard]] std::string file(const std::string &Name) const;
  std::optional<std::size_t> findLeader();
  std::size_t countServingGroups(const HostAddresses &Host);

  DeploymentPlan Plan;
  std::vector<unsigned> EngineGroups;
  std::filesystem::path Folder;
  std::vector<HostAddresses> Hosts;
  std::vector<std::string> ServiceAddresses;
  std::vector<std::string> EngineAddresses;
  unsigned RequestLimit = 0;
  /// By sending and receiving host.
  std::map<std::pair<std::string, std::string>, std::string> LinkAddresses;
  std::vector<std::string> LinkControls;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
};

} // namespace carobhinge

#endif // PROCESSES_DEPLOYMENT_H
