//===- Benchmarks/BenchRecovery.cpp - Start time by number of changes -----===//
///
/// \file
/// Writes logs of 1,000, 10,000 and 100,000 changes to a state of fixed size to
/// real files, and measures how long a replica takes to open them and to
/// restore the whole state. The election timeout is not counted, because the
/// clock is simulated. Syncs are not counted either: their number does not
/// depend on the number of changes, and their time would hide the differences,
/// so the disk used here skips them. Each log is written twice: ending right
/// after a snapshot, and right before the next one is due, with the longest log
/// to read.
///
/// usage: BenchRecovery [FOLDER]
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/ReplicaRunner.h>
#include <LibStore/PosixDisk.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <stdexcept>

namespace carobhinge {
namespace {

constexpr int Rounds = 51;
constexpr std::size_t CommandBytes = 200;
/// Number of changes that are made durable together while a log is written.
constexpr std::uint64_t BatchChanges = 50;

/// Keeps the last value of each of a fixed number of keys.
class TableMachine : public StateMachine {
public:
  std::string apply(std::uint64_t Index, std::int64_t /*StampMs*/,
                    std::string_view Command) override {
    this->Values[Index % this->Values.size()] = Command;
    return {};
  }
  [[nodiscard]] std::string snapshot() const override {
    return std::accumulate(this->Values.begin(), this->Values.end(),
                           std::string());
  }
  void restore(std::string_view Snapshot) override {
    for (std::string &Value : this->Values) {
      Value = Snapshot.substr(0, CommandBytes);
      Snapshot.remove_prefix(std::min(CommandBytes, Snapshot.size()));
    }
  }
  [[nodiscard]] bool canRestore(std::string_view /*Snapshot*/) const override {
    return true;
  }

private:
  std::array<std::string, 500> Values;
};

class UnsyncedFile : public DiskFile {
public:
  explicit UnsyncedFile(std::unique_ptr<DiskFile> File)
      : File(std::move(File)) {}
  void append(std::string_view Bytes) override { this->File->append(Bytes); }
  void sync() override {}

private:
  std::unique_ptr<DiskFile> File;
};

class UnsyncedDisk : public PosixDisk {
public:
  std::unique_ptr<DiskFile> open(const std::filesystem::path &File) override {
    return std::make_unique<UnsyncedFile>(PosixDisk::open(File));
  }
  void syncFolder(const std::filesystem::path & /*Folder*/) override {}
};

class NullListener : public ReplicaListener {
public:
  void send(const HostName & /*To*/,
            const message::ConsensusMessage & /*Message*/) override {}
  void onEntryApplied(const message::Entry & /*Entry*/,
                      std::string /*Reply*/) override {}
  void onReadCompleted(std::uint64_t /*Id*/, bool /*Ready*/) override {}
  void onLeadershipLost() override {}
};

/// A single voter, which is a quorum by itself.
struct SingleVoter {
  explicit SingleVoter(const std::filesystem::path &Folder)
      : Runner({.Self = "host", .Voters = {"host"}, .Seed = 1},
               {.Files = &this->Files, .Folder = Folder}, this->Machine,
               this->Listener, this->Now) {}

  void becomeLeader() {
    this->Now += std::chrono::seconds(10);
    this->Runner.replica().tick(this->Now);
    this->Runner.run(this->Now);
    this->Now += std::chrono::seconds(10);
    this->Runner.replica().tick(this->Now);
    this->Runner.run(this->Now);
  }

  UnsyncedDisk Files;
  TableMachine Machine;
  NullListener Listener;
  TimePoint Now{std::chrono::hours(1)};
  ReplicaRunner Runner;
};

void makeLog(const std::filesystem::path &Folder, std::uint64_t Changes) {
  std::filesystem::remove_all(Folder);
  SingleVoter Host(Folder);
  Host.becomeLeader();
  for (std::uint64_t I = 1; I <= Changes; ++I) {
    Host.Runner.replica().propose(Host.Now, 0, std::string(CommandBytes, 'x'));
    if (I % BatchChanges == 0 || I == Changes)
      Host.Runner.run(Host.Now);
  }
}

/// Median times in milliseconds.
struct OpenTimes {
  /// Time to read the files and restore the snapshot.
  double Read = 0;
  /// Time to read the files, restore the snapshot and replay the log.
  double WithReplay = 0;
};

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

OpenTimes measureOpenTimes(const std::filesystem::path &Folder,
                           std::uint64_t Changes) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  std::vector<double> Read;
  std::vector<double> WithReplay;
  for (int Round = 0; Round < Rounds; ++Round) {
    auto Begin = std::chrono::steady_clock::now();
    SingleVoter Host(Folder);
    auto Opened = std::chrono::steady_clock::now();
    Host.becomeLeader();
    auto Done = std::chrono::steady_clock::now();
    Read.push_back(Milliseconds(Opened - Begin).count());
    WithReplay.push_back(Milliseconds(Done - Begin).count());
    if (Host.Runner.replica().role() != Role::Leader ||
        Host.Runner.appliedIndex() < Changes)
      throw std::runtime_error("the replica did not restore the state");
  }
  return {.Read = median(std::move(Read)),
          .WithReplay = median(std::move(WithReplay))};
}

} // namespace
} // namespace carobhinge

int main(int Count, char **Arguments) {
  std::filesystem::path Folder =
      Count > 1 ? Arguments[1] : "Build/BenchRecoveryData";
  constexpr std::array<std::uint64_t, 3> Sizes = {1000, 10000, 100000};
  // Right after and right before a snapshot; each open appends one entry.
  constexpr std::array<std::uint64_t, 2> ExtraChanges = {0, 900};
  std::array<std::array<carobhinge::OpenTimes, 2>, 3> Times{};
  for (std::size_t I = 0; I < Sizes.size(); ++I)
    for (std::size_t J = 0; J < ExtraChanges.size(); ++J) {
      std::uint64_t Changes = Sizes[I] + ExtraChanges[J];
      carobhinge::makeLog(Folder, Changes);
      Times[I][J] = carobhinge::measureOpenTimes(Folder, Changes);
      std::printf("changes %6llu: read %7.3f ms  with replay %7.3f ms\n",
                  static_cast<unsigned long long>(Changes), Times[I][J].Read,
                  Times[I][J].WithReplay);
    }
  std::filesystem::remove_all(Folder);
  std::printf("bench recovery: read 1900=%.3f ms 100900=%.3f ms ratio=%.2f, "
              "with replay ratio=%.2f\n",
              Times[0][1].Read, Times[2][1].Read,
              Times[2][1].Read / Times[0][1].Read,
              Times[2][1].WithReplay / Times[0][1].WithReplay);
  return 0;
}
