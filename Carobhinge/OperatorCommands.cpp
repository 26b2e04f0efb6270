//===- Carobhinge/OperatorCommands.cpp - Commands of operators ------------===//
///
/// \file
/// The commands of operators. Commands that send a request to a host take the
/// address of its operators' interface.
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

/// Options of all commands that send a request to a host.
struct RequestOptions {
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

static HttpFetchResult get(const std::string &Address,
                           const std::string &Target) {
  return blockingFetch(Address, {.Method = "GET", .Target = Target});
}

static int unreachable(const std::string &Address) {
  std::fprintf(stderr, "carobhinge: no whole answer from %s\n",
               Address.c_str());
  return ExitUnreachable;
}

static OutputFormat outputFormat(bool Json) {
  return Json ? OutputFormat::Json : OutputFormat::Lines;
}

/// Prints a result and returns its exit code.
static int finish(const CommandResult &Result) {
  std::fputs(Result.Text.c_str(), stdout);
  return Result.Exit;
}

static OperatorAnswer operatorAnswer(const HttpFetchResult &Answer) {
  return {.Status = Answer.Head.Status, .Body = Answer.Body};
}

static int check(const std::string &Path, bool Json) {
  return finish(checkText(Path, readFile(Path), outputFormat(Json)));
}

static int plan(const RequestOptions &Options, const std::string &Path) {
  std::string NewText = readFile(Path);
  HttpFetchResult Answer = get(Options.Address, "/v1/intent");
  if (Answer.Outcome != HttpCallOutcome::Complete)
    return unreachable(Options.Address);
  std::string_view Text = Answer.Head.Headers.value("Carobhinge-Version");
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  std::string CurrentText =
      Answer.Head.Status == 200 ? Answer.Body : std::string();
  return finish(
      planChange(Version, CurrentText, NewText, outputFormat(Options.Json)));
}

static int apply(const RequestOptions &Options, const std::string &Path,
                 std::uint64_t Base, const std::string &Operator) {
  HttpRequest Request{.Method = "POST",
                      .Target = "/v1/intent?base=" + std::to_string(Base),
                      .Headers = {{"Content-Type", "application/json"},
                                  {"Carobhinge-Operator", Operator}},
                      .Body = readFile(Path)};
  HttpFetchResult Answer = blockingFetch(Options.Address, std::move(Request));
  if (Answer.Outcome != HttpCallOutcome::Complete)
    return unreachable(Options.Address);
  return finish(
      printApplied(operatorAnswer(Answer), outputFormat(Options.Json)));
}

/// Posts \p Body and prints the answer unchanged.
static int post(const RequestOptions &Options, const std::string &Target,
                const json::object &Body, const std::string &Operator) {
  HttpRequest Request{.Method = "POST",
                      .Target = Target,
                      .Headers = {{"Content-Type", "application/json"}},
                      .Body = json::serialize(Body)};
  if (!Operator.empty())
    Request.Headers.add("Carobhinge-Operator", Operator);
  HttpFetchResult Answer = blockingFetch(Options.Address, std::move(Request));
  if (Answer.Outcome != HttpCallOutcome::Complete)
    return unreachable(Options.Address);
  std::fputs(Answer.Body.c_str(), stdout);
  if (Answer.Head.Status == 200)
    return ExitSuccess;
  return Answer.Head.Status == 503 ? ExitUnreachable : ExitRefused;
}

/// Formats the answer of a read-only command.
using Formatter = CommandResult (*)(const OperatorAnswer &, OutputFormat);

static int show(const RequestOptions &Options, const std::string &Target,
                Formatter Format) {
  HttpFetchResult Answer = get(Options.Address, Target);
  if (Answer.Outcome != HttpCallOutcome::Complete)
    return unreachable(Options.Address);
  return finish(Format(operatorAnswer(Answer), outputFormat(Options.Json)));
}

static std::shared_ptr<RequestOptions> addRequestOptions(CLI::App &Parent) {
  auto Options = std::make_shared<RequestOptions>();
  Parent
      .add_option("--address", Options->Address,
                  "IP:PORT of a host's operators' interface.")
      ->required();
  Parent.add_flag("--json", Options->Json, "Print the answer unchanged.");
  return Options;
}

static void addCheck(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "check", "Report all findings of an intent or of settings.");
  auto Path = std::make_shared<std::string>();
  auto Json = std::make_shared<bool>(false);
  Command->add_option("file", *Path)->required();
  Command->add_flag("--json", *Json, "Print the findings as JSON.");
  Command->callback([=, &Exit] { Exit = check(*Path, *Json); });
}

static void addPlan(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "plan", "Show what applying an intent would change.");
  auto Path = std::make_shared<std::string>();
  Command->add_option("file", *Path)->required();
  auto Options = addRequestOptions(*Command);
  Command->callback([=, &Exit] { Exit = plan(*Options, *Path); });
}

static void addApply(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand("apply", "Put an intent into force.");
  auto Path = std::make_shared<std::string>();
  auto Base = std::make_shared<std::uint64_t>(0);
  auto Operator = std::make_shared<std::string>();
  Command->add_option("file", *Path)->required();
  Command->add_option("--base", *Base, "Version that the intent is based on.")
      ->required();
  Command
      ->add_option("--operator", *Operator,
                   "Name of the operator who makes the change.")
      ->required();
  auto Options = addRequestOptions(*Command);
  Command->callback(
      [=, &Exit] { Exit = apply(*Options, *Path, *Base, *Operator); });
}

static void addHold(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "hold", "Stop new work in the failure domain of the host immediately, "
              "or resume it.");
  auto Release = std::make_shared<bool>(false);
  auto Operator = std::make_shared<std::string>();
  Command->add_flag("--release", *Release, "Resume new work.");
  Command->add_option("--operator", *Operator)->required();
  auto Options = addRequestOptions(*Command);
  Command->callback([=, &Exit] {
    Exit = post(*Options, "/v1/hold", {{"held", !*Release}}, *Operator);
  });
}

static void addVoters(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "voters", "Set the control hosts that vote in every log.");
  auto Hosts = std::make_shared<std::vector<std::string>>();
  Command
      ->add_option("--host", *Hosts,
                   "A control host; repeat the option for each one.")
      ->required();
  auto Options = addRequestOptions(*Command);
  Command->callback([=, &Exit] {
    Exit =
        post(*Options, "/v1/voters", {{"hosts", json::value_from(*Hosts)}}, "");
  });
}

static void addRetire(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "retire", "End the claims of an entry host that is lost for good.");
  auto Host = std::make_shared<std::string>();
  Command->add_option("host", *Host)->required();
  auto Options = addRequestOptions(*Command);
  Command->callback([=, &Exit] {
    Exit = post(*Options, "/v1/retire?host=" + *Host, {}, "");
  });
}

static void addShow(CLI::App &Parent, int &Exit, const std::string &Name,
                    const std::string &Help, const std::string &Target,
                    Formatter Format) {
  auto *Command = Parent.add_subcommand(Name, Help);
  auto Options = addRequestOptions(*Command);
  Command->callback([=, &Exit] { Exit = show(*Options, Target, Format); });
}

void addOperatorCommands(CLI::App &Parent, int &Exit) {
  addCheck(Parent, Exit);
  addPlan(Parent, Exit);
  addApply(Parent, Exit);
  addHold(Parent, Exit);
  addVoters(Parent, Exit);
  addRetire(Parent, Exit);
  addShow(Parent, Exit, "status", "Show a host's state.", "/v1/status",
          printStatus);
  addShow(Parent, Exit, "history",
          "Show who changed the intent, when, and to which version.",
          "/v1/history", printHistory);
}

} // namespace carobhinge
