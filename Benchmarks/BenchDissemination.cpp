//===- Benchmarks/BenchDissemination.cpp - Cost of disseminating changes --===//
///
/// \file
/// Measures bytes, processor time and memory of disseminating the intent, per
/// host and change, at several numbers of hosts in one process, and the time
/// until a change is in force everywhere on a simulated clock. Hosts are in
/// seven failure domains; there are three control hosts or, from a hundred
/// hosts on, seventeen or fewer.
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
static constexpr double MaxInForceSeconds = 13;

/// Returns an intent of about twenty thousand bytes in which only \p Weight
/// varies.
static std::string makeIntentText(int Weight) {
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

static WorldOptions worldOptions(std::size_t Hosts) {
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
  double MaxHostBytes = 0;
  double ProcessorMicroseconds = 0;
};

/// Returns the sums over all hosts since the last call and the busiest host's
/// bytes, and resets the counters.
static Traffic collectTraffic(DisseminationWorld &World) {
  Traffic Result;
  for (auto &[Name, Each] : World.Hosts) {
    auto Bytes = static_cast<double>(Each.BytesSent + Each.BytesReceived);
    Result.Bytes += Bytes;
    Result.MaxHostBytes = std::max(Result.MaxHostBytes, Bytes);
    Result.Messages += static_cast<double>(Each.MessagesSent);
    Each.BytesSent = Each.BytesReceived = Each.MessagesSent = 0;
  }
  Result.ProcessorMicroseconds =
      std::chrono::duration<double, std::micro>(World.ProcessingTime).count();
  World.ProcessingTime = {};
  return Result;
}

/// Runs until the newest version is in force on every host that is up, and
/// returns the seconds that it took.
static double secondsUntilInForce(DisseminationWorld &World) {
  TimePoint Start = World.Now;
  while (World.inForceCount() < World.upCount())
    World.run(Step);
  return std::chrono::duration<double>(World.Now - Start).count();
}

struct Row {
  double Hosts = 0;
  double StartBytes = 0;
  double IdleBytesPerSecond = 0;
  double IdleMaxHostBytesPerSecond = 0;
  double IdleMicrosecondsPerSecond = 0;
  double ChangeBytes = 0;
  double ChangeMaxHostBytes = 0;
  double ChangeMicroseconds = 0;
  double MemoryBytes = 0;
  double InForceSeconds = 0;
  double InForceSecondsWithLosses = 0;
};

static double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Measures twenty changes of one number, one per second, without the idle
/// traffic.
static void measureChanges(DisseminationWorld &World, Row &Output) {
  collectTraffic(World);
  TimePoint Start = World.Now;
  for (int I = 1; I <= Changes; ++I) {
    TimePoint Next = World.Now + 1s;
    World.accept(makeIntentText(I));
    Output.InForceSeconds =
        std::max(Output.InForceSeconds, secondsUntilInForce(World));
    if (World.Now < Next)
      World.run(Next - World.Now);
  }
  double Seconds = std::chrono::duration<double>(World.Now - Start).count();
  Traffic Sum = collectTraffic(World);
  Output.ChangeBytes =
      (Sum.Bytes / Output.Hosts - Seconds * Output.IdleBytesPerSecond) /
      Changes;
  Output.ChangeMaxHostBytes =
      (Sum.MaxHostBytes - Seconds * Output.IdleMaxHostBytesPerSecond) / Changes;
  Output.ChangeMicroseconds = (Sum.ProcessorMicroseconds / Output.Hosts -
                               Seconds * Output.IdleMicrosecondsPerSecond) /
                              Changes;
}

/// Measures a change during which every twentieth host stops.
static void measureLosses(DisseminationWorld &World, Row &Output) {
  std::size_t Index = 0;
  for (auto &[Name, Each] : World.Hosts)
    if (Index++ % 20 == 1)
      World.stop(Name);
  World.accept(makeIntentText(Changes + 1));
  Output.InForceSecondsWithLosses = secondsUntilInForce(World);
}

static Row measure(std::size_t Hosts) {
  Row Result;
  double BytesBefore = allocatedBytes();
  DisseminationWorld World(worldOptions(Hosts));
  Result.Hosts = static_cast<double>(World.Hosts.size());
  World.accept(makeIntentText(0));
  World.run(5s);
  secondsUntilInForce(World);
  Result.StartBytes = collectTraffic(World).Bytes / Result.Hosts;
  World.run(20s);
  Traffic Idle = collectTraffic(World);
  Result.IdleBytesPerSecond = Idle.Bytes / Result.Hosts / 20;
  Result.IdleMaxHostBytesPerSecond = Idle.MaxHostBytes / 20;
  Result.IdleMicrosecondsPerSecond =
      Idle.ProcessorMicroseconds / Result.Hosts / 20;
  measureChanges(World, Result);
  Result.MemoryBytes = (allocatedBytes() - BytesBefore) / Result.Hosts;
  measureLosses(World, Result);
  return Result;
}

/// A measure: its name and the member of Row that holds its value.
struct Measure {
  const char *Name;
  double Row::*Value;
};

static constexpr std::array<Measure, 10> Measures = {{
    {"start: bytes/host", &Row::StartBytes},
    {"idle: bytes/s/host", &Row::IdleBytesPerSecond},
    {"idle: bytes/s, busiest host", &Row::IdleMaxHostBytesPerSecond},
    {"idle: processor us/s/host", &Row::IdleMicrosecondsPerSecond},
    {"change: bytes/host", &Row::ChangeBytes},
    {"change: bytes, busiest host", &Row::ChangeMaxHostBytes},
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
  std::printf(
      "text %zu bytes, link delay %lld ms, fan-out %zu, seed %llu\n",
      makeIntentText(0).size(), static_cast<long long>(milliseconds(LinkDelay)),
      TreeShape{}.FanOut, static_cast<unsigned long long>(WorldOptions{}.Seed));
  std::printf("%-30s", "hosts");
  for (const Row &Each : Rows)
    std::printf("%12.0f", Each.Hosts);
  std::printf("%14s\n", "slope/host");
  for (const Measure &Each : Measures) {
    std::printf("%-30s", Each.Name);
    for (const Row &Column : Rows)
      std::printf("%12.2f", Column.*Each.Value);
    std::printf("%14.5f\n", slope(Rows, Each.Value));
  }
  double Worst = std::max(Rows.back().InForceSeconds,
                          Rows.back().InForceSecondsWithLosses);
  std::printf("bench dissemination: hosts=%.0f in-force-s=%.2f limit-s=%.0f\n",
              Rows.back().Hosts, Worst, MaxInForceSeconds);
  return Worst <= MaxInForceSeconds ? 0 : 1;
}
