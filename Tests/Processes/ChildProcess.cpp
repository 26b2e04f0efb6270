//===- Tests/Processes/ChildProcess.cpp - A process that a test started ---===//
///
/// \file
/// posix_spawn, signals and waiting.
///
//===----------------------------------------------------------------------===//

#include <Processes/ChildProcess.h>

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace carobhinge {

static constexpr auto PollInterval = std::chrono::milliseconds(5);
static constexpr std::size_t MaxChildren = 512;
static constexpr int InterruptedExit = 130;

/// Ids of the children that run; zero is a free place. Read by a signal
/// handler, hence no lock.
static std::array<std::atomic<pid_t>, MaxChildren> Children;

static void replaceChild(pid_t Old, pid_t New) {
  for (std::atomic<pid_t> &Place : Children) {
    pid_t Expected = Old;
    if (Place.compare_exchange_strong(Expected, New))
      return;
  }
}

static void killChildren(int) {
  for (const std::atomic<pid_t> &Place : Children)
    if (pid_t Id = Place; Id > 0)
      kill(Id, SIGKILL);
  _exit(InterruptedExit);
}

void ChildProcess::killAllWhenInterrupted() {
  for (int Number : {SIGTERM, SIGINT, SIGHUP})
    std::signal(Number, killChildren);
}

ChildProcess::ChildProcess(const std::string &Binary,
                           std::vector<std::string> Arguments,
                           const std::string &Log) {
  Arguments.insert(Arguments.begin(), Binary);
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (std::string &Each : Arguments)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  // Connections of this process must not stay open in the child.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Error = posix_spawn(&this->Id, Binary.c_str(), &Actions, nullptr,
                          Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error(Binary + " cannot be started");
  replaceChild(0, this->Id);
}

ChildProcess::~ChildProcess() {
  if (!this->running())
    return;
  this->signal(SIGKILL);
  waitpid(this->Id, nullptr, 0);
  replaceChild(this->Id, 0);
}

void ChildProcess::signal(int Number) const {
  if (!this->Ended)
    kill(this->Id, Number);
}

bool ChildProcess::reap() {
  int Status = 0;
  if (this->Ended || waitpid(this->Id, &Status, WNOHANG) != this->Id)
    return this->Ended.has_value();
  replaceChild(this->Id, 0);
  this->Ended = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return true;
}

ChildProcess::Use ChildProcess::use() const {
  std::string Path = "/proc/" + std::to_string(this->Id) + "/stat";
  std::ifstream File(Path);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  std::size_t NameEnd = Text.rfind(')');
  if (this->Ended || NameEnd == std::string::npos)
    return {};
  // Fields as proc(5) counts them: 3 follows the name; 14 and 15 are ticks in
  // user and system mode, 24 the resident pages.
  std::istringstream Fields(Text.substr(NameEnd + 1));
  std::vector<std::string> Values{std::istream_iterator<std::string>(Fields),
                                  {}};
  double Ticks = std::stod(Values.at(14 - 3)) + std::stod(Values.at(15 - 3));
  double Pages = std::stod(Values.at(24 - 3));
  return {.ProcessorSeconds = Ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
          .ResidentMegabytes =
              Pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20)};
}

bool ChildProcess::running() { return !this->reap(); }

std::optional<int> ChildProcess::wait(std::chrono::milliseconds AtMost) {
  auto Deadline = std::chrono::steady_clock::now() + AtMost;
  while (!this->reap() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return this->Ended;
}

} // namespace carobhinge
