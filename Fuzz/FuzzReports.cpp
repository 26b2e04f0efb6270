//===- Fuzz/FuzzReports.cpp - Fuzz target for the platform's formats ------===//
///
/// \file
/// Reads any bytes as a heartbeat, as a catalog and as the header fields of
/// requests and answers. Checks that a report which is accepted names an
/// endpoint that requests can be sent to, and that its message can be read.
///
//===----------------------------------------------------------------------===//

#include <LibControl/FleetMessages.h>
#include <LibHTTP/Address.h>
#include <cstdlib>
#include <platform/CallProtocol.h>
#include <platform/EngineProtocol.h>
#include <platform/WireNames.h>

using namespace carobhinge;
using namespace carobhinge::platform;

static void require(bool Condition) {
  if (!Condition)
    std::abort();
}

static void readReport(std::string_view Id, std::string_view Text) {
  Findings Out;
  auto Report = EngineProtocol().readReport(EndpointName(Id), Text, Out);
  require(Report.has_value() == Out.empty());
  if (!Report)
    return;
  require(parseAddress(Report->Address).port() != 0);
  require(Report->RemainingColdTime >= Duration::zero());
  message::EngineReportMessage Read;
  std::string Bytes = toMessage(*Report, Duration::zero()).SerializeAsString();
  require(Read.ParseFromString(Bytes));
  require(fromMessage(Read).Id == Report->Id);
}

/// Each line of \p Text is the value of all fields.
static void readFields(std::string_view Text) {
  HttpRequest Call{.Method = "GET", .Target = "/"};
  HttpResponseHead Answer{.Status = 503};
  for (std::string_view Name :
       {AttemptIdField, DeadlineField, TokensField, PromptPartsField,
        ResumeField, PossibleRunsField})
    Call.Headers.add(Name, Text);
  for (std::string_view Name :
       {AttemptIdField, RequestLimitField, RetryAfterField, LeavingField})
    Answer.Headers.add(Name, Text);
  RequestMetadata Read = CallProtocol().readCall(Call);
  require(!Read.TimeBudget || *Read.TimeBudget >= Duration::zero());
  require(Read.PossibleRuns >= 0);
  ResponseMetadata ReadAnswer = CallProtocol().readAnswer(Answer);
  require(ReadAnswer.RequestLimit >= 0);
  require(!ReadAnswer.RetryAfter || *ReadAnswer.RetryAfter >= Duration::zero());
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  std::size_t Line = std::min(Text.find('\n'), Text.size());
  readReport(Text.substr(0, Line),
             Text.substr(std::min(Line + 1, Text.size())));
  readReport("i-1", Text);
  Findings Out;
  static_cast<void>(EngineProtocol().readCatalog(Text, Out));
  readFields(Text.substr(0, Line));
  return 0;
}
