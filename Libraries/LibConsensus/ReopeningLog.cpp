//===- LibConsensus/ReopeningLog.cpp - A log that outlives its failures ---===//

#include <LibConsensus/ReopeningLog.h>

#include <exception>
#include <utility>

namespace carobhinge {

static LogDriverOptions withMachine(LogDriverOptions Options,
                                    StateMachine *Machine) {
  Options.Machine = Machine;
  return Options;
}

ReopeningLog::OpenLog::OpenLog(LogDriverOptions Options,
                               std::unique_ptr<StateMachine> NewMachine)
    : Machine(std::move(NewMachine)),
      Driver(withMachine(std::move(Options), this->Machine.get())) {}

ReopeningLog::ReopeningLog(LogDriverOptions Options, MachineFactory MakeMachine)
    : Options(std::move(Options)), MakeMachine(std::move(MakeMachine)),
      Current(std::make_shared<OpenLog>(this->Options, this->MakeMachine())) {}

std::shared_ptr<LogDriver> ReopeningLog::driver() const {
  std::lock_guard Guard(this->Lock);
  return {this->Current, &this->Current->Driver};
}

std::string ReopeningLog::recover() {
  std::lock_guard Guard(this->OpenLock);
  std::shared_ptr<LogDriver> Failed = this->driver();
  std::string Error = Failed->status().LastError;
  if (Error.empty() || this->Stopped)
    return Error;
  Failed->stop();
  try {
    auto Opened = std::make_shared<OpenLog>(this->Options, this->MakeMachine());
    std::lock_guard Inner(this->Lock);
    this->Current.swap(Opened);
  } catch (const std::exception &Failure) {
    Error = Failure.what();
  }
  return Error;
}

void ReopeningLog::stop() {
  std::lock_guard Guard(this->OpenLock);
  this->Stopped = true;
  this->driver()->stop();
}

} // namespace carobhinge
