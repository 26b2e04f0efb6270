//===- LibSettings/HostSettings.h - Settings of entry and control ---------===//
///
/// \file
/// What an entry or control process is told at its start when its peers are
/// not listed: its own names and addresses, three control hosts to begin with,
/// and the bounds that its deployment promises to keep.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_HOSTSETTINGS_H
#define LIBSETTINGS_HOSTSETTINGS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// What may be lost at once while everything is kept.
struct FaultsBorne {
  /// Hosts with a disk.
  int Hosts = 1;
  int FailureDomains = 1;
};

/// Promises of the deployment, each with its own name in the settings.
struct PromisedBounds {
  /// An endpoint that announced its end serves this long.
  Duration DrainTime = std::chrono::seconds(2);
  /// From the signal to stop until the process is killed.
  Duration GraceTime = std::chrono::seconds(8);
  /// From taking a key away until no request with it runs anywhere.
  Duration RevocationTime = std::chrono::seconds(5);
  double RepeatRatio = 0.2;
  double RepeatSlack = 0;
  Duration RepeatWindow = std::chrono::seconds(10);
};

struct HostSettings {
  HostName Host;
  /// The IP address, by which hosts know each other.
  std::string Ip;
  FailureDomainName FailureDomain;
  std::vector<FailureDomainName> FailureDomains;
  /// "IP:PORT"; empty where the role doesn't listen there.
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string ControlAddress;
  /// The same on all hosts.
  std::uint16_t PeerPort = 0;
  /// Where this process listens for peers; differs from PeerPort where they
  /// reach it through a relay.
  std::uint16_t PeerListenPort = 0;
  std::uint16_t MetricsPort = 0;
  /// "IP:PORT" at which some control hosts take calls.
  std::vector<std::string> Seeds;
  /// The whole system starts for the first time, with empty disks.
  bool FirstStart = false;
  std::string DataFolder;
  /// Between two heartbeats of an endpoint.
  Duration ReportInterval = std::chrono::milliseconds(1200);
  FaultsBorne Borne;
  PromisedBounds Bounds;
};

/// The hosts of the seeds, without their ports.
std::vector<HostName> seedHosts(const HostSettings &Own);

/// Reads and checks a settings file. \throws FindingsError
HostSettings loadHostSettings(const std::string &Path);

/// As loadHostSettings, for a text. \throws FindingsError
HostSettings parseHostSettings(std::string_view Text);

} // namespace carobhinge

#endif // LIBSETTINGS_HOSTSETTINGS_H
