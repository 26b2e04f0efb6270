//===- LibIntent/IntentRecovery.h - Polls peers after a restart -----------===//
///
/// \file
/// A diskless host loses the version and the hold that it had in force when it
/// restarts. It polls every other host of its failure domain, a limited number
/// at a time, so that it doesn't keep state for every host at once.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTRECOVERY_H
#define LIBINTENT_INTENTRECOVERY_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <vector>

namespace carobhinge {

struct RecoveryOptions {
  /// The other hosts of the failure domain.
  std::vector<HostName> Peers;
  /// Maximum number of peers polled at once.
  std::size_t Window = 64;
  Duration Timeout = std::chrono::seconds(1);
  /// Polls to one peer before it counts as lost in this round.
  int Attempts = 2;
};

/// Polls all peers in rounds until the host is ready.
class IntentRecovery {
public:
  explicit IntentRecovery(RecoveryOptions Options);

  /// Returns the peers to poll now.
  std::vector<HostName> peersToPoll(TimePoint Now);
  /// Records an answer. \p Ready: whether the peer itself is ready.
  void recordAnswer(const HostName &From, bool Ready, std::uint64_t Version);

  /// Returns whether every peer has answered or counts as lost.
  [[nodiscard]] bool isRoundDone() const;
  /// Returns whether a ready peer has answered in this round.
  [[nodiscard]] bool hasReadyPeer() const { return this->HasReadyAnswer; }
  /// The highest version that a peer has reported in this round.
  [[nodiscard]] std::uint64_t highest() const { return this->Highest; }
  void startRound();

private:
  struct PendingPoll {
    TimePoint SentAt;
    int Attempts = 0;
  };

  RecoveryOptions Options;
  /// Index of the first peer not yet polled in this round.
  std::size_t Next = 0;
  /// Polls without an answer; at most Window.
  std::map<HostName, PendingPoll> PendingPolls;
  bool HasReadyAnswer = false;
  std::uint64_t Highest = 0;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTRECOVERY_H
