//===- LibFleet/PeerComparison.cpp - Targets that are slow beside others --===//
///
/// \file
/// Medians of sliding windows, compared with the median of all peers.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/PeerComparison.h>

#include <algorithm>
#include <vector>

namespace carobhinge {

/// With fewer peers than this there is nothing to compare with.
static constexpr std::size_t LeastPeers = 3;

Duration PeerComparison::Peer::median() const {
  std::array<Duration, WindowLength> Sorted = this->Window;
  auto *Middle = Sorted.begin() + WindowLength / 2;
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

void PeerComparison::answered(const std::string &Target, Incarnation Life,
                              Duration Latency) {
  Peer &Known = this->Peers[Target];
  if (Known.Life != Life) {
    Known = Peer();
    Known.Life = Life;
  }
  Known.Window.at(Known.Count % WindowLength) = Latency;
  ++Known.Count;
}

void PeerComparison::judgeOne(TimePoint Now, Peer &Judged,
                              Duration Typical) const {
  if (Judged.Slow && Now - Judged.SlowSince >= this->Options.Probation) {
    Judged.Slow = false;
    Judged.Count = 0;
    return;
  }
  if (Judged.Count < WindowLength)
    return;
  double Ratio =
      static_cast<double>(Judged.median().count()) /
      static_cast<double>(std::max<std::int64_t>(1, Typical.count()));
  if (!Judged.Slow && Ratio >= this->Options.SlowRatio) {
    Judged.Slow = true;
    Judged.SlowSince = Now;
  } else if (Judged.Slow && Ratio < this->Options.WellRatio) {
    Judged.Slow = false;
  }
}

void PeerComparison::judge(TimePoint Now) {
  std::vector<Duration> Medians;
  for (const auto &[Name, Each] : this->Peers)
    if (Each.Count >= WindowLength)
      Medians.push_back(Each.median());
  if (Medians.size() < LeastPeers)
    return;
  // The lower middle: with half of few peers slow, the quick half counts.
  auto Middle = Medians.begin() + static_cast<long>((Medians.size() - 1) / 2);
  std::nth_element(Medians.begin(), Middle, Medians.end());
  for (auto &[Name, Each] : this->Peers)
    this->judgeOne(Now, Each, *Middle);
}

bool PeerComparison::isSlow(const std::string &Target, Incarnation Life) const {
  auto Found = this->Peers.find(Target);
  return Found != this->Peers.end() && Found->second.Life == Life &&
         Found->second.Slow;
}

} // namespace carobhinge
