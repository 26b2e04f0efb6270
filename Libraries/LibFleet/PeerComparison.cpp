//===- LibFleet/PeerComparison.cpp - Detects slow targets -----------------===//
///
/// \file
/// Compares the median of each target's window with the median of all peers.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/PeerComparison.h>

#include <algorithm>
#include <vector>

namespace carobhinge {

/// With fewer peers the median is not meaningful.
static constexpr std::size_t MinPeers = 3;

Duration PeerComparison::Peer::median() const {
  std::array<Duration, WindowLength> Sorted = this->Window;
  auto *Middle = Sorted.begin() + WindowLength / 2;
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

void PeerComparison::recordLatency(const std::string &Target,
                                   Incarnation IncarnationNumber,
                                   Duration Latency) {
  Peer &Current = this->Peers[Target];
  if (Current.IncarnationNumber != IncarnationNumber) {
    Current = Peer();
    Current.IncarnationNumber = IncarnationNumber;
  }
  Current.Window.at(Current.Count % WindowLength) = Latency;
  ++Current.Count;
}

void PeerComparison::evaluatePeer(TimePoint Now, Peer &Evaluated,
                                  Duration TypicalLatency) const {
  if (Evaluated.Slow &&
      Now - Evaluated.SlowSince >= this->Options.MaxSlowTime) {
    Evaluated.Slow = false;
    Evaluated.Count = 0;
    return;
  }
  if (Evaluated.Count < WindowLength)
    return;
  double Ratio =
      static_cast<double>(Evaluated.median().count()) /
      static_cast<double>(std::max<std::int64_t>(1, TypicalLatency.count()));
  if (!Evaluated.Slow && Ratio >= this->Options.SlowRatio) {
    Evaluated.Slow = true;
    Evaluated.SlowSince = Now;
  } else if (Evaluated.Slow && Ratio < this->Options.RecoveryRatio) {
    Evaluated.Slow = false;
  }
}

void PeerComparison::evaluate(TimePoint Now) {
  std::vector<Duration> Medians;
  for (const auto &[Name, Each] : this->Peers)
    if (Each.Count >= WindowLength)
      Medians.push_back(Each.median());
  if (Medians.size() < MinPeers)
    return;
  // The lower median: if half of the peers are slow, the fast half is the
  // reference.
  auto Middle = Medians.begin() + static_cast<long>((Medians.size() - 1) / 2);
  std::nth_element(Medians.begin(), Middle, Medians.end());
  for (auto &[Name, Each] : this->Peers)
    this->evaluatePeer(Now, Each, *Middle);
}

bool PeerComparison::isSlow(const std::string &Target,
                            Incarnation IncarnationNumber) const {
  auto Found = this->Peers.find(Target);
  return Found != this->Peers.end() &&
         Found->second.IncarnationNumber == IncarnationNumber &&
         Found->second.Slow;
}

} // namespace carobhinge
