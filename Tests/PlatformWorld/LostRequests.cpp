//===- Tests/PlatformWorld/LostRequests.cpp - Requests without an answer --===//

#include <PlatformWorld/LostRequests.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace carobhinge {

/// In the order of the enumerators of LossCause.
static constexpr std::array<const char *, 7> CauseNames = {
    "at its deadline", "fault",  "stop",    "reload",
    "silence",         "change", "no cause"};

static std::string_view nameOf(LossCause Cause) {
  return CauseNames[static_cast<std::size_t>(Cause)];
}

unsigned LossSummary::lost() const {
  unsigned Sum = 0;
  for (const auto &[Cause, Count] : this->Lost)
    Sum += Count;
  return Sum;
}

void LossSummary::add(const LossSummary &Other) {
  this->Calls += Other.Calls;
  this->NotRead += Other.NotRead;
  for (const auto &[Cause, Count] : Other.Lost)
    this->Lost[Cause] += Count;
}

std::string LossSummary::describe() const {
  std::array<char, 64> Share = {};
  double Calls = std::max(this->Calls, 1U);
  std::snprintf(Share.data(), Share.size(),
                "%.2f per 1,000 without a whole "
                "answer",
                1000.0 * this->lost() / Calls);
  std::string Text = Share.data();
  Text += " (" + std::to_string(this->lost()) + " of " +
          std::to_string(this->Calls);
  for (const auto &[Cause, Count] : this->Lost)
    Text += "; " + std::string(nameOf(Cause)) + ": " + std::to_string(Count);
  return Text + ") and " + std::to_string(this->NotRead) + " not read";
}

void LostRequests::add(LossCause Cause, std::optional<std::size_t> Host,
                       TimePoint From, TimePoint Until) {
  this->Events.push_back(
      {.Cause = Cause, .Host = Host, .From = From, .Until = Until});
}

bool LostRequests::concerns(LossCause Cause, const CallRecord &Call) const {
  Duration Before = Cause == LossCause::Fault || Cause == LossCause::Silence
                        ? this->Rules.ContactTime
                        : Duration::zero();
  return std::ranges::any_of(this->Events, [&](const Event &Each) {
    return Each.Cause == Cause && (!Each.Host || Each.Host == Call.Host) &&
           Each.From <= Call.EndedAt && Each.Until >= Call.SentAt - Before;
  });
}

LossCause LostRequests::findCause(const CallRecord &Call) const {
  if (Call.EndedAt - Call.SentAt >= Call.Timeout)
    return LossCause::Deadline;
  for (LossCause Cause : {LossCause::Fault, LossCause::Stop, LossCause::Reload,
                          LossCause::Silence, LossCause::Change})
    if (this->concerns(Cause, Call))
      return Cause;
  return LossCause::None;
}

LossSummary LostRequests::review(std::span<const CallRecord> Calls,
                                 Duration Lag) const {
  LossSummary Summary;
  std::vector<std::string> BesideChanges;
  std::vector<std::string> OnKeptConnections;
  unsigned CallsBesideChanges = 0;
  unsigned CallsWithoutCause = 0;
  for (const CallRecord &Call : Calls) {
    Duration Length = Call.EndedAt - Call.SentAt;
    if (Call.IsLost && !Call.IsExecuted && Length <= this->Rules.Slack + Lag) {
      ++Summary.NotRead;
      continue;
    }
    ++Summary.Calls;
    LossCause Cause = this->findCause(Call);
    CallsBesideChanges += Cause == LossCause::Change;
    CallsWithoutCause += Cause == LossCause::None;
    bool IsUnknown = Call.IsUnknown && Cause == LossCause::Silence;
    if (!Call.IsLost && !IsUnknown)
      continue;
    ++Summary.Lost[Cause];
    std::string Text =
        Call.AttemptId + ": lost at host " + std::to_string(Call.Host) +
        " after " +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Length)
                .count()) +
        " ms, " + (IsUnknown ? "unknown, " : "") +
        (Call.IsExecuted ? "run" : "not run") +
        ", beside: " + std::string(nameOf(Cause));
    if (Cause == LossCause::Stop || Cause == LossCause::Reload ||
        Cause == LossCause::Silence)
      Summary.Violations.push_back(Text);
    bool IsEarly = Length < std::chrono::duration_cast<Duration>(
                                Call.Timeout * this->Rules.MaxTimeShare);
    if (Cause == LossCause::Change && IsEarly)
      BesideChanges.push_back(Text);
    bool IsInTouch = Cause == LossCause::None || Cause == LossCause::Change;
    if (IsInTouch && Call.IsOnKeptConnection && Call.IsExecuted)
      OnKeptConnections.push_back(std::move(Text));
  }
  // Compares the shares of both kinds of times, without division.
  double Beside = static_cast<double>(BesideChanges.size()) *
                  std::max(CallsWithoutCause, 1U);
  double Without = static_cast<double>(Summary.Lost.contains(LossCause::None)
                                           ? Summary.Lost.at(LossCause::None)
                                           : 0) *
                   std::max(CallsBesideChanges, 1U);
  if (Beside > this->Rules.MaxChangeRatio * Without)
    std::ranges::move(BesideChanges, std::back_inserter(Summary.Violations));
  if (OnKeptConnections.size() > this->Rules.MaxOnKeptConnections)
    std::ranges::move(OnKeptConnections,
                      std::back_inserter(Summary.Violations));
  return Summary;
}

} // namespace carobhinge
