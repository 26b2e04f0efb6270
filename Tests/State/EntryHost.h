//===- Tests/State/EntryHost.h - One incarnation of an entry host ---------===//
///
/// \file
/// Executes the effects of call attempts against the control plane and the fake
/// service, and reports the resulting events to the attempts.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_ENTRYHOST_H
#define STATE_ENTRYHOST_H

#include "ControlPlane.h"
#include "GroundTruth.h"

#include <LibLedger/CallAttempt.h>
#include <set>

namespace carobhinge::state {

/// The host name of the fake service, for links to it.
inline const HostName ServiceHost = "service";

/// The objects that all entry hosts share.
struct EntryHostEnvironment {
  ControlPlane &Control;
  SimulatedNetwork &Network;
  GroundTruth &Records;
  /// Called at each named step. Returning true kills the host at that step.
  std::function<bool(const HostName &Host, std::string_view Step)> Hook;
};

class EntryHost {
public:
  EntryHost(EntryHostEnvironment &Environment, HostName Self,
            Incarnation IncarnationNumber);

  /// Retires the host's earlier incarnations in the ledger. Repeats until the
  /// ledger replies.
  void start();
  void call(const std::string &Name, Duration Deadline);
  void apply(const std::string &Name, std::uint64_t Base,
             const std::string &Text);
  /// Shuts down all call attempts. Calls that are already dispatched continue.
  void shutDown();
  /// Sets whether routing refuses all calls.
  void overload(bool Enabled) { this->Overloaded = Enabled; }
  /// Sets whether calls stay queued. Switching it off releases the queued
  /// calls.
  void holdQueue(bool Enabled);
  /// Stalls all open connections: their data is lost. New connections work.
  void stall();
  /// Returns whether no call is in progress.
  [[nodiscard]] bool idle() const { return this->Calls.empty(); }

private:
  struct Connection {
    bool IsStalled = false;
    bool IsClosed = false;
    bool IsWritten = false;
  };
  struct Call {
    CallAttempt Attempt;
    std::string Name;
    std::shared_ptr<Connection> CurrentConnection;
    bool RecordingStarted = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void handleEvent(const CallPointer &CurrentCall, const CallEvent &Event);
  void execute(const CallPointer &CurrentCall, const RequestOpen &Effect);
  void execute(const CallPointer &CurrentCall, const RequestJoin &Effect);
  void execute(const CallPointer &CurrentCall, const EnterQueue &Effect);
  void execute(const CallPointer &CurrentCall, const LeaveQueue &Effect);
  void execute(const CallPointer &CurrentCall, const ProposeClaim &Effect);
  void execute(const CallPointer &CurrentCall, const DispatchCall &Effect);
  void execute(const CallPointer &CurrentCall, const CancelDispatch &Effect);
  void execute(const CallPointer &CurrentCall, const ProposeRelease &Effect);
  void execute(const CallPointer &CurrentCall, const ReleaseSlot &Effect);
  void execute(const CallPointer &CurrentCall, const ProposeOutcome &Effect);
  void execute(const CallPointer &CurrentCall, const ProposeClose &Effect);
  void execute(const CallPointer &CurrentCall, const Answer &FinalAnswer);
  void leaveQueue(const CallPointer &CurrentCall);
  void open(const CallPointer &CurrentCall, bool IsFirst);
  void
  propose(const message::LedgerCommand &Command,
          std::function<void(std::optional<message::LedgerReply>)> OnReply);
  void write(const CallPointer &CurrentCall, std::uint32_t Number);
  void executeAtService(const CallPointer &CurrentCall,
                        const std::shared_ptr<Connection> &CurrentConnection);
  RequestRecord &recordOf(const CallPointer &CurrentCall) {
    return this->Environment.Records.Requests[CurrentCall->Name];
  }

  EntryHostEnvironment &Environment;
  HostName Self;
  Incarnation IncarnationNumber;
  std::uint64_t AttemptCount = 0;
  bool Overloaded = false;
  bool QueueHeld = false;
  std::vector<CallPointer> Queue;
  std::set<CallPointer> Calls;
};

} // namespace carobhinge::state

#endif // STATE_ENTRYHOST_H
