//===- LibSettings/SettingRows.cpp - Table of all settings ----------------===//
///
/// \file
/// Defines the rows and prints them as the table of the operators' page.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/SettingRows.h>

#include <LibSettings/PolicyNames.h>

namespace carobhinge {

static constexpr std::int64_t KiB = 1024;
static constexpr std::int64_t MiB = 1024 * KiB;
static constexpr std::int64_t SecondMs = 1000;
static constexpr std::int64_t MinuteMs = 60 * SecondMs;

/// Less than the minimum leaves no room for a request.
static constexpr IntegerRange MemoryMegabytesRange = {.Min = 64,
                                                      .Max = 1'048'576};

static constexpr std::array<std::string_view, 4> LogLevels = {
    "info", "debug", "warning", "error"};

/// Returns a member of Settings, or a member of one of its members.
template <auto... Path> static auto &target(Settings &Object) {
  return (Object.*....*Path);
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

static SettingRow required(std::string_view Section, std::string_view Name,
                           SettingTarget Target, std::string_view Meaning) {
  return {
      .Section = Section, .Name = Name, .Meaning = Meaning, .Target = Target};
}

static void addNames(std::vector<SettingRow> &Rows) {
  Rows.push_back(
      text("", "cluster", &target<&Settings::Cluster>, {},
           "Name of the cluster; a peer of another cluster is refused"));
  Rows.push_back(text("", "host", &target<&Settings::Host>, {},
                      "Name of this host, unique in the cluster"));
  Rows.push_back(text("", "failure_domain", &target<&Settings::FailureDomain>,
                      {}, "Failure domain of this host"));
  Rows.push_back(text("", "region", &target<&Settings::Region>, {},
                      "Region of the failure domain"));
  Rows.push_back(
      required("", "roles", &target<&Settings::AssignedRoles>,
               "Roles of the process: \"entry\", \"control\" or both"));
  Rows.push_back(required("", "peers", &target<&Settings::Peers>,
                          "All other hosts, each with host, failure_domain, "
                          "region, address and roles"));
  Rows.push_back(text("", "data_folder", &target<&Settings::DataFolder>, "",
                      "Folder of the replicated logs; required for the role "
                      "control"));
  Rows.push_back(number("", "ledger_shards", &target<&Settings::LedgerShards>,
                        2, {.Min = 1, .Max = 256}, "shards",
                        "Number of ledger logs; must be equal on all hosts and "
                        "never change during the cluster's lifetime"));
  Rows.push_back(number("", "threads", &target<&Settings::Threads>, 4,
                        {.Min = 1, .Max = 256}, "threads",
                        "Threads that serve connections"));
}

static void addAddresses(std::vector<SettingRow> &Rows) {
  Rows.push_back(required("listen", "callers",
                          &target<&Settings::Listen, &ListenAddresses::Callers>,
                          "IP:PORT for callers"));
  Rows.push_back(
      required("listen", "endpoints",
               &target<&Settings::Listen, &ListenAddresses::Endpoints>,
               "IP:PORT for the announcements of endpoints"));
  Rows.push_back(
      required("listen", "operators",
               &target<&Settings::Listen, &ListenAddresses::Operators>,
               "IP:PORT for operators, metrics and health"));
  Rows.push_back(required("listen", "peers",
                          &target<&Settings::Listen, &ListenAddresses::Peers>,
                          "IP:PORT for the other hosts of the cluster"));
}

static void addPolicies(std::vector<SettingRow> &Rows) {
  Rows.push_back(choice("policies", "admission",
                        &target<&Settings::Policies, &PolicyChoice::Admission>,
                        AdmissionPolicyNames, "Policy for admitting requests"));
  Rows.push_back(choice(
      "policies", "choice", &target<&Settings::Policies, &PolicyChoice::Choice>,
      ChoicePolicyNames,
      "Policy for choosing a group or endpoint for a request"));
  Rows.push_back(
      choice("policies", "deadlines",
             &target<&Settings::Policies, &PolicyChoice::Deadlines>,
             DeadlinePolicyNames,
             "Policy for refusing requests that cannot meet their deadline"));
  Rows.push_back(choice("policies", "retries",
                        &target<&Settings::Policies, &PolicyChoice::Retries>,
                        RetryPolicyNames,
                        "Limit on retries of idempotent requests"));
  Rows.push_back(choice("policies", "hedges",
                        &target<&Settings::Policies, &PolicyChoice::Hedges>,
                        HedgePolicyNames,
                        "Limit on idempotent requests that are also sent to a "
                        "second target while the first is slow"));
  Rows.push_back(choice("policies", "stragglers",
                        &target<&Settings::Policies, &PolicyChoice::Stragglers>,
                        StragglerPolicyNames,
                        "Policy by which slow targets are found"));
  Rows.push_back(
      choice("policies", "spillover",
             &target<&Settings::Policies, &PolicyChoice::Spillover>,
             SpilloverPolicyNames,
             "Policy for sending requests to another failure domain"));
  Rows.push_back(choice(
      "policies", "groups", &target<&Settings::Policies, &PolicyChoice::Groups>,
      GroupPolicyNames, "Policy for forming groups of hosts"));
  Rows.push_back(choice(
      "policies", "repair", &target<&Settings::Policies, &PolicyChoice::Repair>,
      RepairPolicyNames, "Policy for repairing a group that lost a member"));
}

static void addLimits(std::vector<SettingRow> &Rows) {
  Rows.push_back(number("limits", "header_bytes",
                        &target<&Settings::Bounds, &Limits::HeaderBytes>,
                        16 * KiB, {.Min = KiB, .Max = MiB}, "bytes",
                        "Total size of the headers of one request"));
  Rows.push_back(number("limits", "body_bytes",
                        &target<&Settings::Bounds, &Limits::BodyBytes>, 8 * MiB,
                        {.Min = KiB, .Max = 256 * MiB}, "bytes",
                        "Size of the body of one request"));
  Rows.push_back(number("limits", "memory_mb",
                        &target<&Settings::Bounds, &Limits::MemoryMegabytes>,
                        4096, MemoryMegabytesRange, "MB",
                        "Memory that the process may use; a quarter of it is "
                        "for the requests and answers that it holds"));
  Rows.push_back(number(
      "limits", "connections", &target<&Settings::Bounds, &Limits::Connections>,
      4096, {.Min = 16, .Max = 1000000}, "connections",
      "Open connections on all listening addresses together"));
  Rows.push_back(number("limits", "queued_requests",
                        &target<&Settings::Bounds, &Limits::QueuedRequests>,
                        4096, {.Min = 1, .Max = 1000000}, "requests",
                        "Requests waiting for a slot on this host"));
  Rows.push_back(number("limits", "message_bytes",
                        &target<&Settings::Bounds, &Limits::MessageBytes>,
                        8 * MiB, {.Min = 64 * KiB, .Max = 64 * MiB}, "bytes",
                        "Size of one message between hosts of the cluster"));
  Rows.push_back(number("limits", "peer_queue_bytes",
                        &target<&Settings::Bounds, &Limits::PeerQueueBytes>,
                        32 * MiB, {.Min = MiB, .Max = 1024 * MiB}, "bytes",
                        "Size of all messages queued for one peer; messages "
                        "beyond it are dropped, as on a failed link"));
}

static void addTimes(std::vector<SettingRow> &Rows) {
  Rows.push_back(timing("heartbeat_ms",
                        &target<&Settings::Times, &Timing::Heartbeat>, 100,
                        {.Min = 10, .Max = 10 * SecondMs},
                        "Interval between two heartbeats of a leader"));
  Rows.push_back(timing("election_ms",
                        &target<&Settings::Times, &Timing::Election>, 1000,
                        {.Min = 50, .Max = MinuteMs},
                        "Minimum time without a heartbeat from the leader "
                        "before an election; at least three heartbeats"));
  Rows.push_back(
      timing("ping_ms", &target<&Settings::Times, &Timing::Ping>, SecondMs,
             {.Min = 50, .Max = MinuteMs},
             "Interval between two pings on a connection to a peer"));
  Rows.push_back(
      timing("ping_timeout_ms", &target<&Settings::Times, &Timing::PingTimeout>,
             3 * SecondMs, {.Min = 100, .Max = 5 * MinuteMs},
             "Time without received data after which a connection is "
             "closed; longer than the ping interval"));
  Rows.push_back(timing(
      "connect_ms", &target<&Settings::Times, &Timing::Connect>, SecondMs,
      {.Min = 50, .Max = MinuteMs}, "Timeout for opening a connection"));
  Rows.push_back(timing("reconnect_least_ms",
                        &target<&Settings::Times, &Timing::MinReconnectDelay>,
                        50, {.Min = 1, .Max = MinuteMs},
                        "Initial delay before reconnecting to a peer"));
  Rows.push_back(timing("reconnect_most_ms",
                        &target<&Settings::Times, &Timing::MaxReconnectDelay>,
                        2 * SecondMs, {.Min = 1, .Max = MinuteMs},
                        "Maximum delay before reconnecting to a peer"));
  Rows.push_back(timing("announce_relay_ms",
                        &target<&Settings::Times, &Timing::AnnounceRelay>, 250,
                        {.Min = 10, .Max = MinuteMs},
                        "Interval between two relays of announcements to the "
                        "other entry hosts of the failure domain"));
  Rows.push_back(timing("intent_poll_ms",
                        &target<&Settings::Times, &Timing::IntentPoll>,
                        SecondMs, {.Min = 50, .Max = MinuteMs},
                        "Interval between two polls for a newer intent"));
  Rows.push_back(timing("cut_off_ms",
                        &target<&Settings::Times, &Timing::CutOff>,
                        10 * SecondMs, {.Min = 500, .Max = 10 * MinuteMs},
                        "Time without contact to the control hosts after which "
                        "the failure domain counts as cut off; at least three "
                        "polls"));
  Rows.push_back(timing("request_header_ms",
                        &target<&Settings::Times, &Timing::RequestHeader>,
                        10 * SecondMs, {.Min = 100, .Max = 10 * MinuteMs},
                        "Timeout for reading the headers of a request"));
  Rows.push_back(
      timing("drain_ms", &target<&Settings::Times, &Timing::Drain>,
             10 * MinuteMs, {.Min = 0, .Max = 120 * MinuteMs},
             "Maximum wait for requests in flight on a planned stop"));
}

std::span<const SettingRow> settingRows() {
  static const std::vector<SettingRow> Rows = [] {
    std::vector<SettingRow> Result;
    addNames(Result);
    addAddresses(Result);
    addPolicies(Result);
    addLimits(Result);
    addTimes(Result);
    Result.push_back(
        text("log", "folder", &target<&Settings::Log, &LogSettings::Folder>, "",
             "Folder of the process's logs; empty for standard error"));
    Result.push_back(choice("log", "level",
                            &target<&Settings::Log, &LogSettings::Level>,
                            LogLevels, "Minimum severity that is logged"));
    return Result;
  }();
  return Rows;
}

/// Returns the type, default and range of a row as table cells.
static std::string valueCells(const SettingRow &Row) {
  bool IsNumber =
      std::holds_alternative<std::int64_t &(*)(Settings &)>(Row.Target) ||
      std::holds_alternative<Duration &(*)(Settings &)>(Row.Target);
  if (IsNumber)
    return "integer | " + std::to_string(Row.NumberDefault) + " | " +
           std::to_string(Row.Range.Min) + " to " +
           std::to_string(Row.Range.Max) + " " + std::string(Row.Unit);
  bool IsString =
      std::holds_alternative<std::string &(*)(Settings &)>(Row.Target);
  bool IsAddress =
      std::holds_alternative<NetworkAddress &(*)(Settings &)>(Row.Target);
  std::string Type = IsString || IsAddress ? "string" : "array";
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
    std::string Pointer = "/";
    if (!Row.Section.empty())
      Pointer += std::string(Row.Section) + "/";
    Text += "| `" + Pointer + std::string(Row.Name) + "` | " + valueCells(Row) +
            " | " + std::string(Row.Meaning) + " |\n";
  }
  return Text;
}

} // namespace carobhinge
