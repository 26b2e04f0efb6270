//===- LibSettings/SettingRows.cpp - The table of all settings ------------===//
///
/// \file
/// The rows themselves, and how they are printed for the operators' page.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/SettingRows.h>

#include <LibSettings/PolicyNames.h>

namespace carobhinge {

static constexpr std::int64_t KiB = 1024;
static constexpr std::int64_t MiB = 1024 * KiB;
static constexpr std::int64_t SecondMs = 1000;
static constexpr std::int64_t MinuteMs = 60 * SecondMs;

static constexpr std::array<std::string_view, 4> LogLevels = {
    "info", "debug", "warning", "error"};

/// A member of Settings, or a member of one of its members.
template <auto... Path> static auto &target(Settings &Of) {
  return (Of.*....*Path);
}

static SettingRow text(std::string_view Section, std::string_view Name,
                       std::string &(*Target)(Settings &),
                       std::optional<std::string_view> Default,
                       std::string_view Meaning) {
  return {.Section = Section,
          .Name = Name,
          .Meaning = Meaning,
          .Target = Target,
          .TextDefault = Default};
}

static SettingRow choice(std::string_view Section, std::string_view Name,
                         std::string &(*Target)(Settings &),
                         std::span<const std::string_view> Choices,
                         std::string_view Meaning) {
  return {.Section = Section,
          .Name = Name,
          .Meaning = Meaning,
          .Target = Target,
          .TextDefault = Choices.front(),
          .Choices = Choices};
}

static SettingRow number(std::string_view Section, std::string_view Name,
                         std::int64_t &(*Target)(Settings &),
                         std::int64_t Default, IntegerRange Range,
                         std::string_view Unit, std::string_view Meaning) {
  return {.Section = Section,
          .Name = Name,
          .Meaning = Meaning,
          .Target = Target,
          .NumberDefault = Default,
          .Range = Range,
          .Unit = Unit};
}

static SettingRow timing(std::string_view Name, Duration &(*Target)(Settings &),
                         std::int64_t Default, IntegerRange Range,
                         std::string_view Meaning) {
  return {.Section = "timing",
          .Name = Name,
          .Meaning = Meaning,
          .Target = Target,
          .NumberDefault = Default,
          .Range = Range,
          .Unit = "ms"};
}

static SettingRow other(std::string_view Section, std::string_view Name,
                        SettingTarget Target, std::string_view Meaning) {
  return {
      .Section = Section, .Name = Name, .Meaning = Meaning, .Target = Target};
}

static void addNames(std::vector<SettingRow> &Rows) {
  Rows.push_back(text("", "cluster", &target<&Settings::Cluster>, {},
                      "Name of the cluster; a peer of another one is refused"));
  Rows.push_back(text("", "host", &target<&Settings::Host>, {},
                      "Name of this host, unique in the cluster"));
  Rows.push_back(text("", "failure_domain", &target<&Settings::FailureDomain>,
                      {}, "Failure domain that this host stands in"));
  Rows.push_back(text("", "region", &target<&Settings::Region>, {},
                      "Region of the failure domain"));
  Rows.push_back(
      other("", "roles", &target<&Settings::Does>,
            "What the process does: \"entry\", \"control\" or both"));
  Rows.push_back(other("", "peers", &target<&Settings::Peers>,
                       "All other hosts: host, failure_domain, region, "
                       "address and roles of each"));
  Rows.push_back(text("", "data_folder", &target<&Settings::DataFolder>, "",
                      "Folder of the replicated logs; needed with the role "
                      "control"));
  Rows.push_back(number("", "ledger_shards", &target<&Settings::LedgerShards>,
                        2, {.Least = 1, .Most = 256}, "shards",
                        "Number of ledger logs; the same on every host and "
                        "for the life of the cluster"));
  Rows.push_back(number("", "threads", &target<&Settings::Threads>, 4,
                        {.Least = 1, .Most = 256}, "threads",
                        "Threads that serve connections"));
}

static void addAddresses(std::vector<SettingRow> &Rows) {
  Rows.push_back(other("listen", "callers",
                       &target<&Settings::Listen, &ListenAddresses::Callers>,
                       "IP:PORT for callers"));
  Rows.push_back(other("listen", "endpoints",
                       &target<&Settings::Listen, &ListenAddresses::Endpoints>,
                       "IP:PORT for announcements of endpoints"));
  Rows.push_back(other("listen", "operators",
                       &target<&Settings::Listen, &ListenAddresses::Operators>,
                       "IP:PORT for operators, metrics and health"));
  Rows.push_back(other("listen", "peers",
                       &target<&Settings::Listen, &ListenAddresses::Peers>,
                       "IP:PORT for the other hosts of the system"));
}

static void addPolicies(std::vector<SettingRow> &Rows) {
  Rows.push_back(choice("policies", "admission",
                        &target<&Settings::Policies, &PolicyChoice::Admission>,
                        AdmissionPolicyNames, "How requests are admitted"));
  Rows.push_back(choice(
      "policies", "choice", &target<&Settings::Policies, &PolicyChoice::Choice>,
      ChoicePolicyNames, "How a group or endpoint is chosen for a request"));
  Rows.push_back(choice("policies", "deadlines",
                        &target<&Settings::Policies, &PolicyChoice::Deadlines>,
                        DeadlinePolicyNames,
                        "Which requests are refused as too late"));
  Rows.push_back(choice("policies", "retries",
                        &target<&Settings::Policies, &PolicyChoice::Retries>,
                        RetryPolicyNames,
                        "How many idempotent requests are sent again"));
  Rows.push_back(choice("policies", "hedges",
                        &target<&Settings::Policies, &PolicyChoice::Hedges>,
                        HedgePolicyNames,
                        "How many idempotent requests are sent to a second "
                        "target while the first is slow"));
  Rows.push_back(choice("policies", "stragglers",
                        &target<&Settings::Policies, &PolicyChoice::Stragglers>,
                        StragglerPolicyNames, "How slow targets are found"));
  Rows.push_back(choice("policies", "spillover",
                        &target<&Settings::Policies, &PolicyChoice::Spillover>,
                        SpilloverPolicyNames,
                        "When requests go to another failure domain"));
  Rows.push_back(choice(
      "policies", "groups", &target<&Settings::Policies, &PolicyChoice::Groups>,
      GroupPolicyNames, "How hosts are put together into groups"));
  Rows.push_back(choice(
      "policies", "repair", &target<&Settings::Policies, &PolicyChoice::Repair>,
      RepairPolicyNames, "How a group that lost a member is mended"));
}

static void addLimits(std::vector<SettingRow> &Rows) {
  Rows.push_back(number("limits", "header_bytes",
                        &target<&Settings::Bounds, &Limits::HeaderBytes>,
                        16 * KiB, {.Least = KiB, .Most = MiB}, "bytes",
                        "Headers of one request, all together"));
  Rows.push_back(number("limits", "body_bytes",
                        &target<&Settings::Bounds, &Limits::BodyBytes>, 8 * MiB,
                        {.Least = KiB, .Most = 256 * MiB}, "bytes",
                        "Body of one request"));
  Rows.push_back(number("limits", "connections",
                        &target<&Settings::Bounds, &Limits::Connections>, 4096,
                        {.Least = 16, .Most = 1000000}, "connections",
                        "Open connections, all listening addresses together"));
  Rows.push_back(number("limits", "queued_requests",
                        &target<&Settings::Bounds, &Limits::QueuedRequests>,
                        4096, {.Least = 1, .Most = 1000000}, "requests",
                        "Requests waiting for a slot on this host"));
  Rows.push_back(number("limits", "message_bytes",
                        &target<&Settings::Bounds, &Limits::MessageBytes>,
                        8 * MiB, {.Least = 64 * KiB, .Most = 64 * MiB}, "bytes",
                        "One message between hosts of the system"));
  Rows.push_back(number("limits", "peer_queue_bytes",
                        &target<&Settings::Bounds, &Limits::PeerQueueBytes>,
                        32 * MiB, {.Least = MiB, .Most = 1024 * MiB}, "bytes",
                        "Messages waiting for one peer; beyond it they are "
                        "dropped, as on a lost link"));
  Rows.push_back(number("limits", "outcome_bytes",
                        &target<&Settings::Bounds, &Limits::OutcomeBytes>,
                        16 * KiB, {.Least = 0, .Most = MiB}, "bytes",
                        "Body of an answer that the ledger keeps whole; of a "
                        "longer one it keeps the digest"));
}

static void addTimes(std::vector<SettingRow> &Rows) {
  Rows.push_back(timing("heartbeat_ms",
                        &target<&Settings::Times, &Timing::Heartbeat>, 100,
                        {.Least = 10, .Most = 10 * SecondMs},
                        "Between two heartbeats of a leader"));
  Rows.push_back(timing("election_ms",
                        &target<&Settings::Times, &Timing::Election>, 1000,
                        {.Least = 50, .Most = MinuteMs},
                        "Least silence of a leader before an election; at "
                        "least three heartbeats"));
  Rows.push_back(timing("ping_ms", &target<&Settings::Times, &Timing::Ping>,
                        SecondMs, {.Least = 50, .Most = MinuteMs},
                        "Between two pings on a connection to a peer"));
  Rows.push_back(timing("ping_timeout_ms",
                        &target<&Settings::Times, &Timing::PingTimeout>,
                        3 * SecondMs, {.Least = 100, .Most = 5 * MinuteMs},
                        "Silence after which a connection is given up; longer "
                        "than the ping interval"));
  Rows.push_back(timing(
      "connect_ms", &target<&Settings::Times, &Timing::Connect>, SecondMs,
      {.Least = 50, .Most = MinuteMs}, "Timeout of opening a connection"));
  Rows.push_back(timing("reconnect_least_ms",
                        &target<&Settings::Times, &Timing::ReconnectLeast>, 50,
                        {.Least = 1, .Most = MinuteMs},
                        "First wait before connecting to a peer again"));
  Rows.push_back(timing("reconnect_most_ms",
                        &target<&Settings::Times, &Timing::ReconnectMost>,
                        2 * SecondMs, {.Least = 1, .Most = MinuteMs},
                        "Longest wait before connecting to a peer again"));
  Rows.push_back(timing("announce_relay_ms",
                        &target<&Settings::Times, &Timing::AnnounceRelay>, 250,
                        {.Least = 10, .Most = MinuteMs},
                        "Between two relays of announcements to the failure "
                        "domain's other entry hosts"));
  Rows.push_back(timing("intent_poll_ms",
                        &target<&Settings::Times, &Timing::IntentPoll>,
                        SecondMs, {.Least = 50, .Most = MinuteMs},
                        "Between two questions for a newer intent"));
  Rows.push_back(timing("cut_off_ms",
                        &target<&Settings::Times, &Timing::CutOff>,
                        10 * SecondMs, {.Least = 500, .Most = 10 * MinuteMs},
                        "Silence of the control hosts after which the failure "
                        "domain counts as cut off; at least three polls"));
  Rows.push_back(timing("request_header_ms",
                        &target<&Settings::Times, &Timing::RequestHeader>,
                        10 * SecondMs, {.Least = 100, .Most = 10 * MinuteMs},
                        "Timeout of reading the headers of a request"));
  Rows.push_back(timing("drain_ms", &target<&Settings::Times, &Timing::Drain>,
                        10 * MinuteMs, {.Least = 0, .Most = 120 * MinuteMs},
                        "Longest wait for requests in flight on a planned "
                        "stop"));
}

std::span<const SettingRow> settingRows() {
  static const std::vector<SettingRow> Rows = [] {
    std::vector<SettingRow> Result;
    addNames(Result);
    addAddresses(Result);
    addPolicies(Result);
    addLimits(Result);
    addTimes(Result);
    Result.push_back(text("log", "folder",
                          &target<&Settings::Log, &LogSettings::Folder>, "",
                          "Folder of the logs; empty for standard error"));
    Result.push_back(choice("log", "level",
                            &target<&Settings::Log, &LogSettings::Level>,
                            LogLevels, "Least severity that is logged"));
    return Result;
  }();
  return Rows;
}

/// Type, default and range of a row, as cells of a table.
static std::string valueCells(const SettingRow &Row) {
  bool Number =
      std::holds_alternative<std::int64_t &(*)(Settings &)>(Row.Target) ||
      std::holds_alternative<Duration &(*)(Settings &)>(Row.Target);
  if (Number)
    return "integer | " + std::to_string(Row.NumberDefault) + " | " +
           std::to_string(Row.Range.Least) + " to " +
           std::to_string(Row.Range.Most) + " " + std::string(Row.Unit);
  bool Plain = std::holds_alternative<std::string &(*)(Settings &)>(Row.Target);
  bool Address =
      std::holds_alternative<NetworkAddress &(*)(Settings &)>(Row.Target);
  std::string Type = Plain || Address ? "string" : "array";
  std::string Default = "required";
  if (Row.TextDefault)
    Default =
        Row.TextDefault->empty() ? "empty" : std::string(*Row.TextDefault);
  std::string Allowed;
  for (std::string_view Choice : Row.Choices)
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(Choice);
  return Type + " | " + Default + " | " + (Allowed.empty() ? "" : Allowed);
}

std::string settingsMarkdown() {
  std::string Text = "| setting | type | default | range or choices | meaning "
                     "|\n|---|---|---|---|---|\n";
  for (const SettingRow &Row : settingRows()) {
    std::string Place = "/";
    if (!Row.Section.empty())
      Place += std::string(Row.Section) + "/";
    Text += "| `" + Place + std::string(Row.Name) + "` | " + valueCells(Row) +
            " | " + std::string(Row.Meaning) + " |\n";
  }
  return Text;
}

} // namespace carobhinge
