//===- Tests/State/ControlPlane.h - The replicated log as hosts reach it --===//
///
/// \file
/// Control hosts around a replica cluster, and the way in which entry hosts
/// propose to them and read from them: one request at a time to a believed
/// leader, another host after a refusal, an end at a bound.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_CONTROLPLANE_H
#define STATE_CONTROLPLANE_H

#include "ControlState.h"
#include "Wire.h"

#include <optional>

namespace carobhinge::state {

class ControlPlane {
public:
  /// The reply to a proposal, or nothing if it may or may not be committed.
  using ProposalDone = std::function<void(std::optional<std::string>)>;
  /// The state read linearizably, or null; valid during the call.
  using ReadDone = std::function<void(const ControlState *)>;

  ControlPlane(ReplicaCluster &Cluster, Wire &Wires,
               std::vector<HostName> Voters, std::int64_t StartMs)
      : Cluster(Cluster), Wires(Wires), Voters(std::move(Voters)),
        StartMs(StartMs) {}

  void propose(const HostName &From, CommandKind Kind, std::string_view Bytes,
               ProposalDone Done);
  void read(const HostName &From, ReadDone Done);

  /// Answers what the replicas finished since.
  void poll();

  /// The state of the voter that applied most.
  [[nodiscard]] const ControlState &newest();
  /// The first broken rule about the states of all hosts.
  [[nodiscard]] std::optional<std::string> broken();

private:
  struct Request {
    HostName From;
    std::string Encoded; ///< Empty for a read.
    ProposalDone Proposed;
    ReadDone Read;
    Duration Until{};
    std::size_t Voter = 0;
    bool Over = false;
    /// A copy of the proposal may be in a log.
    bool MaybeLogged = false;
  };
  using RequestPointer = std::shared_ptr<Request>;
  struct Operation {
    std::size_t Id = 0;
    HostName Voter;
    RequestPointer Asked;
  };

  void begin(const RequestPointer &Asked);
  void send(const RequestPointer &Asked);
  void refused(const RequestPointer &Asked);
  void finish(const RequestPointer &Asked,
              const std::optional<std::string> &Reply,
              const std::shared_ptr<ControlState> &State);
  void answer(const Operation &Done);
  ControlState &stateOf(const HostName &Voter);

  ReplicaCluster &Cluster;
  Wire &Wires;
  std::vector<HostName> Voters;
  /// The wall clock at time zero.
  std::int64_t StartMs;
  std::uint64_t LastNumber = 0;
  std::vector<Operation> Operations;
  std::map<HostName, ControlState> States;
  /// Which voter each host believes to lead.
  std::map<HostName, std::size_t> Believed;
  /// The longest history that any host applied; all others are its prefixes.
  std::vector<std::string> History;
};

} // namespace carobhinge::state

#endif // STATE_CONTROLPLANE_H
