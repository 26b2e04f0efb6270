//===- Tests/LibIntent/TestIntent.cpp - Parsing, findings, changes --------===//
///
/// \file
/// Guards against invalid intents that are accepted and findings at the wrong
/// location. Parses both example deployments; checks that each injected fault
/// gives its finding at the right location, and how changes are shown to
/// operators.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentDiff.h>
#include <LibIntent/IntentJson.h>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using testing::ElementsAre;
using testing::HasSubstr;

static std::string exampleText(const std::string &Name) {
  std::ifstream File(std::string(CAROBHINGE_SOURCE_FOLDER) + "/Examples/" +
                     Name + "/intent.json");
  return {std::istreambuf_iterator<char>(File), {}};
}

static Intent parseValid(std::string_view Text) {
  Findings Found;
  std::optional<Intent> Parsed = parseIntent(Text, Found);
  EXPECT_EQ(Found.report(), "");
  return Parsed.value_or(Intent{});
}

TEST(Intent, ParsesTheExamples) {
  Intent TrustIntent = parseValid(exampleText("trust"));
  EXPECT_EQ(TrustIntent.Workspaces.size(), 10);
  const ServiceSpec *Ledger = TrustIntent.findService("ledger");
  ASSERT_NE(Ledger, nullptr);
  const CallSpec *Payout = Ledger->findCall("POST", "/payouts");
  ASSERT_NE(Payout, nullptr);
  EXPECT_EQ(Payout->Key, (KeySpec{KeyRule::Dated, 40}));
  EXPECT_EQ(Ledger->findCall("GET", "/readings/fat/7")->Class, "lookup");
  EXPECT_EQ(TrustIntent.findService("sheet")->HostsPerGroup, 2);
  Intent ServicioIntent = parseValid(exampleText("servicio"));
  EXPECT_NE(ServicioIntent.findFailureDomain("coronel"), nullptr);
  EXPECT_EQ(ServicioIntent.findService("net-design")->Fencing,
            FencingRule::Ignored);
}

TEST(Intent, CanonicalTextRoundTripsAndIgnoresOrder) {
  Intent TrustIntent = parseValid(exampleText("trust"));
  EXPECT_TRUE(
      diff(parseValid(canonicalText(TrustIntent)), TrustIntent).empty());
  std::swap(TrustIntent.Services[0], TrustIntent.Services[1]);
  EXPECT_EQ(canonicalText(TrustIntent),
            canonicalText(parseValid(exampleText("trust"))));
}

/// A path that another program may normalise to "/payouts" matches no call.
TEST(Intent, AmbiguousPathsMatchNothing) {
  ServiceSpec Service;
  Service.Calls = {{.Name = "any", .Method = "POST", .Path = "/a/*"}};
  EXPECT_NE(Service.findCall("POST", "/a/b.c/.d"), nullptr);
  for (std::string_view Path :
       {"/a/../payouts", "/a/./b", "/a//b", "/a/%2e%2E/payouts", "/a/b%2Fc",
        "/a/b%5Cc", "/a/b\\c", "/a/..", "/a/."})
    EXPECT_EQ(Service.findCall("POST", Path), nullptr) << Path;
}

/// One edit of the example "trust" and the single finding that it must give.
struct Fault {
  std::string_view Pointer;
  /// JSON value to insert; "" removes the member.
  std::string_view Value;
  std::string_view Finding;
};

static std::string withFault(const Fault &Each) {
  boost::json::value Text = boost::json::parse(exampleText("trust"));
  std::size_t Slash = Each.Pointer.rfind('/');
  boost::json::value &Parent = Text.at_pointer(Each.Pointer.substr(0, Slash));
  std::string_view Name = Each.Pointer.substr(Slash + 1);
  if (Parent.is_array())
    Text.at_pointer(Each.Pointer) = boost::json::parse(Each.Value);
  else if (Each.Value.empty())
    Parent.as_object().erase(Name);
  else
    Parent.as_object().insert_or_assign(Name, boost::json::parse(Each.Value));
  return boost::json::serialize(Text);
}

TEST(Intent, EachFaultGivesOneFinding) {
  const Fault Faults[] = {
      {"/cluster", "", "/cluster: expected a non-empty string, found nothing"},
      {"/failure_domains", "[]",
       "/failure_domains: expected at least one, found none"},
      {"/failure_domains", R"([{"name": "a", "region": "r", "out": true}])",
       "/failure_domains: expected at least one that is not out"},
      {"/failure_domains/0/when_cut_off", R"("stop")",
       "/failure_domains/0/when_cut_off: expected one of serve refuse"},
      {"/failure_domains/1/name", R"("tanta-a")",
       "/failure_domains/1/name: expected a name used once"},
      {"/workspaces/9/name", R"("auditors")",
       "/workspaces/9/name: expected a name used once"},
      {"/workspaces/0/name", R"("a/b")",
       "/workspaces/0/name: expected at most 64 letters"},
      {"/workspaces/0/wieght", "3", "(did you mean \"weight\"?)"},
      {"/workspaces", "[]", "/workspaces: expected at least one"},
      {"/classes/2/name", R"("lookup")",
       "/classes/2/name: expected a name used once"},
      {"/services/1/name", R"("ledgers")",
       "/services/0/depends_on/0: expected a service listed under /services, "
       "found \"ledger\""},
      {"/services/1/depends_on", R"(["sheet"])",
       "/services/0/depends_on: expected dependencies without a cycle, found "
       "sheet -> ledger -> sheet"},
      {"/services/1/depends_on", R"(["ledger"])", "found ledger -> ledger"},
      {"/services/0/depends_on", R"(["ledger", "ledger"])",
       "/services/0/depends_on/1: expected a service named once"},
      {"/services/0/version", "", "/services/0/version: expected a non-empty"},
      {"/services/1/hosts_per_group", "2",
       "/services/1/hosts_per_group: expected a known member"},
      {"/services/1/calls/0/key", "",
       "/services/1/calls/0/key: expected a key rule"},
      {"/services/1/calls/0/key/retention_days", "",
       "/services/1/calls/0/key/retention_days: expected an integer"},
      {"/services/1/calls/1/key", R"({"rule": "kept"})",
       "/services/1/calls/1/key: expected no key rule"},
      {"/services/0/calls/0", R"({"name": "d", "method": "POST", "path": "/d",
        "key": {"rule": "kept"}})",
       "/services/0/calls/0/idempotent: expected true"},
      {"/services/1/calls/1/class", R"("urgent")",
       "/services/1/calls/1/class: expected a class listed under /classes"},
      {"/services/1/calls/0/method", R"("FETCH")",
       "/services/1/calls/0/method: expected one of GET POST"},
      {"/services/1/calls/0/path", R"("/pay/*/out")",
       "/services/1/calls/0/path: expected a path from '/'"},
      {"/services/1/calls/0/path", R"("/pay/../out")",
       "/services/1/calls/0/path: expected a path from '/'"},
      {"/services/1/calls/1", R"({"name": "all", "method": "POST",
        "path": "/*", "idempotent": true})",
       "/services/1/calls/1/path: expected no request in common with call "
       "\"payout\", found \"POST /*\""},
      {"/services/1/calls/1", R"({"name": "again", "method": "POST",
        "path": "/payouts", "idempotent": true})",
       "/services/1/calls/1/path: expected no request in common with call "
       "\"payout\", found \"POST /payouts\""},
      {"/services/1/calls", R"([{"name": "all", "method": "GET",
        "path": "/r*", "idempotent": true}, {"name": "one", "method": "GET",
        "path": "/readings", "idempotent": true}])",
       "/services/1/calls/1/path: expected no request in common with call "
       "\"all\", found \"GET /readings\""},
      {"/services/1/calls/1", R"({"name": "payout", "method": "GET",
        "path": "/r", "idempotent": true})",
       "/services/1/calls/1/name: expected a name used once"},
  };
  for (const Fault &Each : Faults) {
    Findings Found;
    std::string Text = withFault(Each);
    EXPECT_FALSE(parseIntent(Text, Found).has_value()) << Each.Finding;
    EXPECT_EQ(Found.items().size(), 1) << Found.report() << Each.Finding;
    EXPECT_THAT(Found.report(), HasSubstr(Each.Finding));
  }
}

TEST(Intent, ATooLongListIsOneFinding) {
  std::string Services = R"([{"name": "s0", "kind": "plain"})";
  for (int I = 1; I <= 1000; ++I)
    Services += R"(, {"name": "s)" + std::to_string(I) + R"("})";
  Findings Found;
  parseIntent(withFault({"/services", Services + "]", ""}), Found);
  EXPECT_THAT(
      Found.report(),
      HasSubstr("/services: expected at most 1000 entries, found 1001"));
}

TEST(IntentDiff, ListsChanges) {
  Intent Before = parseValid(exampleText("trust"));
  Intent After = Before;
  After.FailureDomains[1].Drained = true;
  After.Services[1].Calls[0].Key->RetentionDays = 60;
  std::swap(After.Workspaces[0], After.Workspaces[1]);
  After.Workspaces.pop_back();
  After.Classes.push_back({.Name = "batch", .Priority = 0, .Deadline = {}});
  std::vector<std::string> Lines;
  for (const IntentChange &Each : diff(Before, After))
    Lines.push_back(Each.line());
  EXPECT_THAT(
      Lines,
      ElementsAre(
          "~ failure_domains/mansoura-b/out: false -> true",
          R"(- workspaces/help-desk: {"name":"help-desk","weight":1,"queue_limit":100})",
          R"(+ classes/batch: {"name":"batch","priority":0,"deadline_ms":0})",
          "~ services/ledger/calls/payout/key/retention_days: 40 -> 60"));
}
