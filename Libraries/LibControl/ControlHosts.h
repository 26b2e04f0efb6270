//===- LibControl/ControlHosts.h - Which control hosts there are ----------===//
///
/// \file
/// Nobody lists the control hosts. A process knows those in its settings, and
/// those that made themselves known or that others told it of. From them the
/// leader chooses the voters.
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
  /// A voter that was silent this long gives its place to another host: more
  /// than a restart takes, less than a new host has to catch up.
  Duration VoterSilence = std::chrono::milliseconds(2500);
  /// A host that was silent this long isn't told of any more.
  Duration Forget = std::chrono::seconds(60);
};

class ControlHosts {
public:
  ControlHosts(HostName Self, FailureDomainName Domain,
               ControlHostsOptions Options = {})
      : Self(std::move(Self)), Domain(std::move(Domain)), Options(Options) {}

  /// A host that is said to be a control host. \returns whether it is new.
  bool learn(TimePoint Now, const HostName &Host);
  /// \p Host was heard, and told its failure domain.
  void heard(TimePoint Now, const HostName &Host,
             const FailureDomainName &Domain);
  void forget(TimePoint Now);

  [[nodiscard]] std::vector<HostName> known() const;

  /// The hosts that should vote: twice what may be lost and one, spread over
  /// the failure domains, with as few changes as possible. \p Current are the
  /// hosts that hold a voter now. Nothing if they should stay.
  [[nodiscard]] std::optional<std::vector<HostName>>
  chooseVoters(TimePoint Now, std::span<const HostName> Current,
               const FaultsBorne &Borne) const;

private:
  struct Known {
    FailureDomainName Domain;
    /// Nothing if it was only told of.
    std::optional<TimePoint> HeardAt;
    TimePoint ToldAt;
  };

  [[nodiscard]] bool isAlive(TimePoint Now, const HostName &Host) const;
  [[nodiscard]] bool isUnknown(TimePoint Now, const HostName &Host) const;
  [[nodiscard]] FailureDomainName domainOf(const HostName &Host) const;

  HostName Self;
  FailureDomainName Domain;
  ControlHostsOptions Options;
  /// Without Self.
  std::map<HostName, Known> Hosts;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLHOSTS_H
