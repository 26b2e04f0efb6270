//===- Tests/State/EntryHost.h - One life of an entry host ----------------===//
///
/// \file
/// Drives call attempts: carries their effects out against the control plane
/// and the fake service, and reports what became of them.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_ENTRYHOST_H
#define STATE_ENTRYHOST_H

#include "ControlPlane.h"
#include "Truth.h"

#include <LibLedger/CallAttempt.h>
#include <set>

namespace carobhinge::state {

/// The host name of the fake service, for links to it.
inline const HostName ServiceHost = "service";

/// What all entry hosts share.
struct Surroundings {
  ControlPlane &Control;
  Wire &Wires;
  Truth &Real;
  /// Called at each named step; true ends the host's life there.
  std::function<bool(const HostName &Host, std::string_view Step)> Hook;
};

class EntryHost {
public:
  EntryHost(Surroundings &Around, HostName Self, Incarnation Life);

  /// Retires the host's earlier lives in the ledger.
  void start();
  void call(const std::string &Name, Duration Deadline);
  void apply(const std::string &Name, std::uint64_t Base,
             const std::string &Text);
  /// The deadlines of queued calls; running ones go on.
  void shutDown();
  /// Routing refuses everything from now on.
  void overload(bool On) { this->Overloaded = On; }
  /// Calls wait in the queue until slots are granted again.
  void holdSlots(bool On);
  /// What is under way on open connections vanishes; new ones work.
  void stall();
  /// Nothing is left to do.
  [[nodiscard]] bool idle() const { return this->Calls.empty(); }

private:
  struct Connection {
    bool Stalled = false;
    bool Over = false;
    bool Written = false;
  };
  struct Call {
    CallAttempt Attempt;
    std::string Name;
    std::shared_ptr<Connection> Open;
    bool RecordAsked = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void tell(const CallPointer &Who, const CallEvent &Event);
  void carryOut(const CallPointer &Who, const RequestOpen &Asked);
  void carryOut(const CallPointer &Who, const RequestJoin &Asked);
  void carryOut(const CallPointer &Who, const EnterQueue &Asked);
  void carryOut(const CallPointer &Who, const LeaveQueue &Asked);
  void carryOut(const CallPointer &Who, const ProposeClaim &Asked);
  void carryOut(const CallPointer &Who, const DispatchCall &Asked);
  void carryOut(const CallPointer &Who, const CancelDispatch &Asked);
  void carryOut(const CallPointer &Who, const ProposeRelease &Asked);
  void carryOut(const CallPointer &Who, const ReleaseSlot &Asked);
  void carryOut(const CallPointer &Who, const ProposeOutcome &Asked);
  void carryOut(const CallPointer &Who, const ProposeClose &Asked);
  void carryOut(const CallPointer &Who, const Answer &Given);
  void leaveQueue(const CallPointer &Who);
  void open(const CallPointer &Who, bool First);
  void propose(const message::LedgerCommand &Command,
               std::function<void(std::optional<message::LedgerReply>)> Done);
  void write(const CallPointer &Who, std::uint32_t Number);
  void serve(const CallPointer &Who, const std::shared_ptr<Connection> &Open);
  Story &story(const CallPointer &Who) {
    return this->Around.Real.Stories[Who->Name];
  }

  Surroundings &Around;
  HostName Self;
  Incarnation Life;
  std::uint64_t AttemptCount = 0;
  bool Overloaded = false;
  bool SlotsHeld = false;
  std::vector<CallPointer> Queue;
  std::set<CallPointer> Calls;
};

} // namespace carobhinge::state

#endif // STATE_ENTRYHOST_H
