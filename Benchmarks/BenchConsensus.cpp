//===- Benchmarks/BenchConsensus.cpp - Commits per second of one log ------===//
///
/// \file
/// Runs three and five drivers in one process with real files and real syncs;
/// messages go from queue to queue. Batched: all waiting events are made
/// durable together. Unbatched: each event is made durable by itself. A fixed
/// number of proposals is open at any time: each completed one is followed by
/// the next.
///
/// usage: BenchConsensus [FOLDER [SECONDS]]
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/LogDriver.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

namespace carobhinge {
namespace {

/// Number of proposals that are open at any time.
constexpr int OpenProposals = 128;
constexpr std::size_t CommandBytes = 200;

class CountingMachine : public StateMachine {
public:
  std::string apply(std::uint64_t /*Index*/, std::int64_t /*StampMs*/,
                    std::string_view /*Command*/) override {
    return std::to_string(++this->Count);
  }
  [[nodiscard]] std::string snapshot() const override {
    return std::to_string(this->Count);
  }
  void restore(std::string_view Snapshot) override {
    this->Count = std::stoull(std::string(Snapshot));
  }
  [[nodiscard]] bool canRestore(std::string_view Snapshot) const override {
    return !Snapshot.empty() &&
           Snapshot.find_first_not_of("0123456789") == std::string_view::npos;
  }

private:
  std::uint64_t Count = 0;
};

struct Measurements {
  double PerSecond = 0;
  double MedianMs = 0;
  double P99Ms = 0;
  std::size_t Failed = 0;
};

class ConsensusBenchmark {
public:
  ConsensusBenchmark(std::filesystem::path Folder, std::size_t Voters,
                     bool Batched)
      : Folder(std::move(Folder)) {
    std::filesystem::remove_all(this->Folder);
    for (std::size_t I = 0; I < Voters; ++I)
      this->Hosts.push_back("host-" + std::to_string(I));
    for (const HostName &Host : this->Hosts)
      this->start(Host, Batched);
  }
  ConsensusBenchmark(const ConsensusBenchmark &) = delete;
  ConsensusBenchmark &operator=(const ConsensusBenchmark &) = delete;
  ~ConsensusBenchmark() {
    for (auto &[Host, Driver] : this->Drivers)
      Driver->stop();
    std::filesystem::remove_all(this->Folder);
  }

  Measurements run(std::chrono::seconds Length) {
    LogDriver &Leader = this->awaitLeader();
    this->Running = true;
    for (int I = 0; I < OpenProposals; ++I)
      this->propose(Leader);
    std::this_thread::sleep_for(Length);
    this->Running = false;
    while (this->OpenCount > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::lock_guard Guard(this->LatenciesLock);
    std::sort(this->Latencies.begin(), this->Latencies.end());
    std::size_t Count = this->Latencies.size();
    if (Count == 0)
      return {.Failed = this->Failed};
    return {.PerSecond = double(Count) / double(Length.count()),
            .MedianMs = this->Latencies[Count / 2],
            .P99Ms = this->Latencies[Count * 99 / 100],
            .Failed = this->Failed};
  }

private:
  void start(const HostName &Host, bool Batched) {
    ReplicaBounds Bounds;
    if (!Batched) {
      Bounds.ProposalsPerBatch = 1;
      Bounds.EntriesPerMessage = 1;
    }
    auto Driver = std::make_unique<LogDriver>(LogDriverOptions{
        .Self = Host,
        .Voters = this->Hosts,
        .Folder = this->Folder / Host,
        .Bounds = Bounds,
        .Send =
            [this, Host](const HostName &To, const auto &Message) {
              std::lock_guard Guard(this->DriversLock);
              auto Found = this->Drivers.find(To);
              if (Found != this->Drivers.end())
                Found->second->receive(Host, Message);
            },
        .Machine = &this->Machines[Host]});
    std::lock_guard Guard(this->DriversLock);
    this->Drivers[Host] = std::move(Driver);
  }

  LogDriver &awaitLeader() {
    while (true) {
      for (auto &[Host, Driver] : this->Drivers)
        if (Driver->status().RepairComplete)
          return *Driver;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  void propose(LogDriver &Leader) {
    ++this->OpenCount;
    auto Begin = std::chrono::steady_clock::now();
    Leader.propose(std::string(CommandBytes, 'x'),
                   [this, &Leader, Begin](const ProposalResult &Result) {
                     this->recordResult(Leader, Begin, Result);
                   });
  }

  void recordResult(LogDriver &Leader,
                    std::chrono::steady_clock::time_point Begin,
                    const ProposalResult &Result) {
    std::chrono::duration<double, std::milli> Latency =
        std::chrono::steady_clock::now() - Begin;
    bool Committed = Result.Status == ProposalStatus::Committed;
    if (this->Running) {
      std::lock_guard Guard(this->LatenciesLock);
      if (Committed)
        this->Latencies.push_back(Latency.count());
      else
        ++this->Failed;
    }
    if (this->Running && Committed)
      this->propose(Leader);
    --this->OpenCount;
  }

  std::filesystem::path Folder;
  std::vector<HostName> Hosts;
  std::map<HostName, CountingMachine> Machines;
  std::mutex DriversLock;
  std::map<HostName, std::unique_ptr<LogDriver>> Drivers;
  std::atomic<bool> Running = false;
  std::atomic<int> OpenCount = 0;
  std::mutex LatenciesLock;
  /// In milliseconds.
  std::vector<double> Latencies;
  std::size_t Failed = 0;
};

} // namespace
} // namespace carobhinge

int main(int Count, char **Arguments) {
  std::filesystem::path Folder =
      Count > 1 ? Arguments[1] : "Build/BenchConsensusData";
  std::chrono::seconds Length(Count > 2 ? std::atoi(Arguments[2]) : 4);
  std::string Summary = "bench consensus:";
  for (std::size_t Voters : {3, 5}) {
    for (bool Batched : {true, false}) {
      carobhinge::ConsensusBenchmark Run(Folder, Voters, Batched);
      carobhinge::Measurements Measured = Run.run(Length);
      const char *Name = Batched ? "batched" : "unbatched";
      std::printf("voters %zu %-9s %9.0f commits/s  median %7.2f ms  p99 "
                  "%7.2f ms  failed %zu\n",
                  Voters, Name, Measured.PerSecond, Measured.MedianMs,
                  Measured.P99Ms, Measured.Failed);
      std::fflush(stdout);
      Summary += " " + std::string(Name) + std::to_string(Voters) + "=" +
                 std::to_string(std::lround(Measured.PerSecond)) + "/s";
    }
  }
  std::puts(Summary.c_str());
  return 0;
}
