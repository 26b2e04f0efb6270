//===- LibFleet/PeerComparison.h - Targets that are slow beside others ----===//
///
/// \file
/// Finds targets that answer much slower than their peers of the same service:
/// stragglers, and targets that turned cold without saying so. The median of
/// the last answers is compared, so that one slow answer changes nothing, with
/// two thresholds, so that a target near one of them does not flap.
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
  /// Times the peers' median from which on a target is slow.
  double SlowRatio = 3;
  /// Times the peers' median below which a slow target is well again.
  double WellRatio = 1.5;
  /// Slow targets get little work. After this long without a judgement the
  /// answers are forgotten, so that a target without answers comes back.
  Duration Probation = std::chrono::seconds(30);
};

/// The targets of one service.
class PeerComparison {
public:
  explicit PeerComparison(PeerComparisonOptions Options = {})
      : Options(Options) {}

  void answered(const std::string &Target, Incarnation Life, Duration Latency);
  /// Judges all targets again. To be called about once a second.
  void judge(TimePoint Now);
  void forget(const std::string &Target) { this->Peers.erase(Target); }
  [[nodiscard]] bool isSlow(const std::string &Target, Incarnation Life) const;

private:
  static constexpr std::size_t WindowLength = 8;

  struct Peer {
    Incarnation Life = 0;
    std::array<Duration, WindowLength> Window{};
    /// Answers of this life. The window is judged once it is full.
    std::uint64_t Count = 0;
    bool Slow = false;
    TimePoint SlowSince;

    [[nodiscard]] Duration median() const;
  };

  void judgeOne(TimePoint Now, Peer &Judged, Duration Typical) const;

  PeerComparisonOptions Options;
  std::map<std::string, Peer> Peers;
};

} // namespace carobhinge

#endif // LIBFLEET_PEERCOMPARISON_H
