//===- LibIntent/IntentParser.cpp - Parses and validates an intent --------===//
///
/// \file
/// Reads and checks each member on its own first, then runs the checks across
/// lists: names, references, dependency cycles and overlapping calls.
///
//===----------------------------------------------------------------------===//

#include <LibCore/JsonReader.h>
#include <LibIntent/Intent.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace carobhinge {

static constexpr std::size_t MaxNameBytes = 64;
static constexpr std::int64_t MaxCount = 1000000;
static constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
static constexpr std::int64_t DefaultQueueLimit = 1000;
static constexpr std::int64_t DefaultServiceDeadlineMs = 600 * 1000;
static constexpr std::int64_t DefaultClassDeadlineMs = 60 * 1000;
static constexpr std::int64_t MaxRetentionDays = 3660;
static constexpr std::int64_t MaxWarmUpSeconds = 24LL * 3600;

// Lists are bounded because some checks compare all pairs of entries and follow
// dependencies recursively.
static constexpr std::size_t MaxFailureDomains = 100;
static constexpr std::size_t MaxWorkspaces = 10000;
static constexpr std::size_t MaxClasses = 100;
static constexpr std::size_t MaxServices = 1000;
static constexpr std::size_t MaxCalls = 200;

static std::string quoted(std::string_view Text) {
  return "\"" + std::string(Text) + "\"";
}

/// Names appear in paths, headers, metrics and logs, so their characters are
/// restricted.
static std::string readName(JsonReader &Reader) {
  std::string Name = Reader.requiredString("name");
  bool Plain = std::ranges::all_of(Name, [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.';
  });
  if (!Plain || Name.size() > MaxNameBytes)
    Reader.report("name",
                  "at most " + std::to_string(MaxNameBytes) +
                      " letters, digits, '-', '_' or '.'",
                  quoted(Name));
  return Name;
}

static Duration readMilliseconds(JsonReader &Reader, std::string_view Name,
                                 std::int64_t Default) {
  return std::chrono::milliseconds(
      Reader.optionalInteger(Name, Default, {.Min = 1, .Max = MaxDeadlineMs}));
}

static std::int64_t readCount(JsonReader &Reader, std::string_view Name,
                              std::int64_t Default, std::int64_t Minimum) {
  return Reader.optionalInteger(Name, Default,
                                {.Min = Minimum, .Max = MaxCount});
}

/// Reads one of two choices, the first of which is the default. Returns
/// whether it is the second one.
static bool isSecondChoice(JsonReader &Reader, std::string_view Name,
                           const std::array<std::string_view, 2> &Choices) {
  return Reader.optionalChoice(Name, Choices) == Choices[1];
}

static FailureDomainSpec readFailureDomain(JsonReader &Reader) {
  return {.Name = readName(Reader),
          .Region = Reader.requiredString("region"),
          .Drained = Reader.optionalBool("out", false),
          .CutOff = isSecondChoice(Reader, "when_cut_off", {"serve", "refuse"})
                        ? CutOffRule::Refuse
                        : CutOffRule::Serve};
}

static WorkspaceSpec readWorkspace(JsonReader &Reader) {
  WorkspaceSpec Result{
      .Name = readName(Reader),
      .Weight = readCount(Reader, "weight", 1, 1),
      .RequestsPerSecond = std::nullopt,
      .QueueLimit = readCount(Reader, "queue_limit", DefaultQueueLimit, 1)};
  if (Reader.has("requests_per_second"))
    Result.RequestsPerSecond = readCount(Reader, "requests_per_second", 1, 1);
  return Result;
}

static ClassSpec readClass(JsonReader &Reader) {
  return {.Name = readName(Reader),
          .Priority = readCount(Reader, "priority", 0, 0),
          .Deadline =
              readMilliseconds(Reader, "deadline_ms", DefaultClassDeadlineMs)};
}

static KeySpec readKey(JsonReader &Reader) {
  if (isSecondChoice(Reader, "rule", {"dated", "kept"}))
    return {.Rule = KeyRule::Permanent, .RetentionDays = 0};
  return {.Rule = KeyRule::Dated,
          .RetentionDays = Reader.requiredInteger(
              "retention_days", {.Min = 1, .Max = MaxRetentionDays})};
}

static void checkPath(JsonReader &Reader, std::string_view Path) {
  static constexpr std::size_t None = std::string_view::npos;
  std::size_t Star = Path.find('*');
  bool Valid =
      Path.starts_with('/') && (Star == None || Star + 1 == Path.size());
  for (std::string_view ForbiddenPart : {"?", "#", "%", "\\", " ", "//", "/."})
    Valid = Valid && Path.find(ForbiddenPart) == None;
  if (!Valid && !Path.empty())
    Reader.report("path",
                  "a path from '/' without query, escapes or dot segments, "
                  "'*' only at its end",
                  quoted(Path));
}

static CallSpec readCall(JsonReader &Reader, ServiceKind Kind) {
  static constexpr std::array<std::string_view, 6> Methods = {
      "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"};
  CallSpec Call;
  Call.Name = readName(Reader);
  Call.Method = Reader.optionalChoice("method", Methods);
  Call.Path = Reader.requiredString("path");
  checkPath(Reader, Call.Path);
  Call.Idempotent = Reader.optionalBool("idempotent", false);
  Reader.optionalObject("key",
                        [&](JsonReader &Inner) { Call.Key = readKey(Inner); });
  Call.Class = Reader.optionalString("class", "");
  if (!Call.Idempotent && !Call.Key)
    Reader.report("key", "a key rule, as the call is not idempotent",
                  "nothing");
  if (Call.Idempotent && Call.Key)
    Reader.report("key", "no key rule, as the call is idempotent", "one");
  if (!Call.Idempotent && Kind == ServiceKind::Model)
    Reader.report("idempotent", "true, as calls of models are", "false");
  return Call;
}

/// Reads the members that only models have; a plain service keeps the defaults.
static void readModel(JsonReader &Reader, ServiceSpec &Service) {
  Service.Version = Reader.requiredString("version");
  Service.HostsPerGroup = readCount(Reader, "hosts_per_group", 1, 1);
  Service.SlotLimit = readCount(Reader, "batch_limit", 1, 1);
  Service.Fencing = isSecondChoice(Reader, "fencing", {"checked", "ignored"})
                        ? FencingRule::Ignored
                        : FencingRule::Checked;
  Service.Resumable = Reader.optionalBool("resumable", false);
}

static void readPlain(JsonReader &Reader, ServiceSpec &Service) {
  Service.Version = Reader.optionalString("version", "");
  Service.SlotLimit = readCount(Reader, "concurrency", 1, 1);
}

/// Reads a list of objects. A list that is too long is a finding and is left
/// empty, so that later checks do not process it.
template <typename Spec, typename ReadOne>
static void readList(JsonReader &Reader, std::string_view Name,
                     std::size_t MaxEntries, std::vector<Spec> &Entries,
                     ReadOne ReadEntry) {
  Reader.eachObject(
      Name, [&](JsonReader &Each) { Entries.push_back(ReadEntry(Each)); },
      MaxEntries);
}

static ServiceSpec readService(JsonReader &Reader) {
  ServiceSpec Service;
  Service.Name = readName(Reader);
  Service.Kind = isSecondChoice(Reader, "kind", {"model", "plain"})
                     ? ServiceKind::Plain
                     : ServiceKind::Model;
  Service.DependsOn = Reader.optionalStrings("depends_on");
  if (Service.Kind == ServiceKind::Model)
    readModel(Reader, Service);
  else
    readPlain(Reader, Service);
  Reader.optionalObject("warm_up", [&](JsonReader &Inner) {
    Service.WarmUp.Budget = readCount(Inner, "budget", 1, 1);
    Service.WarmUp.Length = std::chrono::seconds(Inner.optionalInteger(
        "seconds", 0, {.Min = 0, .Max = MaxWarmUpSeconds}));
  });
  Service.Deadline =
      readMilliseconds(Reader, "deadline_ms", DefaultServiceDeadlineMs);
  readList(Reader, "calls", MaxCalls, Service.Calls,
           [&](JsonReader &Inner) { return readCall(Inner, Service.Kind); });
  return Service;
}

template <typename Spec>
static void checkNames(const std::vector<Spec> &List,
                       const std::string &Pointer, Findings &Out) {
  std::set<std::string_view> Names;
  for (std::size_t I = 0; I < List.size(); ++I)
    if (!List[I].Name.empty() && !Names.insert(List[I].Name).second)
      Out.add(Pointer + "/" + std::to_string(I) + "/name",
              "a name used once in this list", quoted(List[I].Name));
}

static void checkNotEmpty(bool Empty, std::string_view Pointer, Findings &Out) {
  if (Empty)
    Out.add(Pointer, "at least one", "none");
}

static void checkDomains(const Intent &Parsed, Findings &Out) {
  const auto &Domains = Parsed.FailureDomains;
  checkNotEmpty(Domains.empty(), "/failure_domains", Out);
  if (!Domains.empty() &&
      std::ranges::all_of(Domains, &FailureDomainSpec::Drained))
    Out.add("/failure_domains", "at least one that is not out", "all out");
}

static void checkCalls(const Intent &Parsed, const ServiceSpec &Service,
                       const std::string &Pointer, Findings &Out) {
  checkNames(Service.Calls, Pointer + "/calls", Out);
  for (std::size_t I = 0; I < Service.Calls.size(); ++I) {
    const CallSpec &Call = Service.Calls[I];
    std::string CallPointer = Pointer + "/calls/" + std::to_string(I);
    if (!Call.Class.empty() && !Parsed.findClass(Call.Class))
      Out.add(CallPointer + "/class", "a class listed under /classes",
              quoted(Call.Class));
    for (std::size_t J = 0; J < I; ++J)
      if (Call.overlaps(Service.Calls[J]))
        Out.add(CallPointer + "/path",
                "no request in common with call " +
                    quoted(Service.Calls[J].Name),
                quoted(Call.Method + " " + Call.Path));
  }
}

static void checkDependencies(const Intent &Parsed, const ServiceSpec &Service,
                              const std::string &Pointer, Findings &Out) {
  std::set<std::string_view> Names;
  for (std::size_t I = 0; I < Service.DependsOn.size(); ++I) {
    const ServiceName &Name = Service.DependsOn[I];
    std::string Item = Pointer + "/depends_on/" + std::to_string(I);
    if (!Parsed.findService(Name))
      Out.add(Item, "a service listed under /services", quoted(Name));
    if (!Names.insert(Name).second)
      Out.add(Item, "a service named once", quoted(Name));
  }
}

/// Finds each dependency cycle once by depth-first search.
class CycleFinder {
public:
  CycleFinder(const Intent &Parsed, Findings &Out) : Parsed(Parsed), Out(Out) {}

  void visit(const ServiceSpec &Service) {
    if (this->Visited.contains(&Service))
      return;
    auto Start = std::ranges::find(this->Path, &Service);
    if (Start != this->Path.end()) {
      this->reportFrom(Start);
      return;
    }
    this->Path.push_back(&Service);
    for (const ServiceName &Name : Service.DependsOn)
      if (const ServiceSpec *Next = this->Parsed.findService(Name))
        this->visit(*Next);
    this->Path.pop_back();
    this->Visited.insert(&Service);
  }

private:
  void reportFrom(std::vector<const ServiceSpec *>::iterator Start) {
    std::string Cycle;
    for (auto Each = Start; Each != this->Path.end(); ++Each)
      Cycle += (*Each)->Name + " -> ";
    Cycle += (*Start)->Name;
    std::size_t Index = *Start - this->Parsed.Services.data();
    this->Out.add("/services/" + std::to_string(Index) + "/depends_on",
                  "dependencies without a cycle", Cycle);
  }

  const Intent &Parsed;
  Findings &Out;
  /// Services on the path from the start of the search to the current one.
  std::vector<const ServiceSpec *> Path;
  /// Services whose dependencies were all followed.
  std::set<const ServiceSpec *> Visited;
};

static void checkServices(const Intent &Parsed, Findings &Out) {
  CycleFinder Cycles(Parsed, Out);
  for (std::size_t I = 0; I < Parsed.Services.size(); ++I) {
    std::string Pointer = "/services/" + std::to_string(I);
    checkDependencies(Parsed, Parsed.Services[I], Pointer, Out);
    checkCalls(Parsed, Parsed.Services[I], Pointer, Out);
    Cycles.visit(Parsed.Services[I]);
  }
}

static void checkIntent(const Intent &Parsed, Findings &Out) {
  checkNames(Parsed.FailureDomains, "/failure_domains", Out);
  checkNames(Parsed.Workspaces, "/workspaces", Out);
  checkNames(Parsed.Classes, "/classes", Out);
  checkNames(Parsed.Services, "/services", Out);
  checkDomains(Parsed, Out);
  checkNotEmpty(Parsed.Workspaces.empty(), "/workspaces", Out);
  checkNotEmpty(Parsed.Classes.empty(), "/classes", Out);
  checkServices(Parsed, Out);
}

/// Assigns the first listed class to calls without a class.
static void assignDefaultClasses(Intent &Parsed) {
  for (ServiceSpec &Service : Parsed.Services)
    for (CallSpec &Call : Service.Calls)
      if (Call.Class.empty())
        Call.Class = Parsed.Classes.front().Name;
}

std::optional<Intent> parseIntent(std::string_view Text, Findings &Out) {
  Findings Found;
  Intent Result;
  if (std::optional<boost::json::value> Value = parseJson(Text, Found)) {
    JsonReader Reader(*Value, "", Found);
    Result.Cluster = Reader.requiredString("cluster");
    readList(Reader, "failure_domains", MaxFailureDomains,
             Result.FailureDomains, readFailureDomain);
    readList(Reader, "workspaces", MaxWorkspaces, Result.Workspaces,
             readWorkspace);
    readList(Reader, "classes", MaxClasses, Result.Classes, readClass);
    readList(Reader, "services", MaxServices, Result.Services, readService);
    Reader.finish();
    if (Value->is_object())
      checkIntent(Result, Found);
  }
  for (const Finding &Each : Found.items())
    Out.add(Each.Location, Each.Expected, Each.Found);
  if (!Found.empty())
    return std::nullopt;
  assignDefaultClasses(Result);
  return Result;
}

Intent loadIntent(const std::string &Path) {
  Findings Found;
  std::ifstream File(Path, std::ios::binary);
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  std::optional<Intent> Result;
  if (File.good() || File.eof())
    Result = parseIntent(Text, Found);
  else
    Found.add(Path, "a readable file", "none");
  if (!Result)
    throw FindingsError(std::move(Found));
  return *Result;
}

} // namespace carobhinge
