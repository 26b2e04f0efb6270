//===- Tests/LibCatalog/TestCatalog.cpp - Routes, checks and versions -----===//

#include <LibCatalog/CatalogCheck.h>
#include <LibCatalog/ControlRegister.h>
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

TEST(RouteTable, TheLongestPrefixDecides) {
  RouteTable Table(catalog());
  EXPECT_EQ(Table.find("a.example", "/one/two/three")->Prefix, "/one/two/");
  EXPECT_EQ(Table.find("a.example", "/one/twofold")->Prefix, "/one/");
  EXPECT_EQ(Table.find("a.example", "/other")->Prefix, "/");
  EXPECT_EQ(Table.find("b.example", "/one/"), nullptr);
  EXPECT_EQ(Table.find("a.example", ""), nullptr);
}

TEST(RouteTable, KeysLeadToTheirWorkspace) {
  RouteTable Table(catalog());
  EXPECT_EQ(Table.holder("k2")->Name, "tanta");
  EXPECT_EQ(Table.holder("k3")->Name, "zagazig");
  EXPECT_EQ(Table.holder(""), nullptr);
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
  Catalog Bad = catalog();
  Bad.Routes[0].Services = {{.Service = "unknown"}};
  Bad.Routes[1].Prefix = "/one/two/";
  Bad.Routes[2].Timeout = Duration::zero();
  Bad.Routes.push_back(route("/weights/"));
  Bad.Routes.back().Services = {{.Service = "sheets", .Weight = 0}};
  Bad.Workspaces[1].Keys = {"k1"};
  Findings Found = checkCatalog(Bad);
  EXPECT_EQ(Found.items().size(), 5U) << Found.report();
  EXPECT_EQ(Found.report().find("k1"), std::string::npos);
}

static std::string command(std::uint64_t Version, const std::string &Text) {
  message::RegisterCommand Command;
  Command.set_version(Version);
  Command.set_text(Text);
  return Command.SerializeAsString();
}

static std::string domainCommand(const std::string &Domain, bool Emptied) {
  message::RegisterCommand Command;
  Command.set_failure_domain(Domain);
  Command.set_emptied(Emptied);
  return Command.SerializeAsString();
}

TEST(ControlRegister, OnlyAHigherVersionChangesTheState) {
  int Changes = 0;
  ControlRegister Register([&](const message::RegisterState &) { ++Changes; });
  Register.apply(1, 0, command(5, "five"));
  Register.apply(2, 0, command(5, "other"));
  Register.apply(3, 0, command(4, "four"));
  EXPECT_EQ(Register.state().text(), "five");
  EXPECT_EQ(Changes, 1);
  Register.apply(4, 0, command(9, "nine"));
  EXPECT_EQ(Register.state().version(), 9U);
  EXPECT_EQ(Register.state().revision(), 2U);
}

TEST(ControlRegister, DomainsAreEmptiedAndTakenBackOnce) {
  int Changes = 0;
  ControlRegister Register([&](const message::RegisterState &) { ++Changes; });
  Register.apply(1, 0, domainCommand("a", true));
  Register.apply(2, 0, domainCommand("a", true));
  EXPECT_EQ(Register.state().emptied_domains_size(), 1);
  Register.apply(3, 0, domainCommand("a", false));
  Register.apply(4, 0, domainCommand("a", false));
  EXPECT_EQ(Register.state().emptied_domains_size(), 0);
  EXPECT_EQ(Changes, 2);
}

TEST(ControlRegister, ASnapshotHoldsTheWholeState) {
  ControlRegister Register([](const message::RegisterState &) {});
  Register.apply(1, 0, command(5, "five"));
  Register.apply(2, 0, domainCommand("a", true));
  ControlRegister Other([](const message::RegisterState &) {});
  Other.restore(Register.snapshot());
  EXPECT_EQ(Other.snapshot(), Register.snapshot());
}
