//===- Soak/FaultPlan.cpp - Seeded plans of faults in a deployment --------===//

#include <Soak/FaultPlan.h>

#include <LibCore/Hash.h>
#include <LibStandIn/EndlessForm.h>
#include <algorithm>
#include <array>
#include <optional>
#include <random>

namespace carobhinge {

/// In the order of the enumerators of FaultKind.
static constexpr std::array<const char *, 27> KindNames = {"kill",
                                                           "kill and wipe",
                                                           "stop",
                                                           "freeze",
                                                           "peer link",
                                                           "caller link",
                                                           "endpoint link",
                                                           "endpoint crash",
                                                           "endpoint slow",
                                                           "endpoint drain",
                                                           "reload",
                                                           "change",
                                                           "crashing prompt",
                                                           "request limit",
                                                           "requested pause",
                                                           "leaving endpoint",
                                                           "endless answers",
                                                           "endless request",
                                                           "held bodies",
                                                           "connection reset",
                                                           "host cut",
                                                           "host slow",
                                                           "restart of all",
                                                           "change series",
                                                           "disk full",
                                                           "silence",
                                                           "broken answers"};
/// The kinds before this one are drawn by the first generator.
static constexpr auto FirstApart =
    static_cast<std::size_t>(FaultKind::EndlessAnswers);
/// The kinds from this one on are drawn by DiskGenerator.
static constexpr auto FirstOfDisk =
    static_cast<std::size_t>(FaultKind::DiskFull);
/// In the order of the enumerators of SilenceScope.
static constexpr std::array<const char *, 3> ScopeNames = {
    "alone", "half of its group", "all of its failure domain"};
/// In the order of the enumerators of AfterBrokenAnswer.
static constexpr std::array<const char *, 3> AfterNames = {
    ", then a close", ", then nothing", ", then an answer"};
/// In the order of the enumerators of LinkMode.
static constexpr std::array<const char *, 5> ModeNames = {
    "delayed", "cut", "stalled", "one way", "dark"};

std::string describe(const Fault &Each) {
  std::string Text =
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(Each.StartTime)
              .count()) +
      " ms: " + KindNames[static_cast<std::size_t>(Each.Kind)] + " of " +
      std::to_string(Each.Target) + " for " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(Each.Length)
              .count()) +
      " ms";
  bool IsLinkFault =
      Each.Kind == FaultKind::PeerLink || Each.Kind == FaultKind::CallerLink ||
      Each.Kind == FaultKind::EndpointLink || Each.Kind == FaultKind::HostCut;
  if (IsLinkFault)
    Text += std::string(", ") + ModeNames[static_cast<std::size_t>(Each.Mode)];
  if (Each.Kind == FaultKind::EndpointSilence)
    Text +=
        std::string(", ") + ScopeNames[static_cast<std::size_t>(Each.Scope)];
  if (Each.Kind == FaultKind::BrokenAnswers)
    Text += ", " + std::string(brokenAnswers()[Each.Form].Name) +
            std::string(AfterNames[static_cast<std::size_t>(Each.After)]);
  return Text;
}

namespace {

class PlanGenerator {
public:
  PlanGenerator(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(Seed), Options(Options) {}

  std::vector<Fault> generate() {
    std::size_t SeriesCount = 4 + this->randomBelow(5);
    for (std::size_t I = 0; I < SeriesCount; ++I)
      this->addSeries();
    std::ranges::stable_sort(this->Faults, {}, &Fault::StartTime);
    return std::move(this->Faults);
  }

private:
  /// Returns a number from 0 up to but not including \p Bound.
  std::size_t randomBelow(std::size_t Bound) { return this->Random() % Bound; }
  Duration randomDuration(int MinMs, int MaxMs) {
    return std::chrono::milliseconds(
        MinMs + static_cast<int>(this->randomBelow(
                    static_cast<std::size_t>(MaxMs - MinMs))));
  }

  void addSeries() {
    auto Kind = static_cast<FaultKind>(this->randomBelow(FirstApart));
    // At most one disk is lost in a run.
    if (Kind == FaultKind::KillAndWipe && this->DiskLost)
      Kind = FaultKind::Kill;
    this->DiskLost = this->DiskLost || Kind == FaultKind::KillAndWipe;
    bool IsSingle =
        Kind == FaultKind::KillAndWipe || Kind == FaultKind::CallerLink;
    std::size_t Count = IsSingle ? 1 : 1 + this->randomBelow(4);
    Duration StartTime = this->randomDuration(
        0,
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->Options.StartWindow)
                             .count()));
    // With a small gap the faults of a series overlap; with a large one they
    // follow one another.
    Duration Gap = this->randomDuration(0, 1500);
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.StartTime = StartTime, .Kind = Kind};
      Each.Target = this->randomTarget(Kind);
      Each.Length = this->randomDuration(200, 3000);
      Each.Mode = static_cast<LinkMode>(this->randomBelow(5));
      Each.Delay = Each.Mode == LinkMode::Pass ? this->randomDuration(5, 300)
                                               : Duration::zero();
      this->Faults.push_back(Each);
      StartTime += Gap;
    }
  }

  std::size_t randomTarget(FaultKind Kind) {
    std::size_t EntryHosts = this->Options.Hosts - this->Options.ControlHosts;
    switch (Kind) {
    case FaultKind::KillAndWipe:
      return this->randomBelow(this->Options.ControlHosts);
    case FaultKind::CallerLink:
    case FaultKind::CrashingPrompt:
      return this->Options.ControlHosts + this->randomBelow(EntryHosts);
    case FaultKind::EndpointLink:
    case FaultKind::EndpointCrash:
    case FaultKind::EndpointSlow:
    case FaultKind::EndpointDrain:
    case FaultKind::EndpointLeaving:
      return this->randomBelow(this->Options.Endpoints);
    default:
      return this->randomBelow(this->Options.Hosts);
    }
  }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
  std::vector<Fault> Faults;
  bool DiskLost = false;
};

/// Draws the kinds from EndlessAnswers up to DiskFull.
class ApartGenerator {
public:
  ApartGenerator(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(hash64("apart", Seed)), Options(Options) {}

  std::vector<Fault> generate() {
    std::vector<Fault> Faults;
    std::size_t Count = 1 + this->randomBelow(4);
    auto WindowMs = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->Options.StartWindow)
            .count());
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.StartTime =
                     std::chrono::milliseconds(this->randomBelow(WindowMs))};
      Each.Kind = static_cast<FaultKind>(
          FirstApart + this->randomBelow(FirstOfDisk - FirstApart));
      Each.Target = this->randomBelow(Each.Kind == FaultKind::EndlessAnswers
                                          ? this->Options.Endpoints
                                          : this->Options.Hosts);
      Each.Length = std::chrono::milliseconds(500 + this->randomBelow(2500));
      Each.Mode =
          this->randomBelow(2) == 0 ? LinkMode::Cut : LinkMode::Blackhole;
      Each.Form = this->randomBelow(EndlessChunkForms.size());
      bool IsEndless = Each.Kind == FaultKind::EndlessAnswers ||
                       Each.Kind == FaultKind::EndlessRequest ||
                       Each.Kind == FaultKind::HeldBodies;
      if (!IsEndless || !this->Options.WithoutEndless)
        Faults.push_back(Each);
    }
    return Faults;
  }

private:
  /// Returns a number from 0 up to but not including \p Bound.
  std::size_t randomBelow(std::size_t Bound) { return this->Random() % Bound; }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
};

/// Draws full disks: none in half of the plans, else up to three one after the
/// other.
class DiskGenerator {
public:
  DiskGenerator(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(hash64("disk", Seed)), Options(Options) {}

  /// \p LostDisk is the host that loses its disk in the plan, if one does.
  std::vector<Fault> generate(std::optional<std::size_t> LostDisk) {
    std::vector<Fault> Faults;
    std::size_t Count =
        this->randomBelow(2) == 0 ? 0 : 1 + this->randomBelow(3);
    Duration StartTime = this->randomDuration(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(
               this->Options.StartWindow)
               .count());
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.StartTime = StartTime, .Kind = FaultKind::DiskFull};
      std::size_t Host = this->randomBelow(this->Options.ControlHosts);
      Each.Target = LostDisk.value_or(Host);
      Each.Length = this->randomDuration(500, 4000);
      Faults.push_back(Each);
      // The next disk fills up once this one has room again.
      StartTime += Each.Length + this->randomDuration(100, 2000);
    }
    return Faults;
  }

private:
  /// Returns a number from 0 up to but not including \p Bound.
  std::size_t randomBelow(std::size_t Bound) { return this->Random() % Bound; }
  Duration randomDuration(std::int64_t MinMs, std::int64_t MaxMs) {
    return std::chrono::milliseconds(
        MinMs + static_cast<std::int64_t>(this->randomBelow(
                    static_cast<std::size_t>(MaxMs - MinMs))));
  }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
};

/// Draws silences in series, each beside a change, a reload or a stop. Half of
/// the series come after the other faults, which would excuse what they cost.
class SilenceGenerator {
public:
  SilenceGenerator(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(hash64("silence", Seed)), Options(Options) {}

  std::vector<Fault> generate() {
    std::vector<Fault> Faults;
    std::size_t SeriesCount = 1 + this->randomBelow(3);
    for (std::size_t I = 0; I < SeriesCount; ++I)
      this->addSeries(Faults);
    return Faults;
  }

private:
  void addSeries(std::vector<Fault> &Faults) {
    static constexpr std::array Companions = {
        FaultKind::CatalogChange, FaultKind::Reload, FaultKind::Stop};
    Duration StartTime = this->randomDuration(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(
               this->Options.StartWindow)
               .count());
    if (this->randomBelow(2) == 0)
      StartTime = this->Options.StartWindow + this->randomDuration(3000, 6000);
    Fault Companion{.StartTime = StartTime + this->randomDuration(0, 1000)};
    Companion.Kind = Companions[this->randomBelow(Companions.size())];
    Companion.Target = this->randomBelow(this->Options.Hosts);
    Faults.push_back(Companion);
    std::size_t Count = 1 + this->randomBelow(4);
    Duration Gap = this->randomDuration(100, 2500);
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.StartTime = StartTime, .Kind = FaultKind::EndpointSilence};
      Each.Target = this->randomBelow(this->Options.Endpoints);
      Each.Length = this->randomDuration(300, 1500);
      Each.Scope =
          static_cast<SilenceScope>(this->randomBelow(ScopeNames.size()));
      Faults.push_back(Each);
      StartTime += Gap;
    }
  }

  /// Returns a number from 0 up to but not including \p Bound.
  std::size_t randomBelow(std::size_t Bound) { return this->Random() % Bound; }
  Duration randomDuration(std::int64_t MinMs, std::int64_t MaxMs) {
    return std::chrono::milliseconds(
        MinMs + static_cast<std::int64_t>(this->randomBelow(
                    static_cast<std::size_t>(MaxMs - MinMs))));
  }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
};

/// Draws up to five endpoints in a row, or all at once, that break their
/// answers.
class BrokenAnswerGenerator {
public:
  BrokenAnswerGenerator(std::uint64_t Seed, const FaultPlanOptions &Options)
      : Random(hash64("broken", Seed)), Options(Options) {}

  std::vector<Fault> generate() {
    std::vector<Fault> Faults;
    std::size_t Count = 1 + this->randomBelow(5);
    std::int64_t MaxGapMs = this->randomBelow(2) == 0 ? 1 : 1500;
    Duration StartTime = this->randomDuration(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(
               this->Options.StartWindow)
               .count());
    for (std::size_t I = 0; I < Count; ++I) {
      Fault Each{.StartTime = StartTime, .Kind = FaultKind::BrokenAnswers};
      Each.Target = this->randomBelow(this->Options.Endpoints);
      Each.Length = this->randomDuration(500, 4000);
      Each.Form = this->randomBelow(brokenAnswers().size());
      Each.After =
          static_cast<AfterBrokenAnswer>(this->randomBelow(AfterNames.size()));
      Faults.push_back(Each);
      StartTime += this->randomDuration(0, MaxGapMs);
    }
    return Faults;
  }

private:
  /// Returns a number from 0 up to but not including \p Bound.
  std::size_t randomBelow(std::size_t Bound) { return this->Random() % Bound; }
  Duration randomDuration(std::int64_t MinMs, std::int64_t MaxMs) {
    return std::chrono::milliseconds(
        MinMs + static_cast<std::int64_t>(this->randomBelow(
                    static_cast<std::size_t>(MaxMs - MinMs))));
  }

  std::mt19937_64 Random;
  const FaultPlanOptions &Options;
};

} // namespace

std::vector<Fault> planFaults(std::uint64_t Seed,
                              const FaultPlanOptions &Options) {
  std::vector<Fault> Faults = PlanGenerator(Seed, Options).generate();
  std::ranges::move(ApartGenerator(Seed, Options).generate(),
                    std::back_inserter(Faults));
  auto Wipe = std::ranges::find(Faults, FaultKind::KillAndWipe, &Fault::Kind);
  std::optional<std::size_t> LostDisk;
  if (Wipe != Faults.end())
    LostDisk = Wipe->Target;
  std::ranges::move(DiskGenerator(Seed, Options).generate(LostDisk),
                    std::back_inserter(Faults));
  std::ranges::move(SilenceGenerator(Seed, Options).generate(),
                    std::back_inserter(Faults));
  std::ranges::move(BrokenAnswerGenerator(Seed, Options).generate(),
                    std::back_inserter(Faults));
  std::ranges::stable_sort(Faults, {}, &Fault::StartTime);
  return Faults;
}

} // namespace carobhinge
