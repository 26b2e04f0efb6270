//===- LibFormation/EngineRegistry.h - Newest report per endpoint ---------===//
///
/// \file
/// The endpoints as described by their heartbeats. Heartbeats may be delayed,
/// reordered or from an incarnation that has ended. Id, address, start time and
/// sequence number together determine which one is the newest.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEREGISTRY_H
#define LIBFORMATION_ENGINEREGISTRY_H

#include <LibFormation/EndpointEnds.h>
#include <LibFormation/EngineReport.h>
#include <map>

namespace carobhinge {

/// The newest report of an endpoint.
struct EngineRecord {
  EngineReport Report;
  /// When the newest report was received.
  TimePoint LastReportAt;
  /// When the first report of this incarnation was received.
  TimePoint FirstReportAt;
  /// Until this time the endpoint is cold and can serve few requests.
  TimePoint ColdUntil;
  /// True if the record has changed, apart from the time of the last report,
  /// since the reader last reset this.
  bool Changed = true;
};

/// All endpoints that have reported recently.
class EngineRegistry {
public:
  /// Records a report that was received at \p ReceivedAt. \returns false for a
  /// delayed, duplicate or outdated report, which is ignored.
  bool accept(TimePoint ReceivedAt, EngineReport Report);

  /// Marks an endpoint that announced its end. \returns whether it is
  /// registered.
  bool leave(const EndpointName &Id);

  /// Sets the ends that the control hosts agreed on. A report of a life that
  /// has ended is recorded as leaving, whenever it arrives.
  void setEnds(EndpointEnds NewEnds);
  [[nodiscard]] const EndpointEnds &ends() const { return this->Ends; }

  /// Removes endpoints whose last report is older than \p Limit, and leaving
  /// endpoints whose last report is older than \p LeavingLimit.
  void expire(TimePoint Limit, TimePoint LeavingLimit);

  /// \returns the record of the endpoint, or null.
  [[nodiscard]] const EngineRecord *find(const EndpointName &Id) const;
  [[nodiscard]] const std::map<EndpointName, EngineRecord> &all() const {
    return this->Records;
  }
  /// Increases whenever an endpoint is added, removed or changed.
  [[nodiscard]] std::uint64_t revision() const { return this->Revision; }

private:
  /// Removes endpoints that started earlier at the same address.
  void removePredecessors(const EngineReport &Successor);

  std::map<EndpointName, EngineRecord> Records;
  EndpointEnds Ends;
  std::uint64_t Revision = 0;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEREGISTRY_H
