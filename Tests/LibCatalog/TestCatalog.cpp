//===- Tests/LibCatalog/TestCatalog.cpp - Route lookup, validation, state -===//
///
/// \file
/// Guards against requests sent to the wrong service by a lookup in the route
/// table, against invalid catalogs, and against control hosts whose state
/// differs because a command was repeated or arrived out of order.
///
//===----------------------------------------------------------------------===//

#include <LibCatalog/CatalogCheck.h>
#include <LibCatalog/ControlStateMachine.h>
#include <LibCatalog/RouteTable.h>
#include <gtest/gtest.h>

using namespace carobhinge;

static Route route(const std::string &Prefix) {
  return {.Name = Prefix,
          .Host = "a.example",
          .Prefix = Prefix,
          .Timeout = std::chrono::seconds(1),
          .Services = {{.Service = "sheets"}}};
}

static Catalog catalog() {
  Catalog Result;
  Result.Version = 1;
  Result.Services = {{.Name = "sheets", .HealthPath = "/"},
                     {.Name = "ledger", .HealthPath = "/"}};
  Result.Routes = {route("/"), route("/one/"), route("/one/two/")};
  Result.Workspaces = {{.Name = "tanta", .Keys = {"k1", "k2"}},
                       {.Name = "zagazig", .Keys = {"k3"}}};
  return Result;
}

TEST(RouteTable, LongestPrefixWins) {
  RouteTable Table(catalog());
  EXPECT_EQ(Table.find("a.example", "/one/two/three")->Prefix, "/one/two/");
  EXPECT_EQ(Table.find("a.example", "/one/twofold")->Prefix, "/one/");
  EXPECT_EQ(Table.find("a.example", "/other")->Prefix, "/");
  EXPECT_EQ(Table.find("b.example", "/one/"), nullptr);
  EXPECT_EQ(Table.find("a.example", ""), nullptr);
}

TEST(RouteTable, FindsWorkspaceByKey) {
  RouteTable Table(catalog());
  EXPECT_EQ(Table.findWorkspace("k2")->Name, "tanta");
  EXPECT_EQ(Table.findWorkspace("k3")->Name, "zagazig");
  EXPECT_EQ(Table.findWorkspace(""), nullptr);
}

TEST(RouteTable, ServicesAreChosenByWeight) {
  Route Rule = route("/");
  Rule.Services = {{.Service = "sheets", .Weight = 90},
                   {.Service = "none", .Weight = 0},
                   {.Service = "ledger", .Weight = 10}};
  EXPECT_EQ(RouteTable::chooseService(Rule, 0), "sheets");
  EXPECT_EQ(RouteTable::chooseService(Rule, 0.89), "sheets");
  EXPECT_EQ(RouteTable::chooseService(Rule, 0.91), "ledger");
  EXPECT_EQ(RouteTable::chooseService(Rule, 0.9999999), "ledger");
}

TEST(CatalogCheck, ReportsAllFindingsTogether) {
  EXPECT_TRUE(checkCatalog(catalog()).empty());
  Catalog Invalid = catalog();
  Invalid.Routes[0].Services = {{.Service = "unknown"}};
  Invalid.Routes[1].Prefix = "/one/two/";
  Invalid.Routes[2].Timeout = Duration::zero();
  Invalid.Routes.push_back(route("/weights/"));
  Invalid.Routes.back().Services = {{.Service = "sheets", .Weight = 0}};
  Invalid.Workspaces[1].Keys = {"k1"};
  Findings Found = checkCatalog(Invalid);
  EXPECT_EQ(Found.items().size(), 5U) << Found.report();
  EXPECT_EQ(Found.report().find("k1"), std::string::npos);
}

static std::string catalogCommand(std::uint64_t Version,
                                  const std::string &Text) {
  message::RegisterCommand Command;
  Command.set_version(Version);
  Command.set_text(Text);
  return Command.SerializeAsString();
}

static std::string domainCommand(const std::string &Domain, bool Drained) {
  message::RegisterCommand Command;
  Command.set_failure_domain(Domain);
  Command.set_emptied(Drained);
  return Command.SerializeAsString();
}

TEST(ControlStateMachine, OnlyAHigherVersionChangesTheState) {
  int Changes = 0;
  ControlStateMachine Machine(
      [&](const message::RegisterState &) { ++Changes; });
  Machine.apply(1, 0, catalogCommand(5, "five"));
  Machine.apply(2, 0, catalogCommand(5, "other"));
  Machine.apply(3, 0, catalogCommand(4, "four"));
  EXPECT_EQ(Machine.state().text(), "five");
  EXPECT_EQ(Changes, 1);
  Machine.apply(4, 0, catalogCommand(9, "nine"));
  EXPECT_EQ(Machine.state().version(), 9U);
  EXPECT_EQ(Machine.state().revision(), 2U);
}

TEST(ControlStateMachine, RepeatedDrainAndRestoreCommandsChangeNothing) {
  int Changes = 0;
  ControlStateMachine Machine(
      [&](const message::RegisterState &) { ++Changes; });
  Machine.apply(1, 0, domainCommand("a", true));
  Machine.apply(2, 0, domainCommand("a", true));
  EXPECT_EQ(Machine.state().emptied_domains_size(), 1);
  Machine.apply(3, 0, domainCommand("a", false));
  Machine.apply(4, 0, domainCommand("a", false));
  EXPECT_EQ(Machine.state().emptied_domains_size(), 0);
  EXPECT_EQ(Changes, 2);
}

// Guards against one committed entry that ends every control host in turn, and
// again after each restart.
TEST(ControlStateMachine, MalformedCommandChangesNothing) {
  int Changes = 0;
  ControlStateMachine Machine(
      [&](const message::RegisterState &) { ++Changes; });
  Machine.apply(1, 0, catalogCommand(5, "five"));
  EXPECT_EQ(Machine.apply(2, 0, "\xff\xff"), "malformed");
  EXPECT_EQ(Machine.state().version(), 5U);
  EXPECT_EQ(Changes, 1);
}

TEST(ControlStateMachine, PromptRefusalsAreAddedReplacedAndLiftedOnce) {
  int Changes = 0;
  ControlStateMachine Machine(
      [&](const message::RegisterState &) { ++Changes; });
  message::RegisterCommand Refuse;
  Refuse.mutable_refuse_prompt()->add_parts(7);
  Refuse.mutable_refuse_prompt()->add_parts(8);
  Machine.apply(1, 0, Refuse.SerializeAsString());
  Machine.apply(2, 0, Refuse.SerializeAsString());
  EXPECT_EQ(Machine.state().refused_prompts_size(), 1);
  message::RegisterCommand Replace;
  *Replace.mutable_lift_prompt() = Refuse.refuse_prompt();
  Replace.mutable_refuse_prompt()->add_parts(8);
  Machine.apply(3, 0, Replace.SerializeAsString());
  ASSERT_EQ(Machine.state().refused_prompts_size(), 1);
  EXPECT_EQ(Machine.state().refused_prompts(0).parts_size(), 1);
  message::RegisterCommand Lift;
  *Lift.mutable_lift_prompt() = Replace.refuse_prompt();
  Machine.apply(4, 0, Lift.SerializeAsString());
  Machine.apply(5, 0, Lift.SerializeAsString());
  EXPECT_EQ(Machine.state().refused_prompts_size(), 0);
  EXPECT_EQ(Changes, 3);
  EXPECT_EQ(Machine.state().version(), 0U);
}

/// \returns a command that ends the lives of \p Id until \p StartedUntilMs.
static std::string endCommand(const std::string &Id,
                              std::int64_t StartedUntilMs) {
  message::RegisterCommand Command;
  message::EndedEndpointMessage &End = *Command.add_ended_endpoints();
  End.set_id(Id);
  End.set_started_until_ms(StartedUntilMs);
  return Command.SerializeAsString();
}

// Guards against an end that the next leader, or all control hosts after a
// restart, don't know of.
TEST(ControlStateMachine, EndsOfEndpointsAreKeptInTheSnapshot) {
  int Changes = 0;
  ControlStateMachine Machine(
      [&](const message::RegisterState &) { ++Changes; });
  Machine.apply(1, 1000, endCommand("e", 20));
  Machine.apply(2, 2000, endCommand("e", 20));
  EXPECT_EQ(Changes, 1);
  Machine.apply(3, 3000, endCommand("e", 30));
  // Hosts of earlier builds don't count these commands.
  EXPECT_EQ(Machine.state().revision(), 0U);
  ControlStateMachine Restored([](const message::RegisterState &) {});
  Restored.restore(Machine.snapshot());
  ASSERT_EQ(Restored.state().ended_endpoints_size(), 1);
  EXPECT_EQ(Restored.state().ended_endpoints(0).started_until_ms(), 30);
}

TEST(ControlStateMachine, EndsOfEndpointsAreForgottenOnceNoReportIsLeft) {
  ControlStateMachine Machine([](const message::RegisterState &) {});
  Machine.apply(1, 1000, endCommand("first", 20));
  Machine.apply(2, 1000 + EndedEndpointTimeMs, endCommand("second", 20));
  EXPECT_EQ(Machine.state().ended_endpoints_size(), 2);
  Machine.apply(3, 1001 + EndedEndpointTimeMs, endCommand("third", 20));
  ASSERT_EQ(Machine.state().ended_endpoints_size(), 2);
  EXPECT_EQ(Machine.state().ended_endpoints(0).id(), "second");
  for (int I = 0; I < MaxEndedEndpoints + 10; ++I)
    Machine.apply(4, 1002 + EndedEndpointTimeMs,
                  endCommand("e" + std::to_string(I), 1));
  EXPECT_EQ(Machine.state().ended_endpoints_size(), MaxEndedEndpoints);
}

TEST(ControlStateMachine, SnapshotContainsTheWholeState) {
  ControlStateMachine Machine([](const message::RegisterState &) {});
  Machine.apply(1, 0, catalogCommand(5, "five"));
  Machine.apply(2, 0, domainCommand("a", true));
  ControlStateMachine Other([](const message::RegisterState &) {});
  Other.restore(Machine.snapshot());
  EXPECT_EQ(Other.snapshot(), Machine.snapshot());
}
