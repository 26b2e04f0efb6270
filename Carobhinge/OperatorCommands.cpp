//===- Carobhinge/OperatorCommands.cpp - check, plan, apply and reading ---===//
///
/// \file
/// The operators' commands. Those that speak to a host take the address of its
/// operators' interface.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibCommands/IntentCommands.h>
#include <LibHTTP/BlockingFetch.h>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace json = boost::json;

namespace carobhinge {

/// What the commands that ask a host have in common.
struct Question {
  std::string Address;
  bool Json = false;
};

static std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    throw std::runtime_error(Path + " cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

static HttpAnswer get(const std::string &Address, const std::string &Target) {
  return blockingFetch(Address, {.Method = "GET", .Target = Target});
}

static int unreachable(const std::string &Address) {
  std::fprintf(stderr, "carobhinge: no whole answer from %s\n",
               Address.c_str());
  return ExitUnreachable;
}

static OutputForm formOf(bool Json) {
  return Json ? OutputForm::Json : OutputForm::Lines;
}

/// Prints a result and gives its exit code.
static int finish(const CommandResult &Result) {
  std::fputs(Result.Text.c_str(), stdout);
  return Result.Exit;
}

static OperatorAnswer answerOf(const HttpAnswer &Answer) {
  return {.Status = Answer.Head.Status, .Body = Answer.Body};
}

static int check(const std::string &Path, bool Json) {
  return finish(checkText(Path, readFile(Path), formOf(Json)));
}

static int plan(const Question &Asked, const std::string &Path) {
  std::string Wanted = readFile(Path);
  HttpAnswer Answer = get(Asked.Address, "/v1/intent");
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  std::string_view Text = Answer.Head.Headers.value("Carobhinge-Version");
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  std::string Current = Answer.Head.Status == 200 ? Answer.Body : std::string();
  return finish(planChange(Version, Current, Wanted, formOf(Asked.Json)));
}

static int apply(const Question &Asked, const std::string &Path,
                 std::uint64_t Base, const std::string &Operator) {
  HttpRequest Request{.Method = "POST",
                      .Target = "/v1/intent?base=" + std::to_string(Base),
                      .Headers = {{"Content-Type", "application/json"},
                                  {"Carobhinge-Operator", Operator}},
                      .Body = readFile(Path)};
  HttpAnswer Answer = blockingFetch(Asked.Address, std::move(Request));
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  return finish(printApplied(answerOf(Answer), formOf(Asked.Json)));
}

/// Posts \p Body and prints the answer as it came.
static int post(const Question &Asked, const std::string &Target,
                const json::object &Body, const std::string &Operator) {
  HttpRequest Request{.Method = "POST",
                      .Target = Target,
                      .Headers = {{"Content-Type", "application/json"}},
                      .Body = json::serialize(Body)};
  if (!Operator.empty())
    Request.Headers.add("Carobhinge-Operator", Operator);
  HttpAnswer Answer = blockingFetch(Asked.Address, std::move(Request));
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  std::fputs(Answer.Body.c_str(), stdout);
  if (Answer.Head.Status == 200)
    return ExitSuccess;
  return Answer.Head.Status == 503 ? ExitUnreachable : ExitRefused;
}

/// How the answer of a reading command is printed.
using Printer = CommandResult (*)(const OperatorAnswer &, OutputForm);

static int show(const Question &Asked, const std::string &Target,
                Printer Print) {
  HttpAnswer Answer = get(Asked.Address, Target);
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  return finish(Print(answerOf(Answer), formOf(Asked.Json)));
}

static std::shared_ptr<Question> addQuestion(CLI::App &To) {
  auto Asked = std::make_shared<Question>();
  To.add_option("--address", Asked->Address,
                "IP:PORT of a host's operators' interface.")
      ->required();
  To.add_flag("--json", Asked->Json, "Print the answer as it came.");
  return Asked;
}

static void addCheck(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "check", "Report every finding of an intent or of settings.");
  auto Path = std::make_shared<std::string>();
  auto Json = std::make_shared<bool>(false);
  Command->add_option("file", *Path)->required();
  Command->add_flag("--json", *Json, "Print the findings as JSON.");
  Command->callback([=, &Exit] { Exit = check(*Path, *Json); });
}

static void addPlan(CLI::App &To, int &Exit) {
  auto *Command =
      To.add_subcommand("plan", "Show what applying an intent would change.");
  auto Path = std::make_shared<std::string>();
  Command->add_option("file", *Path)->required();
  auto Asked = addQuestion(*Command);
  Command->callback([=, &Exit] { Exit = plan(*Asked, *Path); });
}

static void addApply(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand("apply", "Put an intent in force.");
  auto Path = std::make_shared<std::string>();
  auto Base = std::make_shared<std::uint64_t>(0);
  auto Operator = std::make_shared<std::string>();
  Command->add_option("file", *Path)->required();
  Command->add_option("--base", *Base, "The version it was written against.")
      ->required();
  Command->add_option("--operator", *Operator, "Who makes the change.")
      ->required();
  auto Asked = addQuestion(*Command);
  Command->callback(
      [=, &Exit] { Exit = apply(*Asked, *Path, *Base, *Operator); });
}

static void addHold(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "hold", "Stop new work in the asked host's failure domain on the spot, "
              "or take it up again.");
  auto Release = std::make_shared<bool>(false);
  auto Operator = std::make_shared<std::string>();
  Command->add_flag("--release", *Release, "Take work again.");
  Command->add_option("--operator", *Operator)->required();
  auto Asked = addQuestion(*Command);
  Command->callback([=, &Exit] {
    Exit = post(*Asked, "/v1/hold", {{"held", !*Release}}, *Operator);
  });
}

static void addVoters(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "voters", "Let exactly these control hosts vote in every log.");
  auto Hosts = std::make_shared<std::vector<std::string>>();
  Command->add_option("--host", *Hosts, "A control host; give one for each.")
      ->required();
  auto Asked = addQuestion(*Command);
  Command->callback([=, &Exit] {
    Exit =
        post(*Asked, "/v1/voters", {{"hosts", json::value_from(*Hosts)}}, "");
  });
}

static void addRetire(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "retire", "End the claims of an entry host that does not come back.");
  auto Host = std::make_shared<std::string>();
  Command->add_option("host", *Host)->required();
  auto Asked = addQuestion(*Command);
  Command->callback(
      [=, &Exit] { Exit = post(*Asked, "/v1/retire?host=" + *Host, {}, ""); });
}

static void addShow(CLI::App &To, int &Exit, const std::string &Name,
                    const std::string &Help, const std::string &Target,
                    Printer Print) {
  auto *Command = To.add_subcommand(Name, Help);
  auto Asked = addQuestion(*Command);
  Command->callback([=, &Exit] { Exit = show(*Asked, Target, Print); });
}

void addOperatorCommands(CLI::App &To, int &Exit) {
  addCheck(To, Exit);
  addPlan(To, Exit);
  addApply(To, Exit);
  addHold(To, Exit);
  addVoters(To, Exit);
  addRetire(To, Exit);
  addShow(To, Exit, "status", "What a host knows and does.", "/v1/status",
          printStatus);
  addShow(To, Exit, "history", "Who changed the intent, when, to what.",
          "/v1/history", printHistory);
}

} // namespace carobhinge
