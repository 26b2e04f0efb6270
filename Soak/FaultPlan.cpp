//===- Soak/FaultPlan.cpp - What is done to a deployment, and when --------===//

#include <Soak/FaultPlan.h>

#include <algorithm>
#include <array>
#include <random>

namespace carobhinge {

static constexpr std::array<const char *, 12> KindNames = {
    "kill",          "kill and wipe",  "stop",          "freeze",
    "peer link",     "caller link",    "endpoint link", "endpoint crash",
    "endpoint slow", "endpoint drain", "reload",        "change"};
static constexpr std::array<const char *, 5> ModeNames = {
    "late", "cut", "stalled", "one way", "dark"};

std::string describe(const Fault &Each) {
  std::string Text =
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(Each.At)
              .count()) +
      " ms: " + KindNames[static_cast<std::size_t>(Each.Kind)] + " of " +
      std::to_string(Each.Target) + " for " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(Each.Length)
              .count()) +
      " ms";
  bool Link = Each.Kind == FaultKind::PeerLink ||
              Each.Kind == FaultKind::CallerLink ||
              Each.Kind == FaultKind::EndpointLink;
  if (Link)
    Text += std::string(", ") + ModeNames[static_cast<std::size_t>(Each.Mode)];
  return Text;
}

namespace {

class Planner {
public:
  Planner(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(Seed), Options(Options) {}

  std::vector<Fault> make() {
    std::size_t Series = 4 + this->below(5);
    for (std::size_t I = 0; I < Series; ++I)
      this->addSeries();
    std::ranges::stable_sort(this->Faults, {}, &Fault::At);
    return std::move(this->Faults);
  }

private:
  std::size_t below(std::size_t Bound) { return this->Random() % Bound; }
  Duration between(int LeastMs, int MostMs) {
    return std::chrono::milliseconds(
        LeastMs + static_cast<int>(
                      this->below(static_cast<std::size_t>(MostMs - LeastMs))));
  }

  void addSeries() {
    auto Kind = static_cast<FaultKind>(this->below(KindNames.size()));
    // One disk may be lost, once.
    if (Kind == FaultKind::KillAndWipe && this->Wiped)
      Kind = FaultKind::Kill;
    this->Wiped = this->Wiped || Kind == FaultKind::KillAndWipe;
    bool Single =
        Kind == FaultKind::KillAndWipe || Kind == FaultKind::CallerLink;
    std::size_t Count = Single ? 1 : 1 + this->below(4);
    Duration At = this->between(
        0,
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->Options.Length)
                             .count()));
    // Some series overlap, others follow one another.
    Duration Gap = this->between(0, 1500);
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.At = At, .Kind = Kind};
      Each.Target = this->target(Kind);
      Each.Length = this->between(200, 3000);
      Each.Mode = static_cast<LinkMode>(this->below(5));
      Each.Delay = Each.Mode == LinkMode::Pass ? this->between(5, 300)
                                               : Duration::zero();
      this->Faults.push_back(Each);
      At += Gap;
    }
  }

  std::size_t target(FaultKind Kind) {
    std::size_t Entries = this->Options.Hosts - this->Options.ControlHosts;
    switch (Kind) {
    case FaultKind::KillAndWipe:
      return this->below(this->Options.ControlHosts);
    case FaultKind::CallerLink:
      return this->Options.ControlHosts + this->below(Entries);
    case FaultKind::EndpointLink:
    case FaultKind::EndpointCrash:
    case FaultKind::EndpointSlow:
    case FaultKind::EndpointDrain:
      return this->below(this->Options.Endpoints);
    default:
      return this->below(this->Options.Hosts);
    }
  }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
  std::vector<Fault> Faults;
  bool Wiped = false;
};

} // namespace

std::vector<Fault> planFaults(std::uint64_t Seed,
                              const FaultPlanOptions &Options) {
  return Planner(Seed, Options).make();
}

} // namespace carobhinge
