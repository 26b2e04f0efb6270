//===- LibSettings/HostSettings.h - Settings of entry and control ---------===//
///
/// \file
/// The settings of an entry or control process whose peers are not listed: its
/// names and addresses, some control hosts as seeds, and the service bounds
/// that its deployment guarantees.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_HOSTSETTINGS_H
#define LIBSETTINGS_HOSTSETTINGS_H

#include <LibCore/ByteBudget.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Simultaneous losses under which all guarantees still hold.
struct FaultTolerance {
  /// Hosts with a disk.
  int Hosts = 1;
  int FailureDomains = 1;
};

/// Service bounds of the deployment; the settings name each one separately.
struct ServiceBounds {
  /// Time for which an endpoint still serves after it announced that it stops.
  Duration DrainTime = std::chrono::seconds(2);
  /// Time from the stop signal until the process is killed.
  Duration GraceTime = std::chrono::seconds(8);
  /// Time from revoking a key until no request with this key runs on any host.
  Duration RevocationTime = std::chrono::seconds(5);
  double RetryRatio = 0.2;
  double RetrySlack = 0;
  Duration RetryWindow = std::chrono::seconds(10);
};

struct HostSettings {
  HostName Host;
  /// The IP address by which hosts identify each other.
  std::string Ip;
  /// IP address that connections to endpoints and to other entry hosts come
  /// from; empty: the system chooses.
  std::string OutgoingIp;
  FailureDomainName FailureDomain;
  std::vector<FailureDomainName> FailureDomains;
  /// "IP:PORT"; empty if the role does not listen on this address.
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string ControlAddress;
  /// Equal on all hosts.
  std::uint16_t PeerPort = 0;
  /// The port on which this process listens for peers; differs from PeerPort
  /// if peers connect through a relay.
  std::uint16_t PeerListenPort = 0;
  std::uint16_t MetricsPort = 0;
  /// "IP:PORT" at which some control hosts accept calls.
  std::vector<std::string> Seeds;
  /// True if the whole system starts for the first time, with empty disks.
  bool FirstStart = false;
  std::string DataFolder;
  /// Memory that the process may use, in bytes.
  std::size_t MemoryBytes = std::size_t(256) * BytesPerMegabyte;
  /// Interval between two heartbeats of an endpoint.
  Duration ReportInterval = std::chrono::milliseconds(1200);
  FaultTolerance Tolerance;
  ServiceBounds Bounds;
};

/// Returns the hosts of the seeds, without their ports.
std::vector<HostName> seedHosts(const HostSettings &LocalSettings);

/// Parses and checks a settings file. \throws FindingsError
HostSettings loadHostSettings(const std::string &Path);

/// Parses and checks settings like loadHostSettings(), from a string.
/// \throws FindingsError
HostSettings parseHostSettings(std::string_view Text);

} // namespace carobhinge

#endif // LIBSETTINGS_HOSTSETTINGS_H
