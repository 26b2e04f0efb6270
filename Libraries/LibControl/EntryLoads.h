//===- LibControl/EntryLoads.h - What all entry hosts have in progress ----===//
///
/// \file
/// Sums up what each entry host says it has sent to each place. Kept as a
/// running total, because every entry host asks for it several times a second.
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
  /// What \p Host said last counts from now on.
  void said(TimePoint Now, const HostName &Host, message::PulseCall Call);
  /// What was said before \p Limit doesn't count any more.
  void expire(TimePoint Limit);

  /// Requests in progress by place; no place has none.
  [[nodiscard]] const std::map<std::string, int> &totals() const {
    return this->Totals;
  }

private:
  struct Load {
    message::PulseCall Call;
    TimePoint At;
  };
  void add(const message::PulseCall &Call, int Sign);

  std::map<HostName, Load> Loads;
  /// The sums over Loads, without those that are zero.
  std::map<std::string, int> Totals;
};

} // namespace carobhinge

#endif // LIBCONTROL_ENTRYLOADS_H
