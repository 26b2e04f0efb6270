//===- LibControl/ControlHosts.h - Discovery of control hosts -------------===//
///
/// \file
/// No configuration lists all control hosts. A process starts with those in
/// its settings and discovers others when they introduce themselves or when
/// another host names them. The leader chooses the voters among them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_CONTROLHOSTS_H
#define LIBCONTROL_CONTROLHOSTS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibSettings/HostSettings.h>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace carobhinge {

struct ControlHostsOptions {
  /// A voter that was unreachable for this long is replaced by another host.
  /// Longer than a restart, shorter than the time that a new host has to
  /// catch up.
  Duration VoterTimeout = std::chrono::milliseconds(2500);
  /// A host that was unreachable for this long is removed.
  Duration ExpireAfter = std::chrono::seconds(60);
};

class ControlHosts {
public:
  ControlHosts(HostName Self, FailureDomainName Domain,
               ControlHostsOptions Options = {})
      : Self(std::move(Self)), Domain(std::move(Domain)), Options(Options) {}

  /// Adds a host that another one named as a control host. \returns whether it
  /// is new.
  bool addHost(TimePoint Now, const HostName &Host);
  /// Records a message from \p Host that states its failure domain, and
  /// whether its process is about to stop.
  void recordContact(TimePoint Now, const HostName &Host,
                     const FailureDomainName &Domain, bool Stopping = false);
  void removeExpired(TimePoint Now);
  /// The local process is about to stop, so that another host should vote in
  /// its place.
  void setStopping() { this->IsStopping = true; }

  [[nodiscard]] std::vector<HostName> allHosts() const;

  /// The hosts that should vote: 2f + 1 for f tolerated host failures, spread
  /// over the failure domains, with as few changes as possible. A host that is
  /// about to stop counts as unreachable. \p Current are the current voters.
  /// \returns nothing if they should stay.
  [[nodiscard]] std::optional<std::vector<HostName>>
  chooseVoters(TimePoint Now, std::span<const HostName> Current,
               const FaultTolerance &Tolerance) const;

  /// Like chooseVoters(), while a change from \p Current to \p Requested may
  /// be in progress. \returns nothing if that change should go on.
  [[nodiscard]] std::optional<std::vector<HostName>>
  chooseRequest(TimePoint Now, std::span<const HostName> Current,
                std::span<const HostName> Requested,
                const FaultTolerance &Tolerance) const;

  /// \returns whether a reachable host other than \p Voters could take over
  /// the vote of this host.
  [[nodiscard]] bool hasSuccessor(TimePoint Now,
                                  std::span<const HostName> Voters) const;

private:
  struct HostRecord {
    FailureDomainName Domain;
    /// Nothing if the host was only named by others so far.
    std::optional<TimePoint> LastContactAt;
    /// Its last message said that its process is about to stop.
    bool Stopping = false;
    TimePoint AddedAt;
  };

  [[nodiscard]] bool isReachable(TimePoint Now, const HostName &Host) const;
  [[nodiscard]] bool isAwaitingContact(TimePoint Now,
                                       const HostName &Host) const;
  [[nodiscard]] FailureDomainName findDomain(const HostName &Host) const;

  HostName Self;
  bool IsStopping = false;
  FailureDomainName Domain;
  ControlHostsOptions Options;
  /// Without Self.
  std::map<HostName, HostRecord> Hosts;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLHOSTS_H
