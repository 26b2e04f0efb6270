//===- LibControl/EntryLoads.h - Requests in progress at entry hosts ------===//
///
/// \file
/// Sums up the requests that each entry host has in progress at each target.
/// Maintained as running totals, because every entry host requests them several
/// times a second.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_ENTRYLOADS_H
#define LIBCONTROL_ENTRYLOADS_H

#include <LibControl/Control.pb.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <string>

namespace carobhinge {

class EntryLoads {
public:
  /// Replaces the load of \p Host.
  void setLoad(TimePoint Now, const HostName &Host, message::PulseCall Call);
  /// Removes the loads that were received before \p Limit.
  void expire(TimePoint Limit);

  /// Returns the share, from 0 to 1, of \p Host in the load. A host without
  /// load has a small one; the shares of all hosts add up to 1.
  [[nodiscard]] double share(const HostName &Host) const;
  /// Requests in progress by target; targets without any are left out.
  [[nodiscard]] const std::map<std::string, int> &totals() const {
    return this->Totals;
  }

private:
  struct HostLoad {
    message::PulseCall Call;
    int InFlight = 0;
    TimePoint ReceivedAt;
  };
  void addToTotals(const message::PulseCall &Call, int Sign);

  std::map<HostName, HostLoad> Loads;
  /// Sums over Loads, without zeros.
  std::map<std::string, int> Totals;
  /// Sum over Loads.
  int InFlight = 0;
};

} // namespace carobhinge

#endif // LIBCONTROL_ENTRYLOADS_H
