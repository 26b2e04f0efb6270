//===- LibFormation/EngineRegister.h - Which endpoints there are ----------===//
///
/// \file
/// The endpoints as their heartbeats tell. Heartbeats may be late, out of
/// order, or of a life that has ended: id, address, start and sequence number
/// together say which one is the newest.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEREGISTER_H
#define LIBFORMATION_ENGINEREGISTER_H

#include <LibFormation/EngineReport.h>
#include <map>

namespace carobhinge {

struct EngineRecord {
  EngineReport Report;
  /// When the newest report was received.
  TimePoint HeardAt;
  /// When the endpoint was first heard in this life.
  TimePoint FirstHeardAt;
  /// Until then it bears little load.
  TimePoint ColdUntil;
  /// Whether anything but HeardAt changed; whoever reads it resets it.
  bool Changed = true;
};

class EngineRegister {
public:
  /// Takes in a report that was received at \p HeardAt. \returns whether it
  /// was news: a late, repeated or outdated report is not.
  bool accept(TimePoint HeardAt, EngineReport Report);

  /// The endpoint says that it leaves. \returns whether it is known.
  bool leave(const EndpointName &Id);

  /// Forgets endpoints that were silent since before \p Limit, and leaving
  /// ones that were silent since before \p LeavingLimit.
  void expire(TimePoint Limit, TimePoint LeavingLimit);

  [[nodiscard]] const EngineRecord *find(const EndpointName &Id) const;
  [[nodiscard]] const std::map<EndpointName, EngineRecord> &all() const {
    return this->Records;
  }
  /// Grows whenever an endpoint appears, goes or changes.
  [[nodiscard]] std::uint64_t revision() const { return this->Revision; }

private:
  void dropOlderAt(const EngineReport &Newer);

  std::map<EndpointName, EngineRecord> Records;
  std::uint64_t Revision = 0;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEREGISTER_H
