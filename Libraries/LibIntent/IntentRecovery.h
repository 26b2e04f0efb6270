//===- LibIntent/IntentRecovery.h - Asking the domain after a restart -----===//
///
/// \file
/// A diskless host that restarts has forgotten which version and which hold it
/// had in force. It asks every other host of its failure domain, a few
/// at a time, so that no row is kept for each.
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
  /// How many are asked at once.
  std::size_t Window = 64;
  Duration Timeout = std::chrono::seconds(1);
  /// Questions to one peer before it counts as lost in this round.
  int Attempts = 2;
};

/// One round after the other until the host is ready.
class IntentRecovery {
public:
  explicit IntentRecovery(RecoveryOptions Options);

  /// The peers to ask now.
  std::vector<HostName> due(TimePoint Now);
  /// \p Ready: the peer itself knows what is in force.
  void answered(const HostName &From, bool Ready, std::uint64_t Version);

  /// Every peer has answered or is lost.
  [[nodiscard]] bool roundDone() const;
  /// A ready peer has answered in this round.
  [[nodiscard]] bool anyReady() const { return this->SawReady; }
  /// The highest version that a peer has told in this round.
  [[nodiscard]] std::uint64_t highest() const { return this->Highest; }
  void startRound();

private:
  struct Question {
    TimePoint AskedAt;
    int Attempts = 0;
  };

  RecoveryOptions Options;
  /// Index of the first peer not asked in this round.
  std::size_t Next = 0;
  /// At most Window.
  std::map<HostName, Question> Open;
  bool SawReady = false;
  std::uint64_t Highest = 0;
};

} // namespace carobhinge

#endif // LIBINTENT_INTENTRECOVERY_H
