//===- Carobhinge/ProcessStart.cpp - The start of a process ---------------===//

#include <Carobhinge/ProcessStart.h>

#include <LibHTTP/Address.h>
#include <LibStore/DataFolder.h>
#include <LibStore/LogStore.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

namespace asio = boost::asio;

namespace carobhinge {

/// Time for the writer of a settings file to finish it.
static constexpr auto SettingsWaitLimit = std::chrono::seconds(3);

static bool endsEarly(const std::string &Path) {
  std::error_code Ignored;
  if (!std::filesystem::is_regular_file(Path, Ignored))
    return false;
  std::ifstream File(Path, std::ios::binary);
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  boost::json::stream_parser Parser;
  boost::system::error_code Error;
  Parser.write(Text, Error);
  return !Error && !Parser.done();
}

void waitForSettings(const std::string &Path) {
  BoundedRetry Retry({.Limit = SettingsWaitLimit});
  bool IsReported = false;
  while (endsEarly(Path)) {
    std::optional<Duration> Pause = Retry.recordFailure(monotonicNow());
    if (!Pause)
      return;
    // The log isn't configured yet.
    if (!std::exchange(IsReported, true))
      std::fprintf(stderr, "carobhinge: %s is incomplete, waiting\n",
                   Path.c_str());
    std::this_thread::sleep_for(*Pause);
  }
}

bool isDataFolderFailure(const std::exception &Error) {
  return dynamic_cast<const DataFolderError *>(&Error) != nullptr ||
         dynamic_cast<const DiskError *>(&Error) != nullptr ||
         dynamic_cast<const CorruptionError *>(&Error) != nullptr ||
         dynamic_cast<const std::filesystem::filesystem_error *>(&Error) !=
             nullptr;
}

ProcessStart::ProcessStart(int Threads, Duration Limit)
    : Threads(Threads), WaitSignals(WaitContext, SIGTERM, SIGINT),
      Retry(BoundedRetryOptions{.Limit = Limit}) {
  this->awaitSignal(this->WaitSignals, this->WaitContext);
}

void ProcessStart::awaitSignal(asio::signal_set &Signals,
                               asio::io_context &Target) {
  Signals.async_wait(
      [this, &Target](const boost::system::error_code &Error, int) {
        // A signal may reach both sets.
        if (Error || std::exchange(this->StopRequested, true))
          return;
        if (this->StopHandler)
          this->StopHandler();
        else
          Target.stop();
      });
}

ProcessStart::~ProcessStart() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

bool ProcessStart::run(
    std::span<const std::string> Addresses,
    const std::function<void(asio::io_context &)> &Construct) {
  while (!this->StopRequested) {
    try {
      // Before the data folder is opened: a predecessor may still write to it.
      for (const std::string &Address : Addresses)
        checkListenAddress(Address);
      // What a failed attempt has posted refers to objects that are gone; it
      // ends with the context of the attempt.
      auto Attempt = std::make_unique<asio::io_context>(this->Threads);
      Construct(*Attempt);
      this->adopt(std::move(Attempt));
      return true;
    } catch (const AddressTakenError &Error) {
      if (!this->pauseAfter(Error.what()))
        throw;
    } catch (const DataFolderError &Error) {
      if (Error.fault() != DataFolderFault::InUse ||
          !this->pauseAfter(Error.what()))
        throw;
    }
  }
  return false;
}

void ProcessStart::adopt(std::unique_ptr<asio::io_context> Constructed) {
  this->Context = std::move(Constructed);
  this->StopSignals.emplace(*this->Context, SIGTERM, SIGINT);
  this->awaitSignal(*this->StopSignals, *this->Context);
  // Signals that came before the new set was there.
  this->WaitContext.restart();
  this->WaitContext.poll();
}

bool ProcessStart::pauseAfter(const std::string &Cause) {
  std::optional<Duration> Pause = this->Retry.recordFailure(monotonicNow());
  if (!Pause)
    return false;
  if (!std::exchange(this->WaitLogged, true))
    logEvent(Severity::Warning, "start-waits",
             {{"cause", Cause},
              {"limit_ms", milliseconds(this->Retry.options().Limit)}});
  this->WaitContext.restart();
  this->WaitContext.run_for(*Pause);
  return true;
}

void ProcessStart::whenStopped(std::function<void()> Handler) {
  if (this->StopRequested)
    asio::post(*this->Context, std::move(Handler));
  else
    this->StopHandler = std::move(Handler);
}

} // namespace carobhinge
