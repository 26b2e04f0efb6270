//===- Benchmarks/BenchChoice.cpp - What one decision costs ---------------===//
///
/// \file
/// Time and memory of a choice of target, and of a request's whole way through
/// a Router, at 50, 1,000 and 10,000 targets, with the slope between them.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Router.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <malloc.h>

using namespace carobhinge;

static constexpr std::array<unsigned, 3> Sizes{50, 1000, 10000};
static constexpr std::uint32_t SlotLimit = 8;
static constexpr unsigned Rounds = 7;
static constexpr unsigned ChoicesInRound = 100'000;

static const TimePoint Noon{std::chrono::hours(12)};

static std::vector<Target> targets(unsigned Count) {
  std::vector<Target> Result(Count);
  for (unsigned I = 0; I < Count; ++I) {
    Result[I].Name = "engine-" + std::to_string(I);
    Result[I].IncarnationNumber = 1;
    Result[I].SlotLimit = SlotLimit;
    Result[I].Load = {.Running = I % SlotLimit, .ReceivedAt = Noon};
  }
  return Result;
}

/// Bytes in use on the heap, large blocks included.
static double heapBytes() {
  struct mallinfo2 Use = mallinfo2();
  return static_cast<double>(Use.uordblks + Use.hblkhd);
}

/// Nanoseconds for one call of \p Work, the median over the rounds.
static double nanoseconds(const std::function<void(unsigned)> &Work) {
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

struct ChoiceCost {
  double Nanoseconds = 0;
  /// Of the board and the policy, for each target.
  double BytesPerTarget = 0;
};

/// A choice with seven tenths of the slots in use, which it takes and frees.
static ChoiceCost choiceCost(const std::string &Policy, unsigned Count) {
  std::vector<Target> Targets = targets(Count);
  double Before = heapBytes();
  TargetTable Board;
  Board.replace(Targets);
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  std::unique_ptr<TargetChoice> Choice = makeTargetChoice(Options);
  for (unsigned I = 0; I < Count * SlotLimit * 7 / 10; ++I)
    Board.acquireSlot(
        Choice->choose(Noon, Board, {.PrefixHash = 1 + I}).value());
  double Bytes = heapBytes() - Before;
  RandomGenerator Random(1);
  double Time = nanoseconds([&](unsigned) {
    TargetIndex Where =
        Choice->choose(Noon, Board, {.PrefixHash = Random.next()}).value();
    Board.acquireSlot(Where);
    Board.releaseSlot(Where);
  });
  return {.Nanoseconds = Time, .BytesPerTarget = Bytes / Count};
}

/// Submit, dispatch, first byte and completion of one request.
static ChoiceCost requestCost(const std::string &Policy, unsigned Count) {
  std::vector<Target> Targets = targets(Count);
  double Before = heapBytes();
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  Router Subject(Options);
  Subject.targetsChanged(Noon, Targets);
  RoutedRequest Request{.Workspace = "tanta",
                        .Class = "sheet",
                        .Idempotent = true,
                        .Deadline = Noon + 60s};
  RandomGenerator Random(1);
  auto Serve = [&](unsigned) {
    ++Request.Id;
    Request.PrefixHash = Random.next();
    Subject.submit(Noon, Request);
    AttemptId Attempt = std::get<Dispatch>(Subject.takeEffects()[0]).Attempt;
    Subject.firstByte(Noon + 1ms, Attempt);
    Subject.finished(Noon + 2ms, Attempt, {});
  };
  Serve(0);
  double Bytes = heapBytes() - Before;
  return {.Nanoseconds = nanoseconds(Serve), .BytesPerTarget = Bytes / Count};
}

/// Taking the whole list of targets anew, nanoseconds for each target.
static ChoiceCost listCost(const std::string &Policy, unsigned Count) {
  std::vector<Target> Targets = targets(Count);
  RouterOptions Options;
  Options.Policies.Choice = Policy;
  Router Subject(Options);
  double Time = nanoseconds([&](unsigned Step) {
    if (Step % Count == 0)
      Subject.targetsChanged(Noon, Targets);
  });
  return {.Nanoseconds = Time};
}

static void report(const char *What, const std::string &Policy,
                   ChoiceCost (*Cost)(const std::string &, unsigned)) {
  std::array<double, Sizes.size()> Times{};
  for (std::size_t I = 0; I < Sizes.size(); ++I) {
    ChoiceCost Each = Cost(Policy, Sizes.at(I));
    Times.at(I) = Each.Nanoseconds;
    std::printf("%-8s %-16s %6u targets %9.1f ns %8.0f bytes per target\n",
                What, Policy.c_str(), Sizes.at(I), Each.Nanoseconds,
                Each.BytesPerTarget);
  }
  double Slope = std::log(Times.back() / Times.front()) /
                 std::log(static_cast<double>(Sizes.back()) / Sizes.front());
  std::printf("%-8s %-16s time grows with the number of targets to the %.2f\n",
              What, Policy.c_str(), Slope);
}

int main() {
  for (const char *Policy : {"round-robin", "two-choices", "prefix-affinity"})
    report("choice", Policy, choiceCost);
  report("request", "prefix-affinity", requestCost);
  report("list", "prefix-affinity", listCost);
  return 0;
}
