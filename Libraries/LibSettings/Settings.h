//===- LibSettings/Settings.h - The settings of one process ---------------===//
///
/// \file
/// What a process must know before it can talk to anybody: its names, its
/// addresses, its peers and its limits. Everything else it learns from the
/// intent. Settings are read once, at the start, and checked as a whole.
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

/// What a process does. At least one of the two is set in checked settings.
struct Roles {
  /// Takes callers, endpoints and operators.
  bool Entry = false;
  /// Votes in the replicated logs and keeps them in the data folder.
  bool Control = false;

  bool operator==(const Roles &) const = default;
};

/// Another process of the cluster.
struct Peer {
  HostName Host;
  FailureDomainName FailureDomain;
  RegionName Region;
  /// Where it listens for its peers.
  NetworkAddress Address;
  Roles Does;
};

/// Where the process listens.
struct ListenAddresses {
  NetworkAddress Callers;
  NetworkAddress Endpoints;
  NetworkAddress Operators;
  NetworkAddress Peers;
};

/// Names of the policies in use, from PolicyNames.h.
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

/// Bounds on what one process accepts. Units stand in SettingRows.cpp.
struct Limits {
  std::int64_t HeaderBytes = 0;
  std::int64_t BodyBytes = 0;
  std::int64_t Connections = 0;
  std::int64_t QueuedRequests = 0;
  std::int64_t MessageBytes = 0;
  std::int64_t PeerQueueBytes = 0;
  std::int64_t OutcomeBytes = 0;
};

/// Intervals and timeouts of one process.
struct Timing {
  Duration Heartbeat{};
  Duration Election{};
  Duration Ping{};
  Duration PingTimeout{};
  Duration Connect{};
  Duration ReconnectLeast{};
  Duration ReconnectMost{};
  Duration AnnounceRelay{};
  Duration IntentPoll{};
  Duration CutOff{};
  Duration RequestHeader{};
  Duration Drain{};
};

/// Where JSON-line logs go and how much of them.
struct LogSettings {
  /// Empty: standard error.
  std::string Folder;
  std::string Level;
};

/// The settings of one process. What parseSettings() returns without findings
/// is complete and free of contradictions.
struct Settings {
  std::string Cluster;
  HostName Host;
  FailureDomainName FailureDomain;
  RegionName Region;
  Roles Does;
  ListenAddresses Listen;
  /// All other processes of the cluster, by ascending host name.
  std::vector<Peer> Peers;
  /// Set wherever the process has the control role.
  std::string DataFolder;
  std::int64_t LedgerShards = 0;
  std::int64_t Threads = 0;
  PolicyChoice Policies;
  Limits Bounds;
  Timing Times;
  LogSettings Log;
};

/// Reads \p Json. Every fault is a finding; the result may be used only if
/// none was added.
Settings parseSettings(std::string_view Json, Findings &Out);

/// Reads and checks the file \p Path.
/// \throws FindingsError with all findings; an unreadable file is one.
Settings loadSettings(const std::string &Path);

} // namespace carobhinge

#endif // LIBSETTINGS_SETTINGS_H
