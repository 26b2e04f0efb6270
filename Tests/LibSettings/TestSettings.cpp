//===- Tests/LibSettings/TestSettings.cpp - Parsing and checking settings -===//
///
/// \file
/// Guards against invalid settings that are accepted. Valid settings are parsed
/// completely. Each error inserted into them is reported as one finding with
/// its JSON pointer, and several errors are reported together.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/SettingRows.h>
#include <boost/json.hpp>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using testing::HasSubstr;

static constexpr std::string_view ValidSettings = R"({
  "cluster": "delta-north", "host": "tanta-a-1", "failure_domain": "tanta-a",
  "region": "delta-north", "roles": ["entry", "control"],
  "listen": {"callers": "127.0.0.1:9001", "endpoints": "127.0.0.1:9002",
             "operators": "127.0.0.1:9003", "peers": "[::1]:9004"},
  "peers": [
    {"host": "tanta-a-2", "failure_domain": "tanta-a", "region": "delta-north",
     "address": "127.0.0.1:9104", "roles": ["entry"]},
    {"host": "mansoura-b-1", "failure_domain": "mansoura-b",
     "region": "delta-north", "address": "127.0.0.1:9204",
     "roles": ["entry", "control"]}],
  "data_folder": "data/tanta-a-1", "timing": {"drain_ms": 1500}})";

TEST(Settings, ParsesValidSettingsWithDefaults) {
  Findings Found;
  Settings Parsed = parseSettings(ValidSettings, Found);
  EXPECT_EQ(Found.report(), "");
  EXPECT_EQ(Parsed.Listen.Peers.text(), "[::1]:9004");
  EXPECT_TRUE(Parsed.AssignedRoles.Control);
  EXPECT_EQ(Parsed.Peers.at(0).Host, "mansoura-b-1");
  EXPECT_FALSE(Parsed.Peers.at(1).AssignedRoles.Control);
  EXPECT_EQ(Parsed.Times.Drain, std::chrono::milliseconds(1500));
  EXPECT_EQ(Parsed.Times.Heartbeat, std::chrono::milliseconds(100));
  EXPECT_EQ(Parsed.LedgerShards, 2);
  EXPECT_EQ(Parsed.Policies.Admission, "fair");
  EXPECT_EQ(Parsed.Log.Level, "info");
}

/// One invalid edit of ValidSettings and the finding that it must cause.
struct InvalidEdit {
  std::string_view Pointer;
  /// The JSON to insert; empty removes the member.
  std::string_view Value;
  std::string_view Finding;
};

static std::string editedSettings(const InvalidEdit &Each) {
  boost::json::value Text = boost::json::parse(ValidSettings);
  std::size_t Slash = Each.Pointer.rfind('/');
  boost::json::object &Parent =
      Text.at_pointer(Each.Pointer.substr(0, Slash)).as_object();
  std::string_view Name = Each.Pointer.substr(Slash + 1);
  if (Each.Value.empty())
    Parent.erase(Name);
  else
    Parent.insert_or_assign(Name, boost::json::parse(Each.Value));
  return boost::json::serialize(Text);
}

TEST(Settings, EachErrorCausesOneFinding) {
  const InvalidEdit Edits[] = {
      {"/cluster", "", "/cluster: expected a non-empty string, found nothing"},
      {"/host", "7", "/host: expected a non-empty string, found 7"},
      {"/roles", R"(["entri"])", "/roles: expected \"entry\", \"control\""},
      {"/roles", R"(["entry", "entry"])", "/roles: expected \"entry\""},
      {"/roles", "[]", "/roles: expected \"entry\", \"control\" or both"},
      {"/listen/callers", R"("localhost:9001")",
       "/listen/callers: expected an IP number and a port"},
      {"/listen/callers", R"("127.0.0.1")",
       "/listen/callers: expected an IP number and a port"},
      {"/listen/callers", R"("127.0.0.1:0")",
       "/listen/callers: expected an IP number and a port"},
      {"/listen/callers", R"("::1:9001")",
       "/listen/callers: expected an IP number and a port"},
      {"/listen/callers", R"("127.0.0.1:9001x")",
       "/listen/callers: expected an IP number and a port"},
      {"/listen/callers", R"("127.0.0.1:9003")",
       "/listen/operators: expected an address unlike that of /listen/callers"},
      {"/peers/1/address", R"("127.0.0.1:9104")",
       "/peers/1/address: expected an address unlike that of /peers/0/address"},
      {"/peers/0/host", R"("tanta-a-1")",
       "/peers/0/host: expected a name unlike that of /host"},
      {"/peers/1/host", R"("tanta-a-2")",
       "/peers/1/host: expected a name unlike that of /peers/0/host"},
      {"/peers/0/region", R"("biobio")",
       "/peers/0/region: expected \"delta-north\""},
      {"/data_folder", "", "/data_folder: expected a folder"},
      {"/threads", "0", "/threads: expected an integer from 1 to 256, found 0"},
      {"/policies", R"({"choice": "best"})",
       "/policies/choice: expected one of prefix-affinity two-choices"},
      {"/limits", R"({"body_byte": 5000})",
       "/limits/body_byte: expected a known member (did you mean "
       "\"body_bytes\"?)"},
      {"/timing/election_ms", "200",
       "/timing/election_ms: expected at least 300, found 200"},
      {"/timing/cut_off_ms", "2999",
       "/timing/cut_off_ms: expected at least 3000, found 2999"},
      {"/timing/ping_timeout_ms", "1000",
       "/timing/ping_timeout_ms: expected at least 1001, found 1000"},
      {"/log", R"({"level": "loud"})", "/log/level: expected one of info"},
      {"/datafolder", R"("x")", "did you mean \"data_folder\"?"},
  };
  for (const InvalidEdit &Each : Edits) {
    Findings Found;
    parseSettings(editedSettings(Each), Found);
    EXPECT_EQ(Found.items().size(), 1) << Found.report() << Each.Finding;
    EXPECT_THAT(Found.report(), HasSubstr(Each.Finding));
  }
}

TEST(Settings, ErrorsAreReportedTogether) {
  Findings Found;
  parseSettings(R"({"roles": ["entry"], "peers": [{}], "log": 3})", Found);
  std::vector<std::string> Pointers;
  for (const Finding &Each : Found.items())
    Pointers.push_back(Each.Location);
  EXPECT_THAT(Pointers,
              testing::IsSupersetOf(
                  {"/cluster", "/host", "/failure_domain", "/region",
                   "/peers/0/host", "/peers/0/address", "/peers/0/roles",
                   "/listen/callers", "/listen/peers", "/log", "/peers"}));
}

TEST(Settings, UnreadableFileIsAFinding) {
  EXPECT_THROW(loadSettings("/nonexistent/settings.json"), FindingsError);
}

TEST(Settings, EveryDefaultIsInRange) {
  for (const SettingRow &Row : settingRows()) {
    if (Row.Unit.empty())
      continue;
    EXPECT_GE(Row.NumberDefault, Row.Range.Min) << Row.Name;
    EXPECT_LE(Row.NumberDefault, Row.Range.Max) << Row.Name;
  }
}

/// If this test fails, copy the printed table into docs/SETTINGS.md.
TEST(Settings, PageContainsTheTable) {
  std::ifstream File(CAROBHINGE_SOURCE_FOLDER "/docs/SETTINGS.md");
  std::string Page((std::istreambuf_iterator<char>(File)), {});
  EXPECT_NE(Page.find(settingsMarkdown()), std::string::npos)
      << settingsMarkdown();
}

TEST(Settings, PageExampleIsValid) {
  std::ifstream File(CAROBHINGE_SOURCE_FOLDER "/docs/SETTINGS.md");
  std::string Page((std::istreambuf_iterator<char>(File)), {});
  std::size_t Begin = Page.find("```json\n") + 8;
  Findings Found;
  parseSettings(Page.substr(Begin, Page.find("```", Begin) - Begin), Found);
  EXPECT_EQ(Found.report(), "");
}
