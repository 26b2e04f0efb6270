//===- Tests/State/Truth.h - What really happened, and what was promised --===//
///
/// \file
/// The omniscient observer of the state world: executions at the fake service
/// and answers given to callers. Breaks of a promise are kept.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_TRUTH_H
#define STATE_TRUTH_H

#include <LibLedger/CallEvent.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobhinge::state {

/// One call or operator's change, as its caller sees it.
struct Story {
  HostName Host;
  std::string Key;
  std::string Content;
  /// Index of the first open and of the close; zero if there was none.
  std::optional<std::uint64_t> OpenedAt;
  std::uint64_t ClosedAt = 0;
  /// "open" until the answer; "cut" if the host died first.
  std::string Result = "open";
  std::string Reason;
  std::uint64_t Version = 0;
  bool IsChange = false;
};

class Truth {
public:
  std::map<std::string, Story> Stories;
  std::vector<std::string> Violations;

  [[nodiscard]] int executions(const std::string &Key) const {
    auto Found = this->Runs.find(Key);
    return Found == this->Runs.end() ? 0
                                     : static_cast<int>(Found->second.size());
  }

  /// The service runs the call. \returns its answer.
  std::string execute(const Story &Who) {
    auto &Runs = this->Runs[Who.Key];
    Runs.push_back(
        {.OpenedAt = Who.OpenedAt.value_or(0), .Content = Who.Content});
    if (Runs.size() > 1)
      this->Violations.push_back(Who.Key + " was executed twice");
    this->checkRefusals(Who.Key);
    return "receipt-" + Who.Key + "-" + std::to_string(Runs.size());
  }

  void answered(Story &Who, const Answer &Given) {
    switch (Given.Kind) {
    case AnswerKind::Answered:
      Who.Result = "answered";
      if (Given.Body != "receipt-" + Who.Key + "-1")
        this->Violations.push_back(Who.Key + " got the answer " + Given.Body);
      if (this->executions(Who.Key) != 1 ||
          this->Runs[Who.Key].front().Content != Who.Content)
        this->Violations.push_back(Who.Key + " was answered but not run");
      break;
    case AnswerKind::NotRun:
      Who.Result = "not-run";
      if (Who.ClosedAt == 0)
        this->Violations.push_back(Who.Key + " was refused without a close");
      this->RefusedAt[Who.Key] =
          std::max(this->RefusedAt[Who.Key], Who.ClosedAt);
      this->checkRefusals(Who.Key);
      break;
    case AnswerKind::Unknown:
      Who.Result = "unknown";
      break;
    case AnswerKind::Conflict:
      Who.Result = "conflict";
      break;
    case AnswerKind::KeyRefused:
      Who.Result = "key-refused";
      break;
    }
    Who.Reason = Given.Reason;
  }

private:
  struct Execution {
    std::uint64_t OpenedAt = 0;
    std::string Content;
  };

  /// A "not run" says that no call opened before its close ever ran the key.
  void checkRefusals(const std::string &Key) {
    for (const Execution &Each : this->Runs[Key])
      if (Each.OpenedAt < this->RefusedAt[Key])
        this->Violations.push_back(Key + " was refused as not run and ran");
  }

  std::map<std::string, std::vector<Execution>> Runs;
  std::map<std::string, std::uint64_t> RefusedAt;
};

} // namespace carobhinge::state

#endif // STATE_TRUTH_H
