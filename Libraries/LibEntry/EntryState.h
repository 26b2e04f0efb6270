//===- LibEntry/EntryState.h - What an entry process has in force ---------===//
///
/// \file
/// Shared by the parts of an entry process, all on one executor thread.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENTRYSTATE_H
#define LIBENTRY_ENTRYSTATE_H

#include <LibCatalog/RouteTable.h>
#include <LibEntry/ConfirmationLease.h>
#include <LibEntry/DispatchBoard.h>
#include <LibEntry/RepeatBudget.h>
#include <LibSettings/HostSettings.h>
#include <map>
#include <memory>

namespace carobhinge {

struct EntryState {
  explicit EntryState(const HostSettings &Own);

  /// The budget of \p Service; made on first use.
  RepeatBudget &budget(const ServiceName &Service);

  const HostSettings &Own;
  /// Null until a first catalog came. A request keeps the one it began under.
  std::shared_ptr<const RouteTable> Routes;
  DispatchBoard Board;
  ConfirmationLease Lease;
  std::map<ServiceName, RepeatBudget> Budgets;
  /// Entry hosts that share budgets, as the control hosts tell.
  int EntryHosts = 1;
  bool Stopping = false;
};

} // namespace carobhinge

#endif // LIBENTRY_ENTRYSTATE_H
