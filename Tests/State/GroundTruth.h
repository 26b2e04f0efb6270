//===- Tests/State/GroundTruth.h - Executions and answers of the world ----===//
///
/// \file
/// Records every execution at the fake service and every answer to a caller,
/// and the violations found when the two are compared.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_GROUNDTRUTH_H
#define STATE_GROUNDTRUTH_H

#include <LibLedger/CallEvent.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobhinge::state {

/// A call, or an operator's change of the intent, as its caller sees it.
struct RequestRecord {
  HostName Host;
  std::string Key;
  std::string Content;
  /// Ledger index of the first open, if any.
  std::optional<std::uint64_t> OpenIndex;
  /// Ledger index of the close, or zero.
  std::uint64_t CloseIndex = 0;
  /// "open" until the answer; "cut" if the host was killed first.
  std::string Result = "open";
  std::string Reason;
  std::uint64_t Version = 0;
  bool IsChange = false;
};

class GroundTruth {
public:
  std::map<std::string, RequestRecord> Requests;
  std::vector<std::string> Violations;

  [[nodiscard]] int executions(const std::string &Key) const {
    auto Found = this->Executions.find(Key);
    return Found == this->Executions.end()
               ? 0
               : static_cast<int>(Found->second.size());
  }

  /// Records an execution by the service. Returns the service's answer.
  std::string execute(const RequestRecord &Record) {
    auto &KeyExecutions = this->Executions[Record.Key];
    KeyExecutions.push_back(
        {.OpenIndex = Record.OpenIndex.value_or(0), .Content = Record.Content});
    if (KeyExecutions.size() > 1)
      this->Violations.push_back(Record.Key + " was executed twice");
    this->checkRefusals(Record.Key);
    return "receipt-" + Record.Key + "-" + std::to_string(KeyExecutions.size());
  }

  void recordAnswer(RequestRecord &Record, const Answer &Result) {
    switch (Result.Kind) {
    case AnswerKind::Answered:
      Record.Result = "answered";
      if (Result.Body != "receipt-" + Record.Key + "-1")
        this->Violations.push_back(Record.Key + " got the answer " +
                                   Result.Body);
      if (this->executions(Record.Key) != 1 ||
          this->Executions[Record.Key].front().Content != Record.Content)
        this->Violations.push_back(Record.Key + " was answered but not run");
      break;
    case AnswerKind::NotRun:
      Record.Result = "not-run";
      if (Record.CloseIndex == 0)
        this->Violations.push_back(Record.Key + " was refused without a close");
      this->RefusalIndexes[Record.Key] =
          std::max(this->RefusalIndexes[Record.Key], Record.CloseIndex);
      this->checkRefusals(Record.Key);
      break;
    case AnswerKind::Unknown:
      Record.Result = "unknown";
      break;
    case AnswerKind::Conflict:
      Record.Result = "conflict";
      break;
    case AnswerKind::KeyRefused:
      Record.Result = "key-refused";
      break;
    }
    Record.Reason = Result.Reason;
  }

private:
  struct Execution {
    std::uint64_t OpenIndex = 0;
    std::string Content;
  };

  /// A "not run" answer guarantees that no call opened before its close ever
  /// executes the key.
  void checkRefusals(const std::string &Key) {
    for (const Execution &Each : this->Executions[Key])
      if (Each.OpenIndex < this->RefusalIndexes[Key])
        this->Violations.push_back(Key +
                                   " was refused as not run but was executed");
  }

  std::map<std::string, std::vector<Execution>> Executions;
  std::map<std::string, std::uint64_t> RefusalIndexes;
};

} // namespace carobhinge::state

#endif // STATE_GROUNDTRUTH_H
