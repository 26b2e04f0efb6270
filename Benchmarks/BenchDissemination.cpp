//===- Benchmarks/BenchDissemination.cpp - What spreading changes costs ---===//
///
/// \file
/// Bytes, processor time and memory of the intent's dissemination for each
/// host and change, at several numbers of hosts in one process, and the time
/// until a change is in force everywhere on a hand-turned clock. Hosts lie in
/// seven failure domains; control hosts are three or, from a hundred hosts on,
/// seventeen or fewer.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationWorld.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <malloc.h>

using namespace carobhinge;
using namespace std::chrono_literals;

static constexpr std::size_t DomainCount = 7;
static constexpr int Changes = 20;
static constexpr Duration Step = 10ms;
static constexpr Duration LinkDelay = 25ms;
static constexpr double LimitSeconds = 13;

/// A text of about twenty thousand bytes in which one number differs.
static std::string text(int Weight) {
  std::string Text = R"({"cluster": "c", "failure_domains": [)";
  for (std::size_t I = 0; I < DomainCount; ++I)
    Text += (I ? R"(, {"name": "d)" : R"({"name": "d)") + std::to_string(I) +
            R"(", "region": "r"})";
  Text += R"(], "workspaces": [{"name": "w", "weight": )" +
          std::to_string(Weight) + "}";
  for (int I = 0; I < 250; ++I)
    Text += R"(, {"name": "workspace-)" + std::to_string(I) +
            R"(", "weight": 4, "queue_limit": 400})";
  Text += R"(], "classes": [{"name": "k"}], "services": [{"name": "s",
      "kind": "plain"})";
  for (int I = 0; I < 30; ++I)
    Text += R"(, {"name": "service-)" + std::to_string(I) +
            R"(", "kind": "plain", "concurrency": 32, "calls": [
            {"name": "get", "method": "GET", "path": "/items/*",
             "idempotent": true}]})";
  return Text + "]}";
}

static WorldOptions options(std::size_t Hosts) {
  WorldOptions Result;
  for (std::size_t I = 0; I < DomainCount; ++I)
    Result.Domains.push_back("d" + std::to_string(I));
  Result.HostsPerDomain = std::max<std::size_t>(2, Hosts / DomainCount);
  Result.ControlPerDomain = Hosts < 100 ? 1 : 2;
  Result.LinkDelay = LinkDelay;
  Result.Jitter = 5ms;
  return Result;
}

struct Traffic {
  double Bytes = 0;
  double Messages = 0;
  double MostBytes = 0;
  double ProcessorMicroseconds = 0;
};

/// Sums over all hosts since the last call, and the busiest host's bytes.
static Traffic takeTraffic(DisseminationWorld &World) {
  Traffic Result;
  for (auto &[Name, Each] : World.Hosts) {
    auto Bytes = static_cast<double>(Each.BytesSent + Each.BytesReceived);
    Result.Bytes += Bytes;
    Result.MostBytes = std::max(Result.MostBytes, Bytes);
    Result.Messages += static_cast<double>(Each.MessagesSent);
    Each.BytesSent = Each.BytesReceived = Each.MessagesSent = 0;
  }
  Result.ProcessorMicroseconds =
      std::chrono::duration<double, std::micro>(World.InHosts).count();
  World.InHosts = {};
  return Result;
}

/// Seconds until the newest version is in force on every host that is up.
static double secondsToForce(DisseminationWorld &World) {
  TimePoint Began = World.Now;
  while (World.inForceCount() < World.upCount())
    World.run(Step);
  return std::chrono::duration<double>(World.Now - Began).count();
}

struct Row {
  double Hosts = 0;
  double StartBytes = 0;
  double IdleBytesPerSecond = 0;
  double IdleMostBytesPerSecond = 0;
  double IdleMicrosecondsPerSecond = 0;
  double ChangeBytes = 0;
  double ChangeMostBytes = 0;
  double ChangeMicroseconds = 0;
  double MemoryBytes = 0;
  double InForceSeconds = 0;
  double InForceSecondsWithLosses = 0;
};

static double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Twenty one-number changes, one in each second, less the idle traffic.
static void measureChanges(DisseminationWorld &World, Row &Into) {
  takeTraffic(World);
  TimePoint Began = World.Now;
  for (int I = 1; I <= Changes; ++I) {
    TimePoint Next = World.Now + 1s;
    World.accept(text(I));
    Into.InForceSeconds = std::max(Into.InForceSeconds, secondsToForce(World));
    if (World.Now < Next)
      World.run(Next - World.Now);
  }
  double Seconds = std::chrono::duration<double>(World.Now - Began).count();
  Traffic Sum = takeTraffic(World);
  Into.ChangeBytes =
      (Sum.Bytes / Into.Hosts - Seconds * Into.IdleBytesPerSecond) / Changes;
  Into.ChangeMostBytes =
      (Sum.MostBytes - Seconds * Into.IdleMostBytesPerSecond) / Changes;
  Into.ChangeMicroseconds = (Sum.ProcessorMicroseconds / Into.Hosts -
                             Seconds * Into.IdleMicrosecondsPerSecond) /
                            Changes;
}

/// Every twentieth host goes at the moment of the change.
static void measureLosses(DisseminationWorld &World, Row &Into) {
  std::size_t Index = 0;
  for (auto &[Name, Each] : World.Hosts)
    if (Index++ % 20 == 1)
      World.stop(Name);
  World.accept(text(Changes + 1));
  Into.InForceSecondsWithLosses = secondsToForce(World);
}

static Row measure(std::size_t Hosts) {
  Row Result;
  double Before = allocatedBytes();
  DisseminationWorld World(options(Hosts));
  Result.Hosts = static_cast<double>(World.Hosts.size());
  World.accept(text(0));
  World.run(5s);
  secondsToForce(World);
  Result.StartBytes = takeTraffic(World).Bytes / Result.Hosts;
  World.run(20s);
  Traffic Idle = takeTraffic(World);
  Result.IdleBytesPerSecond = Idle.Bytes / Result.Hosts / 20;
  Result.IdleMostBytesPerSecond = Idle.MostBytes / 20;
  Result.IdleMicrosecondsPerSecond =
      Idle.ProcessorMicroseconds / Result.Hosts / 20;
  measureChanges(World, Result);
  Result.MemoryBytes = (allocatedBytes() - Before) / Result.Hosts;
  measureLosses(World, Result);
  return Result;
}

/// One measure: its name and where its value stands in a row.
struct Measure {
  const char *Name;
  double Row::*Value;
};

static constexpr std::array<Measure, 10> Measures = {{
    {"start: bytes/host", &Row::StartBytes},
    {"idle: bytes/s/host", &Row::IdleBytesPerSecond},
    {"idle: bytes/s, busiest host", &Row::IdleMostBytesPerSecond},
    {"idle: processor us/s/host", &Row::IdleMicrosecondsPerSecond},
    {"change: bytes/host", &Row::ChangeBytes},
    {"change: bytes, busiest host", &Row::ChangeMostBytes},
    {"change: processor us/host", &Row::ChangeMicroseconds},
    {"memory: bytes/host", &Row::MemoryBytes},
    {"in force: s, slowest change", &Row::InForceSeconds},
    {"in force: s, 5% hosts lost", &Row::InForceSecondsWithLosses},
}};

/// Least-squares slope of a measure against the number of hosts.
static double slope(const std::vector<Row> &Rows, double Row::*Value) {
  double MeanX = 0;
  double MeanY = 0;
  auto Count = static_cast<double>(Rows.size());
  for (const Row &Each : Rows) {
    MeanX += Each.Hosts / Count;
    MeanY += Each.*Value / Count;
  }
  double Products = 0;
  double Squares = 0;
  for (const Row &Each : Rows) {
    Products += (Each.Hosts - MeanX) * (Each.*Value - MeanY);
    Squares += (Each.Hosts - MeanX) * (Each.Hosts - MeanX);
  }
  return Products / Squares;
}

int main() {
  std::vector<Row> Rows;
  for (std::size_t Hosts : {14, 100, 1000, 2300})
    Rows.push_back(measure(Hosts));
  std::printf("text %zu bytes, link delay %lld ms, fan-out %zu, seed %llu\n",
              text(0).size(), static_cast<long long>(milliseconds(LinkDelay)),
              TreeShape{}.FanOut,
              static_cast<unsigned long long>(WorldOptions{}.Seed));
  std::printf("%-30s", "hosts");
  for (const Row &Each : Rows)
    std::printf("%12.0f", Each.Hosts);
  std::printf("%14s\n", "slope/host");
  for (const Measure &Each : Measures) {
    std::printf("%-30s", Each.Name);
    for (const Row &Of : Rows)
      std::printf("%12.2f", Of.*Each.Value);
    std::printf("%14.5f\n", slope(Rows, Each.Value));
  }
  double Worst = std::max(Rows.back().InForceSeconds,
                          Rows.back().InForceSecondsWithLosses);
  std::printf("bench dissemination: hosts=%.0f in-force-s=%.2f limit-s=%.0f\n",
              Rows.back().Hosts, Worst, LimitSeconds);
  return Worst <= LimitSeconds ? 0 : 1;
}
