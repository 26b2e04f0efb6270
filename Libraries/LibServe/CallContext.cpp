//===- LibServe/CallContext.cpp - A parsed caller request -----------------===//
///
/// \file
/// Checks of path, header fields and, for models, of the body.
///
//===----------------------------------------------------------------------===//

#include <LibServe/CallContext.h>

#include <LibCore/Hash.h>
#include <LibCore/JsonReader.h>
#include <LibRouting/RequestFingerprint.h>
#include <algorithm>
#include <charconv>

namespace json = boost::json;

namespace carobhinge {

static constexpr std::string_view CompletionsPath = "/v1/chat/completions";
static constexpr std::string_view ServicesPrefix = "/services/";
/// Number of prompt bytes hashed to choose a prefix cache.
static constexpr std::size_t PrefixBytes = 64;
static constexpr std::size_t MaxRequestIdBytes = 128;
static constexpr std::size_t MaxKeyBytes = 256;

RoutedRequest CallContext::routed() const {
  return {.Workspace = this->Traffic.Workspace,
          .Class = this->Traffic.Class,
          .Priority = this->Priority,
          .Idempotent = this->Call->Idempotent,
          // An answer that is not streamed is buffered until it is complete, so
          // the request can be restarted from the beginning.
          .Resumable = !this->Streamed || this->Service->Resumable,
          .Forwarded = this->Forwarded,
          .ArrivedAt = this->ArrivedAt,
          .Deadline = this->Deadline,
          .PrefixHash = this->PrefixHash};
}

static Problem refusal(unsigned Status, std::string_view Reason,
                       std::string Detail) {
  return {.Status = Status, .Reason = Reason, .Detail = std::move(Detail)};
}

/// Printable ASCII without spaces, so that a value is safe in logs and
/// header fields.
static bool isToken(std::string_view Text, std::size_t MaxBytes) {
  if (Text.empty() || Text.size() > MaxBytes)
    return false;
  return std::ranges::all_of(Text, [](char C) { return C > ' ' && C < 127; });
}

namespace {

/// Fills a CallContext step by step. Each step returns a problem or nothing.
class CallReader {
public:
  CallReader(const HttpRequest &Request, CallContext &Call)
      : Request(Request), Call(Call) {}

  std::optional<Problem> read() {
    using Step = std::optional<Problem> (CallReader::*)();
    static constexpr Step Steps[] = {
        &CallReader::readService,   &CallReader::readCall,
        &CallReader::readWorkspace, &CallReader::readClass,
        &CallReader::readDeadline,  &CallReader::readKey};
    for (Step Each : Steps)
      if (std::optional<Problem> Found = (this->*Each)())
        return Found;
    return std::nullopt;
  }

private:
  std::optional<Problem> readService();
  std::optional<Problem> readCompletion();
  std::optional<Problem> readCall();
  std::optional<Problem> readWorkspace();
  std::optional<Problem> readClass();
  std::optional<Problem> readDeadline();
  std::optional<Problem> readKey();

  const HttpRequest &Request;
  CallContext &Call;
  const ClassSpec *Class = nullptr;
};

std::optional<Problem> CallReader::readService() {
  if (this->Request.path() == CompletionsPath)
    return this->readCompletion();
  if (!this->Request.path().starts_with(ServicesPrefix))
    return refusal(404, "unknown-path", "No such path.");
  std::string_view ServicePath =
      std::string_view(this->Request.Target).substr(ServicesPrefix.size());
  std::string_view Name =
      ServicePath.substr(0, ServicePath.find_first_of("/?"));
  this->Call.Target = std::string(ServicePath.substr(Name.size()));
  this->Call.Service = this->Call.IntentSnapshot->findService(Name);
  if (!this->Call.Service)
    return refusal(404, "unknown-service", "The intent lists no such service.");
  return std::nullopt;
}

/// The distinct parts but the last one, which belongs to the request alone.
static PromptParts sharedParts(PromptParts Parts) {
  if (!Parts.empty())
    Parts.pop_back();
  Parts.resize(std::min(Parts.size(), MaxSharedParts));
  std::ranges::sort(Parts);
  Parts.erase(std::unique(Parts.begin(), Parts.end()), Parts.end());
  return Parts;
}

/// Reads the model's name and the parts of the prompt from the body.
std::optional<Problem> CallReader::readCompletion() {
  Findings Faults;
  std::optional<json::value> Body = parseJson(this->Request.Body, Faults);
  std::string Model;
  std::string Prompt;
  PromptParts Parts;
  if (Body) {
    JsonReader Reader(*Body, "", Faults);
    Model = Reader.requiredString("model");
    this->Call.Streamed = Reader.optionalBool("stream", false);
    if (!Reader.has("messages"))
      Reader.report("messages", "an array of messages", "nothing");
    Reader.eachObject("messages", [&Prompt, &Parts](JsonReader &Message) {
      Message.requiredString("role");
      std::string Content = Message.requiredString("content");
      Parts.push_back(namedPart(hash64(Content)));
      Prompt += Content;
    });
  }
  if (!Faults.empty())
    return refusal(400, "malformed-body", Faults.report());
  this->Call.Service = this->Call.IntentSnapshot->findService(Model);
  if (!this->Call.Service || this->Call.Service->Kind != ServiceKind::Model)
    return refusal(404, "unknown-model", "The intent lists no such model.");
  this->Call.Target = this->Request.Target;
  this->Call.Suspects = sharedParts(std::move(Parts));
  this->Call.PrefixHash =
      hash64(std::string_view(Prompt).substr(0, PrefixBytes));
  return std::nullopt;
}

std::optional<Problem> CallReader::readCall() {
  std::string_view Path = std::string_view(this->Call.Target)
                              .substr(0, this->Call.Target.find('?'));
  this->Call.Call = this->Call.Service->findCall(this->Request.Method, Path);
  if (!this->Call.Call)
    return refusal(404, "unknown-call",
                   "The intent lists no such call of the service.");
  return std::nullopt;
}

std::optional<Problem> CallReader::readWorkspace() {
  std::string_view Name = this->Request.Headers.value(header::Workspace);
  if (Name.empty())
    return refusal(400, "workspace-missing",
                   "The header field Carobhinge-Workspace is missing.");
  if (!this->Call.IntentSnapshot->findWorkspace(Name))
    return refusal(403, "unknown-workspace",
                   "The intent lists no such workspace.");
  this->Call.Traffic.Workspace = std::string(Name);
  return std::nullopt;
}

std::optional<Problem> CallReader::readClass() {
  std::string_view Name = this->Request.Headers.value(header::Class);
  if (Name.empty())
    Name = this->Call.Call->Class;
  this->Class = this->Call.IntentSnapshot->findClass(Name);
  if (!this->Class)
    return refusal(400, "unknown-class", "The intent lists no such class.");
  this->Call.Traffic.Class = std::string(Name);
  std::int64_t Highest = 0;
  for (const ClassSpec &Each : this->Call.IntentSnapshot->Classes)
    Highest = std::max(Highest, Each.Priority);
  // In the intent higher priorities are more urgent; in routing zero is the
  // most urgent.
  this->Call.Priority = static_cast<int>(Highest - this->Class->Priority);
  return std::nullopt;
}

std::optional<Problem> CallReader::readDeadline() {
  Duration Allowed = this->Class->Deadline;
  std::string_view Text = this->Request.Headers.value(header::DeadlineMs);
  if (!Text.empty()) {
    std::int64_t RequestedMs = 0;
    auto [End, Code] =
        std::from_chars(Text.data(), Text.data() + Text.size(), RequestedMs);
    if (Code != std::errc() || End != Text.data() + Text.size() ||
        RequestedMs <= 0)
      return refusal(400, "malformed-deadline",
                     "Carobhinge-Deadline-Ms is no positive number.");
    RequestedMs =
        std::min(RequestedMs, milliseconds(this->Call.Service->Deadline));
    Allowed = std::chrono::milliseconds(RequestedMs);
  }
  Allowed = std::min(Allowed, this->Call.Service->Deadline);
  this->Call.Deadline = this->Call.ArrivedAt + Allowed;
  return std::nullopt;
}

std::optional<Problem> CallReader::readKey() {
  if (this->Call.Call->Idempotent)
    return std::nullopt;
  std::string_view Key = this->Request.Headers.value(header::IdempotencyKey);
  if (Key.empty())
    return refusal(400, "key-missing",
                   "This call must not repeat; Idempotency-Key is missing.");
  if (!isToken(Key, MaxKeyBytes) ||
      this->Request.Headers.count(header::IdempotencyKey) != 1)
    return refusal(400, "malformed-key",
                   "Idempotency-Key must be one value of printable characters "
                   "without spaces.");
  this->Call.IdempotencyKey = std::string(Key);
  return std::nullopt;
}

} // namespace

std::variant<CallContext, Problem>
parseCall(const HttpRequest &Request,
          std::shared_ptr<const Intent> IntentSnapshot, bool Forwarded,
          std::string_view NewRequestId) {
  CallContext Call;
  std::string_view SuppliedId = Request.Headers.value(header::RequestId);
  Call.RequestIdText = std::string(
      isToken(SuppliedId, MaxRequestIdBytes) ? SuppliedId : NewRequestId);
  Call.ArrivedAt = monotonicNow();
  Call.Forwarded = Forwarded;
  if (!IntentSnapshot)
    return Problem{.Status = 503,
                   .Reason = "not-ready",
                   .Detail = "This host knows no intent yet.",
                   .RetryAfter = std::chrono::seconds(1)};
  Call.IntentSnapshot = std::move(IntentSnapshot);
  if (std::optional<Problem> Found = CallReader(Request, Call).read())
    return *Found;
  Call.Suspects.push_back(fingerprint({.Workspace = Call.Traffic.Workspace,
                                       .Method = Request.Method,
                                       .Target = Request.Target,
                                       .Body = Request.Body,
                                       .RunsOnce = !Call.Call->Idempotent}));
  return Call;
}

} // namespace carobhinge
