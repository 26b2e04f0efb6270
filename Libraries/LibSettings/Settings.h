//===- LibSettings/Settings.h - Settings of one process -------------------===//
///
/// \file
/// The configuration that a process needs before it can communicate: its
/// names, addresses, peers and limits. Everything else comes from the intent.
/// Settings are read once, at process start, and checked as a whole.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_SETTINGS_H
#define LIBSETTINGS_SETTINGS_H

#include <LibCore/Findings.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibSettings/NetworkAddress.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// Roles of a process. Checked settings set at least one of them.
struct Roles {
  /// Serves callers, endpoints and operators.
  bool Entry = false;
  /// Votes in the replicated logs and stores them in the data folder.
  bool Control = false;

  bool operator==(const Roles &) const = default;
};

/// Another process of the cluster.
struct Peer {
  HostName Host;
  FailureDomainName FailureDomain;
  RegionName Region;
  /// The address on which it listens for peers.
  NetworkAddress Address;
  Roles AssignedRoles;
};

/// The addresses on which the process listens.
struct ListenAddresses {
  NetworkAddress Callers;
  NetworkAddress Endpoints;
  NetworkAddress Operators;
  NetworkAddress Peers;
};

/// Names of the selected policies, from PolicyNames.h.
struct PolicyChoice {
  std::string Admission;
  std::string Choice;
  std::string Deadlines;
  std::string Retries;
  std::string Hedges;
  std::string Stragglers;
  std::string Spillover;
  std::string Groups;
  std::string Repair;
};

/// Limits on what one process accepts. SettingRows.cpp gives the units.
struct Limits {
  std::int64_t HeaderBytes = 0;
  std::int64_t BodyBytes = 0;
  std::int64_t MemoryMegabytes = 0;
  std::int64_t Connections = 0;
  std::int64_t QueuedRequests = 0;
  std::int64_t MessageBytes = 0;
  std::int64_t PeerQueueBytes = 0;
};

/// Intervals and timeouts of one process.
struct Timing {
  Duration Heartbeat{};
  Duration Election{};
  Duration Ping{};
  Duration PingTimeout{};
  Duration Connect{};
  Duration MinReconnectDelay{};
  Duration MaxReconnectDelay{};
  Duration AnnounceRelay{};
  Duration IntentPoll{};
  Duration CutOff{};
  Duration RequestHeader{};
  Duration Drain{};
};

/// Destination and minimum severity of the logs, which hold one JSON object
/// per line.
struct LogSettings {
  /// Empty to log to standard error.
  std::string Folder;
  std::string Level;
};

/// The settings of one process. A result of parseSettings() without findings
/// is complete and consistent.
struct Settings {
  std::string Cluster;
  HostName Host;
  FailureDomainName FailureDomain;
  RegionName Region;
  Roles AssignedRoles;
  ListenAddresses Listen;
  /// All other processes of the cluster, by ascending host name.
  std::vector<Peer> Peers;
  /// Not empty if the process has the control role.
  std::string DataFolder;
  std::int64_t LedgerShards = 0;
  std::int64_t Threads = 0;
  PolicyChoice Policies;
  Limits Bounds;
  Timing Times;
  LogSettings Log;
};

/// Parses \p Json and adds a finding to \p Out for every error. The result
/// may be used only if no finding was added.
Settings parseSettings(std::string_view Json, Findings &Out);

/// Parses and checks the file \p Path.
/// \throws FindingsError with all findings; an unreadable file is also
/// reported as a finding.
Settings loadSettings(const std::string &Path);

} // namespace carobhinge

#endif // LIBSETTINGS_SETTINGS_H
