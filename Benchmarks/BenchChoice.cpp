//===- Benchmarks/BenchChoice.cpp - Cost of routing one request -----------===//
///
/// \file
/// Measures time and memory of choosing a target, and of the whole path of a
/// request through a Router, at 50, 1,000 and 10,000 targets, and prints the
/// slope.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/EngineCrashDetector.h>
#include <LibRouting/PromptGuard.h>
#include <LibRouting/Router.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>

using namespace carobhinge;

static constexpr std::array<unsigned, 3> Sizes{50, 1000, 10000};
static constexpr std::uint32_t SlotLimit = 8;
static constexpr unsigned Rounds = 7;
static constexpr unsigned ChoicesInRound = 100'000;

static const TimePoint Noon{std::chrono::hours(12)};

static std::vector<Target> makeTargets(unsigned Count) {
  std::vector<Target> Result(Count);
  for (unsigned I = 0; I < Count; ++I) {
    Result[I].Name = "engine-" + std::to_string(I);
    Result[I].IncarnationNumber = 1;
    Result[I].SlotLimit = SlotLimit;
    Result[I].Load = {.Running = I % SlotLimit, .ReceivedAt = Noon};
  }
  return Result;
}

/// Bytes in use on the heap, including mapped blocks.
static double heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Returns the median over the rounds of the nanoseconds per call of \p Work.
static double medianNanoseconds(const std::function<void(unsigned)> &Work) {
  std::vector<double> Times;
  Times.reserve(Rounds);
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    TimePoint Start = monotonicNow();
    for (unsigned I = 0; I < ChoicesInRound; ++I)
      Work(I);
    Times.push_back(static_cast<double>((monotonicNow() - Start).count()) /
                    ChoicesInRound);
  }
  std::ranges::sort(Times);
  return Times[Rounds / 2];
}

struct OperationCost {
  double Nanoseconds = 0;
  /// Heap bytes of the measured objects, divided by the number of targets.
  double BytesPerTarget = 0;
};

/// Measures a choice, and taking and releasing its slot, with seven tenths of
/// the slots in use.
static OperationCost measureChoice(const std::string &Policy, unsigned Count) {
  std::vector<Target> Targets = makeTargets(Count);
  double BytesBefore = heapBytes();
  TargetTable Table;
  Table.replace(Targets);
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  std::unique_ptr<TargetChoice> Choice = makeTargetChoice(Options);
  for (unsigned I = 0; I < Count * SlotLimit * 7 / 10; ++I)
    Table.acquireSlot(
        Noon, Choice->choose(Noon, Table, {.PrefixHash = 1 + I}).value());
  double Bytes = heapBytes() - BytesBefore;
  RandomGenerator Random(1);
  double Time = medianNanoseconds([&](unsigned) {
    TargetIndex Chosen =
        Choice->choose(Noon, Table, {.PrefixHash = Random.next()}).value();
    Table.acquireSlot(Noon, Chosen);
    Table.releaseSlot(Chosen);
  });
  return {.Nanoseconds = Time, .BytesPerTarget = Bytes / Count};
}

/// Measures submit, dispatch, first byte and completion of one request.
static OperationCost measureRequest(const std::string &Policy, unsigned Count) {
  std::vector<Target> Targets = makeTargets(Count);
  double BytesBefore = heapBytes();
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  Router TestedRouter(Options);
  TestedRouter.setTargets(Noon, Targets);
  RoutedRequest Request{.Workspace = "tanta",
                        .Class = "sheet",
                        .Idempotent = true,
                        .Deadline = Noon + 60s};
  RandomGenerator Random(1);
  auto Serve = [&](unsigned) {
    ++Request.Id;
    Request.PrefixHash = Random.next();
    TestedRouter.submit(Noon, Request);
    AttemptId Attempt =
        std::get<Dispatch>(TestedRouter.takeEffects()[0]).Attempt;
    TestedRouter.reportFirstByte(Noon + 1ms, Attempt);
    TestedRouter.reportOutcome(Noon + 2ms, Attempt, {});
  };
  Serve(0);
  double Bytes = heapBytes() - BytesBefore;
  return {.Nanoseconds = medianNanoseconds(Serve),
          .BytesPerTarget = Bytes / Count};
}

/// Measures replacing the whole list of targets, in nanoseconds per target.
static OperationCost measureListUpdate(const std::string &Policy,
                                       unsigned Count) {
  std::vector<Target> Targets = makeTargets(Count);
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  Router TestedRouter(Options);
  double Time = medianNanoseconds([&](unsigned Step) {
    if (Step % Count == 0)
      TestedRouter.setTargets(Noon, Targets);
  });
  return {.Nanoseconds = Time};
}

/// Prints the cost of all that one request adds to the search for prompts that
/// crash engines, with full tables, for a prompt that was answered before and
/// for one with a new part.
static void printGuardCost() {
  static constexpr PromptPart FirstRefused = 1'000'000;
  CrashAttributionOptions Limits;
  PromptGuard Guard;
  EngineCrashDetector Detector;
  std::vector<PromptParts> Refusals;
  SuspectParts Suspects;
  for (PromptPart I = 0; I < Limits.MaxRefusals; ++I)
    Refusals.push_back({FirstRefused + I});
  for (PromptPart I = 0; I < Limits.MaxSuspects; ++I)
    Suspects.Parts.push_back(2 * FirstRefused + I);
  Guard.setRefusals(std::move(Refusals));
  Guard.setSuspects(Suspects);
  for (bool IsNew : {false, true}) {
    EngineCrashDetector::AttemptKey Key = 0;
    double BytesBefore = heapBytes();
    double Time = medianNanoseconds([&](unsigned Step) {
      PromptParts Prompt = {1, IsNew ? 3 * FirstRefused + ++Key : Step % 200};
      if (!Guard.findRefusal(Prompt).empty())
        std::abort();
      Detector.beginAttempt(Noon, Step + 1, "engine-1", Prompt);
      Detector.recordProgress(Noon, Step + 1);
      Detector.endAttempt(Noon, Step + 1, ConnectionEnd::Orderly);
      Guard.recordAnswer(Noon, Prompt);
    });
    std::printf("%-8s %-16s %9.1f ns a request, %8.0f bytes in all\n", "guard",
                IsNew ? "new-parts" : "known-parts", Time,
                heapBytes() - BytesBefore);
  }
}

static void printCosts(const char *Operation, const std::string &Policy,
                       OperationCost (*Measure)(const std::string &,
                                                unsigned)) {
  std::array<double, Sizes.size()> Times{};
  for (std::size_t I = 0; I < Sizes.size(); ++I) {
    OperationCost Each = Measure(Policy, Sizes.at(I));
    Times.at(I) = Each.Nanoseconds;
    std::printf("%-8s %-16s %6u targets %9.1f ns %8.0f bytes per target\n",
                Operation, Policy.c_str(), Sizes.at(I), Each.Nanoseconds,
                Each.BytesPerTarget);
  }
  double Slope = std::log(Times.back() / Times.front()) /
                 std::log(static_cast<double>(Sizes.back()) / Sizes.front());
  std::printf("%-8s %-16s time grows with the number of targets to the %.2f\n",
              Operation, Policy.c_str(), Slope);
}

int main() {
  for (const char *Policy : {"round-robin", "two-choices", "prefix-affinity"})
    printCosts("choice", Policy, measureChoice);
  printCosts("request", "prefix-affinity", measureRequest);
  printCosts("list", "prefix-affinity", measureListUpdate);
  printGuardCost();
  return 0;
}
