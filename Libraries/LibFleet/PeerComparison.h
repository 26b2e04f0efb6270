//===- LibFleet/PeerComparison.h - Detects slow targets -------------------===//
///
/// \file
/// Detects targets that answer much slower than the other targets of the same
/// service: stragglers, and targets that became cold without announcing it.
/// The comparison uses the median of the last answers, so that a single slow
/// answer has no effect, and two thresholds, so that a target near one of them
/// does not flap.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_PEERCOMPARISON_H
#define LIBFLEET_PEERCOMPARISON_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <array>
#include <map>
#include <string>

namespace carobhinge {

struct PeerComparisonOptions {
  /// A target is slow from this multiple of the peers' median latency.
  double SlowRatio = 3;
  /// A slow target has recovered below this multiple of the peers' median.
  double RecoveryRatio = 1.5;
  /// Longest time for which a target stays slow. Slow targets get few requests
  /// and thus few new latencies. After this time the old latencies are
  /// discarded, so that a target without answers gets requests again.
  Duration MaxSlowTime = std::chrono::seconds(30);
};

/// Compares the targets of one service.
class PeerComparison {
public:
  explicit PeerComparison(PeerComparisonOptions Options = {})
      : Options(Options) {}

  void recordLatency(const std::string &Target, Incarnation IncarnationNumber,
                     Duration Latency);
  /// Reclassifies all targets. To be called about once a second.
  void evaluate(TimePoint Now);
  void remove(const std::string &Target) { this->Peers.erase(Target); }
  [[nodiscard]] bool isSlow(const std::string &Target,
                            Incarnation IncarnationNumber) const;

private:
  static constexpr std::size_t WindowLength = 8;

  struct Peer {
    Incarnation IncarnationNumber = 0;
    std::array<Duration, WindowLength> Window{};
    /// Answers of this incarnation. The window is evaluated once it is full.
    std::uint64_t Count = 0;
    bool Slow = false;
    TimePoint SlowSince;

    [[nodiscard]] Duration median() const;
  };

  void evaluatePeer(TimePoint Now, Peer &Evaluated,
                    Duration TypicalLatency) const;

  PeerComparisonOptions Options;
  std::map<std::string, Peer> Peers;
};

} // namespace carobhinge

#endif // LIBFLEET_PEERCOMPARISON_H
