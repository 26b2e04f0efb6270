//===- LibSettings/HostSettings.cpp - Settings of entry and control -------===//

#include <LibSettings/HostSettings.h>

#include <LibCore/JsonReader.h>
#include <cmath>
#include <fstream>
#include <sstream>

namespace carobhinge {

/// The longest time that a setting may name, in milliseconds.
static constexpr double MostMilliseconds = 3'600'000;
static constexpr double MostCount = 1e9;

static Duration readMilliseconds(JsonReader &From, std::string_view Name,
                                 Duration Default) {
  double Value = From.optionalNumber(
      Name, std::chrono::duration<double, std::milli>(Default).count(), 0,
      MostMilliseconds);
  return Duration(static_cast<Duration::rep>(std::llround(Value * 1e6)));
}

static Duration readSeconds(JsonReader &From, std::string_view Name,
                            Duration Default) {
  double Value =
      From.optionalNumber(Name, std::chrono::duration<double>(Default).count(),
                          0, MostMilliseconds / 1000);
  return Duration(static_cast<Duration::rep>(std::llround(Value * 1e9)));
}

static void readBounds(JsonReader &From, PromisedBounds &To) {
  To.DrainTime = readMilliseconds(From, "drain_ms", To.DrainTime);
  To.GraceTime = readSeconds(From, "grace_s", To.GraceTime);
  To.RevocationTime =
      readMilliseconds(From, "revocation_ms", To.RevocationTime);
  To.RepeatRatio =
      From.optionalNumber("repeat_ratio", To.RepeatRatio, 0, MostCount);
  To.RepeatSlack =
      From.optionalNumber("repeat_slack", To.RepeatSlack, 0, MostCount);
  To.RepeatWindow = readSeconds(From, "repeat_window_s", To.RepeatWindow);
}

static std::uint16_t readPort(JsonReader &From, std::string_view Name) {
  return static_cast<std::uint16_t>(
      From.requiredInteger(Name, {.Least = 1, .Most = 65535}));
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
  Result.FailureDomain = Reader.requiredString("failure_domain");
  Result.FailureDomains = Reader.optionalStrings("failure_domains");
  Result.CallerAddress = Reader.optionalString("caller_address", "");
  Result.ReadinessAddress = Reader.optionalString("readiness_address", "");
  Result.ControlAddress = Reader.optionalString("control_address", "");
  Result.PeerPort = readPort(Reader, "peer_port");
  Result.PeerListenPort = static_cast<std::uint16_t>(Reader.optionalInteger(
      "peer_listen_port", Result.PeerPort, {.Least = 1, .Most = 65535}));
  Result.MetricsPort = readPort(Reader, "metrics_port");
  Result.Seeds = Reader.optionalStrings("seeds");
  Result.FirstStart = Reader.optionalBool("first_start", false);
  if (Reader.has("data_folder"))
    Result.DataFolder = Reader.optionalString("data_folder", "");
  Result.ReportInterval =
      readMilliseconds(Reader, "report_interval_ms", Result.ReportInterval);
  Reader.optionalObject("faults_borne", [&](JsonReader &Each) {
    Result.Borne.Hosts = static_cast<int>(
        Each.optionalInteger("hosts", 1, {.Least = 0, .Most = 1000}));
    Result.Borne.FailureDomains = static_cast<int>(
        Each.optionalInteger("failure_domains", 1, {.Least = 0, .Most = 1000}));
  });
  Reader.optionalObject(
      "bounds", [&](JsonReader &Each) { readBounds(Each, Result.Bounds); });
  Reader.finish();
  if (!Out.empty())
    throw FindingsError(std::move(Out));
  return Result;
}

std::vector<HostName> seedHosts(const HostSettings &Own) {
  std::vector<HostName> Hosts;
  Hosts.reserve(Own.Seeds.size());
  for (const std::string &Seed : Own.Seeds)
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
