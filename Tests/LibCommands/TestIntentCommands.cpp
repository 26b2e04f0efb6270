//===- Tests/LibCommands/TestIntentCommands.cpp - Output and exit codes ---===//
///
/// \file
/// Guards against failures reported as successes. Checks the output of each
/// command as lines and as JSON, and its exit code.
///
//===----------------------------------------------------------------------===//

#include <LibCommands/IntentCommands.h>
#include <LibCommands/JsonTable.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using testing::HasSubstr;

static constexpr std::string_view MinimalIntent =
    R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r"}],
        "workspaces": [{"name": "w"}], "classes": [{"name": "k"}]})";
static constexpr std::string_view HeavierIntent =
    R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r"}],
        "workspaces": [{"name": "w", "weight": 3}], "classes": [{"name":"k"}]})";

TEST(CheckText, DistinguishesSettingsFromIntents) {
  EXPECT_EQ(checkText("f", MinimalIntent, OutputFormat::Lines),
            (CommandResult{ExitSuccess, "f: no findings\n"}));
  EXPECT_EQ(checkText("f", MinimalIntent, OutputFormat::Json),
            (CommandResult{ExitSuccess, "{\"findings\":[]}\n"}));
  EXPECT_THAT(checkText("f", R"({"host": "h"})", OutputFormat::Lines).Text,
              HasSubstr("/listen/callers: expected"));
  EXPECT_THAT(checkText("f", "{}", OutputFormat::Lines).Text,
              HasSubstr("/workspaces: expected at least one"));
  EXPECT_EQ(checkText("f", "{", OutputFormat::Lines).Exit, ExitRefused);
  EXPECT_EQ(checkText("f", "[", OutputFormat::Json).Exit, ExitRefused);
}

TEST(PlanChange, ShowsChangesAndTheBase) {
  EXPECT_EQ(planChange(7, MinimalIntent, HeavierIntent, OutputFormat::Lines),
            (CommandResult{ExitSuccess,
                           "~ workspaces/w/weight: 1 -> 3\n"
                           "1 changes to version 7; apply with --base 7\n"}));
  EXPECT_EQ(
      planChange(7, MinimalIntent, HeavierIntent, OutputFormat::Json).Text,
      "{\"base_version\":7,\"changes\":[{\"kind\":\"changed\",\"place\":"
      "\"workspaces/w/weight\",\"before\":1,\"after\":3}]}\n");
  EXPECT_THAT(planChange(0, "", MinimalIntent, OutputFormat::Lines).Text,
              HasSubstr("+ workspaces/w: {"));
  EXPECT_EQ(planChange(7, MinimalIntent, "{}", OutputFormat::Json).Exit,
            ExitRefused);
}

TEST(PrintApplied, ShowsTheWinnerOfAConflict) {
  CommandResult Accepted =
      printApplied({200, R"({"accepted": {"version": 3, "operator": "amal",
                             "stamp_ms": 1000}})"},
                   OutputFormat::Lines);
  EXPECT_EQ(Accepted,
            (CommandResult{ExitSuccess,
                           "accepted:\n"
                           "  version  operator  when\n"
                           "  3        amal      1970-01-01T00:00:01Z\n"}));
  std::string_view Conflict =
      R"({"winner": {"operator": "badr"}, "current": {"version": 9}})";
  CommandResult Refused = printApplied({409, Conflict}, OutputFormat::Lines);
  EXPECT_EQ(Refused.Exit, ExitRefused);
  EXPECT_EQ(Refused.Text, "conflict; accepted on the same base:\n  operator\n"
                          "  badr\ncurrent version:\n  version\n  9\n");
  EXPECT_EQ(printApplied({409, Conflict}, OutputFormat::Json),
            (CommandResult{ExitRefused, std::string(Conflict) + "\n"}));
}

/// No invalid answer of a host is reported as a success or crashes the command.
TEST(PrintAnswers, FailuresAreReported) {
  using Command = CommandResult (*)(const OperatorAnswer &, OutputFormat);
  for (Command Print : {printApplied, printStatus, printHistory})
    for (std::string_view Body : {"", "{", "[]", "7", "\x1b[2J"})
      for (unsigned Status : {200U, 404U, 503U}) {
        CommandResult Result = Print({Status, Body}, OutputFormat::Lines);
        EXPECT_EQ(Result.Exit, ExitUnreachable) << Body;
        EXPECT_EQ(Result.Text.find('\x1b'), std::string::npos);
      }
  EXPECT_EQ(printStatus({503, "{}"}, OutputFormat::Json).Exit, ExitUnreachable);
  EXPECT_EQ(printHistory({503, R"({"history": []})"}, OutputFormat::Json).Exit,
            ExitUnreachable);
  EXPECT_EQ(printApplied({503, "{}"}, OutputFormat::Json).Exit,
            ExitUnreachable);
  EXPECT_EQ(printApplied({200, "{}"}, OutputFormat::Json).Exit,
            ExitUnreachable);
  EXPECT_EQ(
      printApplied({422, R"({"findings": []})"}, OutputFormat::Lines).Exit,
      ExitRefused);
}

TEST(PrintStatus, AlignsListsOfObjects) {
  CommandResult Result =
      printStatus({200, R"({"host": "h", "logs": [{"log": 0, "role": "leader"},
               {"log": 10, "leader": "x"}], "peers": [], "names": ["n"]})"},
                  OutputFormat::Lines);
  EXPECT_EQ(Result.Text, "host: h\n"
                         "logs:\n"
                         "  log  role    leader\n"
                         "  0    leader  -\n"
                         "  10   -       x\n"
                         "peers: none\n"
                         "names:\n"
                         "  n\n");
}

TEST(PrintHistory, OneLinePerVersion) {
  CommandResult Result =
      printHistory({200, R"({"history": [{"version": 1, "operator": "a\u001b",
               "stamp_ms": 9223372036854775807, "digest": "d"}]})"},
                   OutputFormat::Lines);
  EXPECT_EQ(Result.Exit, ExitSuccess);
  EXPECT_THAT(Result.Text, HasSubstr("a\\u001b"));
  EXPECT_THAT(Result.Text, HasSubstr("292278994-08-17T07:12:55Z"));
  EXPECT_EQ(stampText(1796334347000), "2026-12-03T21:45:47Z");
}
