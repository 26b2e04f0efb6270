//===- Tests/PlatformWorld/PlatformDeployment.h - entry and control -------===//
///
/// \file
/// Real `carobhinge entry` and `carobhinge control` processes on loopback, each
/// with an IP address of its own, in front of stand-in endpoints. All that a
/// process hears from its peers and callers can be made to pass a faulty link.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_PLATFORMDEPLOYMENT_H
#define PLATFORMWORLD_PLATFORMDEPLOYMENT_H

#include <LibHTTP/HttpClient.h>
#include <PlatformWorld/EndpointField.h>
#include <Processes/ChildProcess.h>
#include <atomic>
#include <filesystem>
#include <functional>

namespace carobhinge {

struct PlatformPlan {
  unsigned ControlHosts = 3;
  unsigned EntryHosts = 3;
  int EnginesPerFabric = 5;
  int FabricsPerDomain = 2;
  std::vector<FailureDomainName> FailureDomains = {"a", "b", "c"};
};

class PlatformDeployment {
public:
  explicit PlatformDeployment(PlatformPlan Plan);
  ~PlatformDeployment();

  /// Starts all, puts the first catalog in force and waits until each entry
  /// host is ready and streams are served. \throws std::runtime_error
  void start();

  /// Control hosts come first.
  [[nodiscard]] std::size_t hosts() const { return this->Hosts.size(); }
  [[nodiscard]] bool isControl(std::size_t Host) const {
    return Host < this->Plan.ControlHosts;
  }
  void startHost(std::size_t Host);
  ChildProcess &process(std::size_t Host);
  /// Removes the disk of a control host that doesn't run.
  void loseDisk(std::size_t Host);
  /// What \p Host hears from its peers.
  void setPeerLink(std::size_t Host, LinkMode Mode, Duration Delay = {});
  /// What entry host \p Host hears from its callers.
  void setCallerLink(std::size_t Host, LinkMode Mode, Duration Delay = {});

  /// Whether bytes between \p Host and its callers were swallowed lately, or
  /// are now; an answer may then never have reached its caller.
  [[nodiscard]] bool swallowsAnswers(std::size_t Host) const;

  /// Where callers reach entry host \p Host.
  [[nodiscard]] std::string callerAddress(std::size_t Host) const;
  bool isReady(std::size_t Host) const;

  /// Catalog number \p Version: all routes, and one more for each version.
  [[nodiscard]] std::string catalogText(unsigned Version) const;
  /// Sends it until it is acknowledged. \returns whether it was, in time.
  bool putCatalog(unsigned Version, Duration Most = std::chrono::seconds(20));
  /// The version that a read tells; nothing without a clear answer.
  std::optional<unsigned> readVersion() const;

  EndpointField &endpoints() { return *this->Field; }
  [[nodiscard]] const ExecutionBook &book() const { return this->Book; }
  /// The output of all processes.
  [[nodiscard]] std::vector<std::filesystem::path> logs() const;
  [[nodiscard]] const std::string &key() const { return this->Key; }

  /// Asks over and over until \p Reached. \throws std::runtime_error
  static void waitFor(const std::string &What,
                      const std::function<bool()> &Reached);

private:
  struct Host {
    std::string Name;
    std::string Ip;
    FailureDomainName Place;
    std::unique_ptr<LinkStandIn> PeerLink = {};
    std::unique_ptr<LinkStandIn> CallerLink = {};
    std::unique_ptr<ChildProcess> Process = {};
    bool Started = false;
    /// When the link to the callers was last silenced, or healed after that.
    /// Written by the test's thread, read by its callers'.
    std::unique_ptr<std::atomic<TimePoint>> SilencedAt =
        std::make_unique<std::atomic<TimePoint>>(TimePoint::min());
    bool Silenced = false;
  };
  [[nodiscard]] std::string file(const std::string &Name) const;
  void addHost(unsigned Number, bool Control);
  void writeSettings(std::size_t Index);
  [[nodiscard]] std::vector<std::string> controlAddresses() const;
  [[nodiscard]] HttpAnswer askControl(const HttpRequest &Request,
                                      std::size_t First) const;

  const PlatformPlan Plan;
  const std::string Key = "key-of-the-first-workspace";
  std::filesystem::path Folder;
  /// The first parts of all addresses.
  std::string Network;
  ExecutionBook Book;
  boost::asio::io_context LinkContext{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{LinkContext.get_executor()};
  std::vector<Host> Hosts;
  std::unique_ptr<EndpointField> Field;
  std::jthread LinkThread;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_PLATFORMDEPLOYMENT_H
