//===- LibRouting/CrashAttribution.h - Finds prompts that crash engines ---===//
///
/// \file
/// Decides from crashes and answers which parts of prompts, and which requests,
/// crash engines. A request that comes again is known by its fingerprint, which
/// counts as one more part of its prompt. When an engine crashes, each prompt
/// in progress on it is a suspect; a part that an engine answers in full is
/// acquitted. Engines also crash for other reasons, alone or many at once, so a
/// part is refused only if it was in progress at several separate crashes, if
/// no other part explains them better, if it is behind a good share of all
/// crashes meanwhile, and if engines went on answering other prompts.
///
/// Parts that always occur together can't be told apart. They are refused
/// together: a prompt is refused if it has all parts of a refused combination,
/// so that a prompt with only the harmless ones is served.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_CRASHATTRIBUTION_H
#define LIBROUTING_CRASHATTRIBUTION_H

#include <LibRouting/CrashReport.h>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace carobhinge {

struct CrashAttributionOptions {
  /// A part is refused after this many separate crashes. Two crashes are
  /// separate for a part if a prompt with it began on the second engine after
  /// the first one had crashed, unless they may have one cause with the crash
  /// of an engine without the part.
  int MinCrashes = 4;
  /// The same for the fingerprint of a request. More are needed while engines
  /// crash for other reasons: most requests come once, with their retries, and
  /// no answer acquits one that is lost each time.
  int MinRequestCrashes = 3;
  /// Sound requests that may be expected to have as many crashes by chance,
  /// among all requests of AnswerMemory.
  double MaxChanceRefusals = 0.00001;
  /// Prompts with a part that has enough separate crashes are held back for
  /// this long after the newest one; by then the refusal is in force.
  Duration JudgeTime = std::chrono::seconds(2);
  /// Separate crashes that count for a part if they are all on one request:
  /// that request may be guilty itself, or follow a guilty one from engine to
  /// engine.
  int MaxCrashesOfRequest = 2;
  /// Separate crashes after which the system no longer retries prompts with the
  /// part by itself.
  int MaxCrashesForRetry = 2;
  /// Times that different hosts report may be this far apart; a retry begins at
  /// the very moment of the crash.
  Duration TimeTolerance = std::chrono::milliseconds(10);
  /// Engines that crash within this time of each other may have one cause:
  /// failures of hosts, racks and failure domains end many at once.
  Duration CommonCauseTime = std::chrono::milliseconds(60);
  /// A crash is judged this long after it was seen. By then the other entry
  /// hosts have reported the prompts that they had on the engine, and the
  /// suspects that they saw answered.
  Duration SettleTime = std::chrono::milliseconds(500);
  /// Reports of one engine within this time are about the same crash. Shorter
  /// than an engine takes to start.
  Duration SameCrashTime = std::chrono::milliseconds(1500);
  /// Two connections of one engine may end this much apart in a crash.
  Duration CloseSpread = std::chrono::milliseconds(50);
  /// An answer acquits a part of the crashes that follow within this time.
  Duration AnswerMemory = std::chrono::seconds(60);
  /// Crashes that are older are no evidence.
  Duration CrashMemory = std::chrono::minutes(10);
  /// A refused part was in progress at no less than this fraction of all
  /// crashes between its first and its last one. Crashes that may have one
  /// cause count once.
  double MinCrashShare = 0.25;
  /// A part of a refused combination is refused alone after this many separate
  /// crashes without the others.
  int MinCrashesAlone = 2;
  /// More are dropped, from the largest group of crashes with one cause and
  /// from the oldest prompts.
  std::size_t MaxCrashes = 128;
  std::size_t MaxPromptsPerCrash = 64;
  std::size_t MaxSuspects = 128;
  std::size_t MaxRefusals = 256;
};

/// Prompts with all these parts are refused.
struct PromptRefusal {
  /// In ascending order; never empty.
  PromptParts Parts = {};
  /// The engines that crashed with such a prompt in progress, oldest first.
  std::vector<EndpointName> Engines = {};
};

/// Returns whether \p Prompt has all \p Parts.
[[nodiscard]] bool hasAllParts(std::span<const PromptPart> Prompt,
                               std::span<const PromptPart> Parts);

/// Parts that may crash engines.
struct SuspectParts {
  /// The parts in progress at unexplained crashes, most crashes first, then
  /// other requests that are held back. An answer of one of them is evidence,
  /// as is one of a refused part.
  std::vector<PromptPart> Parts = {};
  /// Those with MaxCrashesForRetry crashes: the system itself must not send
  /// a prompt with one of them to a second engine.
  std::vector<PromptPart> NotRetried = {};
  /// Those that engines may crash on, though the evidence for a refusal is not
  /// sufficient yet. No prompt with one of them is sent to an engine, other
  /// than by a permit.
  std::vector<PromptPart> HeldBack = {};

  bool operator==(const SuspectParts &) const = default;
};

class CrashAttribution {
public:
  explicit CrashAttribution(CrashAttributionOptions Options = {})
      : Options(Options) {}

  /// Adds a report; reports of several hosts on one crash are merged, and one
  /// that arrives twice changes nothing.
  void recordCrash(const CrashReport &Report);
  /// The engine sent an event or an answer at \p At. If that was after the last
  /// connection was lost in a reported crash, the engine has not crashed.
  /// \returns whether a crash counts no longer.
  bool recordProgress(const EndpointName &Engine, TimePoint At);
  /// An engine answered a prompt with \p Part in full at \p At. Only suspects()
  /// matter; other parts are ignored.
  void recordAnswer(TimePoint At, PromptPart Part);
  /// Engines answered \p Count prompts in full up to \p At.
  void recordAnswerCount(TimePoint At, std::uint64_t Count);

  /// Replaces the refusals in force. The evidence for those that end is
  /// forgotten.
  void setRefusals(std::vector<PromptParts> Refusals);

  /// \returns the next combination to refuse, if the evidence is sufficient.
  /// The caller puts it in force by setRefusals().
  [[nodiscard]] std::optional<PromptRefusal> findGuilty(TimePoint Now);
  /// A refusal in force, and the parts of it that are still suspect; none if
  /// the refusal is to end.
  struct Change {
    PromptParts Refused;
    PromptParts Remaining;
  };
  /// \returns a refusal of which some parts were answered since it came into
  /// force, or of which one part went on to crash engines without the others.
  [[nodiscard]] std::optional<Change> findChange(TimePoint Now) const;

  [[nodiscard]] SuspectParts suspects(TimePoint Now) const;
  [[nodiscard]] std::size_t crashCount() const { return this->Crashes.size(); }

private:
  struct Crash {
    TimePoint At;
    EndpointName Engine;
    /// With the time at which each began; the latest one.
    std::map<PromptParts, TimePoint> Prompts;
    /// When the last host lost its requests; a busy host notices it late.
    TimePoint LastLossAt;
    TimePoint LastProgressAt = TimePoint::min();

    /// Returns whether a prompt with all \p Parts was in progress.
    [[nodiscard]] bool has(const PromptParts &Parts) const;
  };
  /// A part that is suspect in one crash.
  struct CrashPart {
    /// Suspect parts that were in every prompt with it.
    PromptParts CommonParts;
    /// When the latest prompt with it began, and the fingerprint of its
    /// request.
    TimePoint BeganAt;
    PromptPart Request = 0;
  };
  using CrashPartMap = std::map<PromptPart, CrashPart>;
  /// What speaks against one part.
  struct Evidence {
    /// All crashes with the part; the counts below leave out those that seem to
    /// have another cause.
    int Crashes = 0;
    int SeparateCrashes = 0;
    TimePoint LastSeparateAt = {};
    /// Separate crashes by the fingerprint of the request.
    std::map<PromptPart, int> CrashesByRequest;
    int LastSeparateGroup = 0;
    /// Groups of crashes that may have one cause: those with the part, and the
    /// numbers of the first and the last one among all.
    int Groups = 0;
    int FirstGroup = 0;
    int LastGroup = 0;
    TimePoint FirstAt = {};
    /// Parts that were in every prompt with this part.
    PromptParts CommonParts;
    std::vector<EndpointName> Engines;
    /// When the newest prompt with it began.
    TimePoint LastBeganAt = {};
    /// Prompts that were lost in the groups of crashes with the part.
    std::size_t LostBeside = 0;
  };
  /// A request that was in progress at crashes, explained or not.
  struct RequestCrashes {
    int Count = 0;
    /// When MinRequestCrashes were reached.
    TimePoint HeldBackSince = TimePoint::max();
  };
  using RequestCrashMap = std::map<PromptPart, RequestCrashes>;
  using EvidenceMap = std::map<PromptPart, Evidence>;

  void removeExpired(TimePoint Now);
  void removeFromLargestGroup();
  [[nodiscard]] bool isAcquitted(PromptPart Part, TimePoint CrashAt) const;
  /// Returns whether \p Each needs an explanation: it is a crash, and no
  /// refused prompt was in progress.
  [[nodiscard]] bool isUnexplained(const Crash &Each) const;
  [[nodiscard]] PromptParts suspectParts(const Crash &Each,
                                         const PromptParts &Prompt) const;
  [[nodiscard]] CrashPartMap suspectsOf(const Crash &Each) const;
  /// Engines in \p Group, given by their suspects, that crashed without \p
  /// Part. Of two engines, the other one does not count if \p Known has nearly
  /// sufficient evidence against a part on it.
  [[nodiscard]] std::size_t countOthers(std::span<const CrashPartMap> Group,
                                        PromptPart Part,
                                        const EvidenceMap &Known) const;
  /// Adds the evidence of crashes that may have one cause.
  void addEvidence(std::span<const Crash *const> Group, int GroupNumber,
                   const EvidenceMap &Known, EvidenceMap &All) const;
  /// Evidence from all unexplained crashes up to \p Until.
  [[nodiscard]] EvidenceMap collectEvidence(TimePoint Until) const;
  /// The same, given the evidence \p Known against other parts.
  [[nodiscard]] EvidenceMap collectEvidence(TimePoint Until,
                                            const EvidenceMap &Known) const;
  /// The parts of \p Refused that crashed engines without the others; empty if
  /// that can't be told.
  [[nodiscard]] PromptParts findGuiltyAlone(TimePoint Until,
                                            const PromptParts &Refused) const;
  [[nodiscard]] bool hasRival(const EvidenceMap &All, PromptPart Part) const;
  /// Separate crashes after which \p Part is refused while engines crash for no
  /// other reason.
  [[nodiscard]] int minCrashes(PromptPart Part) const;
  /// Returns whether the crashes in \p All speak against \p Part, if \p Needed
  /// separate ones suffice.
  [[nodiscard]] bool isSuspicious(const EvidenceMap &All, PromptPart Part,
                                  int Needed) const;
  /// Separate crashes that are needed, given the prompts that were lost in
  /// other crashes.
  [[nodiscard]] int neededCrashes(TimePoint Until, const EvidenceMap &All,
                                  PromptPart Part) const;
  /// The requests in progress at MinRequestCrashes crashes or more up to \p
  /// Until. They are held back, also if others were at the same crashes: when
  /// few engines are left, sound requests follow a guilty one from engine to
  /// engine, and only its next crash, under a permit, tells them apart.
  [[nodiscard]] RequestCrashMap heldRequests(TimePoint Until) const;
  /// Returns whether the evidence \p All suffices to refuse \p Part.
  [[nodiscard]] bool isGuilty(TimePoint Until, const EvidenceMap &All,
                              const RequestCrashMap &Held,
                              PromptPart Part) const;
  /// Returns whether the engine of \p Each went on after its connections were
  /// lost.
  [[nodiscard]] bool hasGoneOn(const Crash &Each) const;
  /// Prompts that were lost in unexplained crashes since \p Since.
  [[nodiscard]] std::size_t countLost(TimePoint Since) const;
  /// Returns whether engines have answered since \p At. If not, they themselves
  /// may be at fault.
  [[nodiscard]] bool hasAnswersSince(TimePoint At) const;

  CrashAttributionOptions Options;
  /// In the order of their time.
  std::vector<Crash> Crashes;
  /// When each suspect was last answered.
  std::map<PromptPart, TimePoint> Answers;
  /// Times up to which prompts were answered, one entry for each, the newest
  /// MinCrashes only.
  std::deque<TimePoint> RecentAnswers;
  /// Prompts that were answered, by the time of the report. Not older than
  /// AnswerMemory.
  std::map<TimePoint, std::uint64_t> AnswerCounts;
  std::vector<PromptParts> Refusals;
};

} // namespace carobhinge

#endif // LIBROUTING_CRASHATTRIBUTION_H
