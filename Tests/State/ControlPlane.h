//===- Tests/State/ControlPlane.h - Client access to the replicated log ---===//
///
/// \file
/// Gives entry hosts access to the control hosts of a replica cluster. A
/// request goes to the assumed leader, then to the next voter after a refusal
/// or a reply timeout, and is abandoned at its deadline.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_CONTROLPLANE_H
#define STATE_CONTROLPLANE_H

#include "ControlState.h"
#include "SimulatedNetwork.h"

#include <optional>

namespace carobhinge::state {

class ControlPlane {
public:
  /// Receives the reply to a proposal, or nothing if it is unknown whether the
  /// proposal was or will be committed.
  using ProposalCallback = std::function<void(std::optional<std::string>)>;
  /// Receives the state of a linearizable read, or null if it failed. The state
  /// is valid during the call only.
  using ReadCallback = std::function<void(const ControlState *)>;

  ControlPlane(ReplicaCluster &Cluster, SimulatedNetwork &Network,
               std::vector<HostName> Voters, std::int64_t StartMs)
      : Cluster(Cluster), Network(Network), Voters(std::move(Voters)),
        StartMs(StartMs) {}

  void propose(const HostName &Client, CommandKind Kind, std::string_view Bytes,
               ProposalCallback OnDone);
  void read(const HostName &Client, ReadCallback OnDone);

  /// Delivers the results of the operations that the replicas finished.
  void poll();

  /// Returns the state after the longest history that any voter applied.
  [[nodiscard]] const ControlState &mostAdvancedState();
  /// Returns the first violated invariant of the replicas, if any.
  [[nodiscard]] std::optional<std::string> violatedInvariant();

private:
  struct Request {
    HostName Client;
    std::string Encoded; ///< Empty for a read.
    ProposalCallback OnReply;
    ReadCallback OnRead;
    Duration Deadline{};
    std::size_t VoterIndex = 0;
    bool IsFinished = false;
    /// Set once the proposal reached a voter, until that voter refuses it.
    bool MayBeLogged = false;
  };
  using RequestPointer = std::shared_ptr<Request>;
  struct Operation {
    std::size_t Id = 0;
    HostName Voter;
    RequestPointer PendingRequest;
  };

  void start(const RequestPointer &PendingRequest);
  void send(const RequestPointer &PendingRequest);
  void retryWithNextVoter(const RequestPointer &PendingRequest);
  void finish(const RequestPointer &PendingRequest,
              const std::optional<std::string> &Reply,
              const std::shared_ptr<ControlState> &State);
  void deliverResult(const Operation &Finished);
  ControlState &stateOfVoter(const HostName &Voter);

  ReplicaCluster &Cluster;
  SimulatedNetwork &Network;
  std::vector<HostName> Voters;
  /// The wall clock at simulated time zero, in milliseconds since the epoch.
  std::int64_t StartMs;
  std::uint64_t LastNumber = 0;
  std::vector<Operation> Operations;
  std::map<HostName, ControlState> States;
  /// Index of the voter that each host assumes to be the leader.
  std::map<HostName, std::size_t> AssumedLeaders;
  /// The longest history that any voter applied. All others are its prefixes.
  std::vector<std::string> History;
};

} // namespace carobhinge::state

#endif // STATE_CONTROLPLANE_H
