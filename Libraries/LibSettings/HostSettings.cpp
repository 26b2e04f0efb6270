//===- LibSettings/HostSettings.cpp - Settings of entry and control -------===//

#include <LibSettings/HostSettings.h>

#include <LibCore/JsonReader.h>
#include <cmath>
#include <fstream>
#include <sstream>

namespace carobhinge {

/// Upper bound of all durations in the settings, in milliseconds.
static constexpr double MaxMilliseconds = 3'600'000;
/// Upper bound of the ratio and the slack of the retry budget.
static constexpr double MaxRetryBudget = 1e9;

/// Less than the minimum leaves no room for a request.
static constexpr IntegerRange MemoryMegabytes = {.Min = 64, .Max = 1'048'576};

static Duration readMilliseconds(JsonReader &Reader, std::string_view Name,
                                 Duration Default) {
  double Value = Reader.optionalNumber(
      Name, std::chrono::duration<double, std::milli>(Default).count(), 0,
      MaxMilliseconds);
  return Duration(static_cast<Duration::rep>(std::llround(Value * 1e6)));
}

static Duration readSeconds(JsonReader &Reader, std::string_view Name,
                            Duration Default) {
  double Value = Reader.optionalNumber(
      Name, std::chrono::duration<double>(Default).count(), 0,
      MaxMilliseconds / 1000);
  return Duration(static_cast<Duration::rep>(std::llround(Value * 1e9)));
}

static void readBounds(JsonReader &Reader, ServiceBounds &Bounds) {
  Bounds.DrainTime = readMilliseconds(Reader, "drain_ms", Bounds.DrainTime);
  Bounds.GraceTime = readSeconds(Reader, "grace_s", Bounds.GraceTime);
  Bounds.RevocationTime =
      readMilliseconds(Reader, "revocation_ms", Bounds.RevocationTime);
  Bounds.RetryRatio = Reader.optionalNumber("repeat_ratio", Bounds.RetryRatio,
                                            0, MaxRetryBudget);
  Bounds.RetrySlack = Reader.optionalNumber("repeat_slack", Bounds.RetrySlack,
                                            0, MaxRetryBudget);
  Bounds.RetryWindow =
      readSeconds(Reader, "repeat_window_s", Bounds.RetryWindow);
}

static std::uint16_t readPort(JsonReader &Reader, std::string_view Name) {
  return static_cast<std::uint16_t>(
      Reader.requiredInteger(Name, {.Min = 1, .Max = 65535}));
}

HostSettings parseHostSettings(std::string_view Text) {
  Findings Out;
  auto Value = parseJson(Text, Out);
  if (!Value)
    throw FindingsError(std::move(Out));
  JsonReader Reader(*Value, "", Out);
  HostSettings Result;
  Result.Host = Reader.requiredString("host");
  Result.Ip = Reader.requiredString("ip");
  Result.OutgoingIp = Reader.optionalString("outgoing_ip", "");
  Result.FailureDomain = Reader.requiredString("failure_domain");
  Result.FailureDomains = Reader.optionalStrings("failure_domains");
  Result.CallerAddress = Reader.optionalString("caller_address", "");
  Result.ReadinessAddress = Reader.optionalString("readiness_address", "");
  Result.ControlAddress = Reader.optionalString("control_address", "");
  Result.PeerPort = readPort(Reader, "peer_port");
  Result.PeerListenPort = static_cast<std::uint16_t>(Reader.optionalInteger(
      "peer_listen_port", Result.PeerPort, {.Min = 1, .Max = 65535}));
  Result.MetricsPort = readPort(Reader, "metrics_port");
  Result.Seeds = Reader.optionalStrings("seeds");
  Result.FirstStart = Reader.optionalBool("first_start", false);
  if (Reader.has("data_folder"))
    Result.DataFolder = Reader.optionalString("data_folder", "");
  Result.MemoryBytes =
      BytesPerMegabyte *
      static_cast<std::size_t>(Reader.optionalInteger(
          "memory_mb",
          static_cast<std::int64_t>(Result.MemoryBytes / BytesPerMegabyte),
          MemoryMegabytes));
  Result.ReportInterval =
      readMilliseconds(Reader, "report_interval_ms", Result.ReportInterval);
  Reader.optionalObject("faults_borne", [&](JsonReader &Section) {
    Result.Tolerance.Hosts = static_cast<int>(
        Section.optionalInteger("hosts", 1, {.Min = 0, .Max = 1000}));
    Result.Tolerance.FailureDomains = static_cast<int>(
        Section.optionalInteger("failure_domains", 1, {.Min = 0, .Max = 1000}));
  });
  Reader.optionalObject("bounds", [&](JsonReader &Section) {
    readBounds(Section, Result.Bounds);
  });
  Reader.finish();
  if (!Out.empty())
    throw FindingsError(std::move(Out));
  return Result;
}

std::vector<HostName> seedHosts(const HostSettings &LocalSettings) {
  std::vector<HostName> Hosts;
  Hosts.reserve(LocalSettings.Seeds.size());
  for (const std::string &Seed : LocalSettings.Seeds)
    Hosts.push_back(Seed.substr(0, Seed.rfind(':')));
  return Hosts;
}

HostSettings loadHostSettings(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File) {
    Findings Out;
    Out.add(Path, "a readable file", "none");
    throw FindingsError(std::move(Out));
  }
  return parseHostSettings(Text.str());
}

} // namespace carobhinge
