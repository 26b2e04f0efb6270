//===- Tests/Processes/ChildProcess.cpp - A process that a test started ---===//
///
/// \file
/// posix_spawn, signals and waiting.
///
//===----------------------------------------------------------------------===//

#include <Processes/ChildProcess.h>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace carobhinge {

static constexpr auto PollInterval = std::chrono::milliseconds(5);

ChildProcess::ChildProcess(const std::string &Binary,
                           std::vector<std::string> Arguments,
                           const std::string &Log) {
  Arguments.insert(Arguments.begin(), Binary);
  std::vector<char *> Pointers;
  for (std::string &Each : Arguments)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Error = posix_spawn(&this->Id, Binary.c_str(), &Actions, nullptr,
                          Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error(Binary + " cannot be started");
}

ChildProcess::~ChildProcess() {
  if (!this->running())
    return;
  this->signal(SIGKILL);
  waitpid(this->Id, nullptr, 0);
}

void ChildProcess::signal(int Number) const {
  if (!this->Ended)
    kill(this->Id, Number);
}

bool ChildProcess::reap() {
  int Status = 0;
  if (this->Ended || waitpid(this->Id, &Status, WNOHANG) != this->Id)
    return this->Ended.has_value();
  this->Ended = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return true;
}

bool ChildProcess::running() { return !this->reap(); }

std::optional<int> ChildProcess::wait(std::chrono::milliseconds AtMost) {
  auto Deadline = std::chrono::steady_clock::now() + AtMost;
  while (!this->reap() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return this->Ended;
}

} // namespace carobhinge
