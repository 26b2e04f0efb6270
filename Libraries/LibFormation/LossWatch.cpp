//===- LibFormation/LossWatch.cpp - Which engines are lost ----------------===//

#include <LibFormation/LossWatch.h>

namespace carobhinge {

void LossWatch::flowed(const GroupName &Group, std::uint64_t Epoch,
                       TimePoint At) {
  Flowing &Newest = this->Flow[Group];
  if (Epoch > Newest.Epoch)
    Newest = {.Epoch = Epoch, .At = At};
  else if (Epoch == Newest.Epoch)
    Newest.At = std::max(Newest.At, At);
}

void LossWatch::silent(TimePoint Now, const GroupName &Group) {
  this->Silence[Group] = Now;
}

bool LossWatch::flows(TimePoint Now, const EngineRecord &Record) const {
  if (!Record.Report.Group)
    return false;
  auto Found = this->Flow.find(Record.Report.Group->Group);
  auto Silent = this->Silence.find(Record.Report.Group->Group);
  if (Found != this->Flow.end() && Silent != this->Silence.end() &&
      Silent->second > Found->second.At)
    return false;
  // One that was replaced proves nothing by the group's going on without it.
  return Found != this->Flow.end() &&
         Found->second.Epoch == Record.Report.Group->Epoch &&
         Now - Found->second.At < this->Options.FlowAge;
}

bool LossWatch::suspects(TimePoint Now, const GroupName &Group) const {
  auto Silent = this->Silence.find(Group);
  if (Silent == this->Silence.end() ||
      Now - Silent->second > this->Options.SuspectFor)
    return false;
  auto Found = this->Flow.find(Group);
  return Found == this->Flow.end() || Found->second.At < Silent->second;
}

std::vector<EndpointName> LossWatch::toAsk(TimePoint Now) {
  std::vector<EndpointName> Ask;
  for (const auto &[Id, Record] : this->Engines.all()) {
    Duration Age = Now - Record.HeardAt;
    bool Overdue =
        Age > this->Options.ReportInterval + this->Options.ReportMargin;
    bool Suspect = false;
    if (Record.Report.Group) {
      auto Found = this->Silence.find(Record.Report.Group->Group);
      Suspect = Found != this->Silence.end() &&
                Now - Found->second < this->Options.AskAgain;
    }
    if ((!Overdue && !Suspect) || this->flows(Now, Record))
      continue;
    Asked &Question = this->Questions[Id];
    Duration Again =
        Question.FailedAt ? this->Options.AskLostAgain : this->Options.AskAgain;
    if (Question.Waiting || Now - Question.At < Again)
      continue;
    Question.At = Now;
    Question.Waiting = true;
    Ask.push_back(Id);
  }
  return Ask;
}

void LossWatch::answered(TimePoint, const EndpointName &Id) {
  Asked &Question = this->Questions[Id];
  Question.Waiting = false;
  Question.FailedAt.reset();
}

void LossWatch::unanswered(TimePoint Now, const EndpointName &Id) {
  Asked &Question = this->Questions[Id];
  Question.Waiting = false;
  if (!Question.FailedAt)
    Question.FailedAt = Now;
}

std::set<EndpointName> LossWatch::lost(TimePoint Now) {
  std::set<EndpointName> Lost;
  std::erase_if(this->Questions, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr;
  });
  for (auto &[Id, Question] : this->Questions) {
    if (!Question.FailedAt)
      continue;
    const EngineRecord &Record = *this->Engines.find(Id);
    // It was heard after it had failed to answer.
    if (Record.HeardAt > *Question.FailedAt) {
      Question.FailedAt.reset();
      continue;
    }
    if (!this->flows(Now, Record))
      Lost.insert(Id);
  }
  return Lost;
}

} // namespace carobhinge
