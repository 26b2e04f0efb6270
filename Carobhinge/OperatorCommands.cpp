//===- Carobhinge/OperatorCommands.cpp - check, plan, apply and reading ---===//
///
/// \file
/// The operators' commands. Those that speak to a host take the address of its
/// operators' interface.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibCore/JsonReader.h>
#include <LibHTTP/BlockingFetch.h>
#include <LibIntent/Intent.h>
#include <LibIntent/IntentDiff.h>
#include <LibSettings/Settings.h>
#include <boost/json.hpp>
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

static void print(const std::string &Text) {
  std::fputs(Text.c_str(), stdout);
  if (!Text.ends_with('\n'))
    std::fputs("\n", stdout);
}

static int check(const std::string &Path, bool Json) {
  std::string Text = readFile(Path);
  Findings Faults;
  std::optional<json::value> Value = parseJson(Text, Faults);
  // Settings name a host; an intent does not.
  bool IsSettings =
      Value && Value->is_object() && Value->as_object().contains("host");
  if (IsSettings)
    parseSettings(Text, Faults);
  else if (Value)
    parseIntent(Text, Faults);
  if (Json) {
    json::array List;
    for (const Finding &Each : Faults.items())
      List.push_back(json::object{{"place", Each.Place},
                                  {"expected", Each.Expected},
                                  {"found", Each.Found}});
    print(json::serialize(json::object{{"findings", std::move(List)}}));
  } else {
    print(Faults.empty() ? Path + ": no findings" : Faults.report());
  }
  return Faults.empty() ? ExitSuccess : ExitRefused;
}

static int plan(const Question &Asked, const std::string &Path) {
  Intent Wanted = loadIntent(Path);
  HttpAnswer Answer = get(Asked.Address, "/v1/intent");
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  Findings Faults;
  std::optional<Intent> Current;
  if (Answer.Head.Status == 200)
    Current = parseIntent(Answer.Body, Faults);
  std::string_view Version = Answer.Head.Headers.value("Carobhinge-Version");
  std::printf("base version %s\n", std::string(Version).c_str());
  if (!Current) {
    print("no readable intent is in force; everything is new");
    return ExitSuccess;
  }
  std::vector<IntentChange> Changes = diff(*Current, Wanted);
  for (const IntentChange &Change : Changes)
    print(Change.line());
  if (Changes.empty())
    print("no changes");
  return ExitSuccess;
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
  print(Answer.Body);
  if (Answer.Head.Status == 200)
    return ExitSuccess;
  return Answer.Head.Status == 503 ? ExitUnreachable : ExitRefused;
}

static int hold(const Question &Asked, bool Held, const std::string &Operator) {
  json::object Body{{"held", Held}};
  HttpRequest Request{.Method = "POST",
                      .Target = "/v1/hold",
                      .Headers = {{"Content-Type", "application/json"},
                                  {"Carobhinge-Operator", Operator}},
                      .Body = json::serialize(Body)};
  HttpAnswer Answer = blockingFetch(Asked.Address, std::move(Request));
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  print(Answer.Body);
  return Answer.Head.Status == 200 ? ExitSuccess : ExitRefused;
}

/// Prints an answer: as it came, or one line for each member.
static int show(const Question &Asked, const std::string &Target) {
  HttpAnswer Answer = get(Asked.Address, Target);
  if (Answer.End != HttpCallEnd::Complete)
    return unreachable(Asked.Address);
  if (Asked.Json || Answer.Head.Status != 200) {
    print(Answer.Body);
    return Answer.Head.Status == 200 ? ExitSuccess : ExitUnreachable;
  }
  json::value Body = json::parse(Answer.Body);
  for (const json::key_value_pair &Member : Body.as_object()) {
    if (!Member.value().is_array()) {
      print(std::string(Member.key()) + ": " + json::serialize(Member.value()));
      continue;
    }
    print(std::string(Member.key()) + ":");
    for (const json::value &Row : Member.value().as_array())
      print("  " + json::serialize(Row));
  }
  return ExitSuccess;
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
  Command->callback([=, &Exit] {
    try {
      Exit = plan(*Asked, *Path);
    } catch (const FindingsError &Error) {
      print(Error.what());
      Exit = ExitRefused;
    }
  });
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
  Command->callback([=, &Exit] { Exit = hold(*Asked, !*Release, *Operator); });
}

static void addShow(CLI::App &To, int &Exit, const std::string &Name,
                    const std::string &Help, const std::string &Target) {
  auto *Command = To.add_subcommand(Name, Help);
  auto Asked = addQuestion(*Command);
  Command->callback([=, &Exit] { Exit = show(*Asked, Target); });
}

void addOperatorCommands(CLI::App &To, int &Exit) {
  addCheck(To, Exit);
  addPlan(To, Exit);
  addApply(To, Exit);
  addHold(To, Exit);
  addShow(To, Exit, "status", "What a host knows and does.", "/v1/status");
  addShow(To, Exit, "history", "Who changed the intent, when, to what.",
          "/v1/history");
}

} // namespace carobhinge
