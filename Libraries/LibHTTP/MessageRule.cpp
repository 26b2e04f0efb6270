//===- LibHTTP/MessageRule.cpp - Which heads are HTTP messages ------------===//

#include <LibHTTP/MessageRule.h>

#include <LibCore/Utf8.h>
#include <algorithm>

namespace carobhinge {

static constexpr std::string_view Coding = "Transfer-Encoding";
static constexpr std::string_view Length = "Content-Length";
static constexpr std::string_view Chunked = "chunked";

std::string_view messageFaultName(MessageFaultKind Kind) {
  switch (Kind) {
  case MessageFaultKind::Syntax:
    return "syntax";
  case MessageFaultKind::Status:
    return "status";
  case MessageFaultKind::Upgrade:
    return "upgrade";
  case MessageFaultKind::TransferCoding:
    return "transfer-coding";
  case MessageFaultKind::UnknownCoding:
    return "unknown-coding";
  case MessageFaultKind::ContentLength:
    return "content-length";
  }
  return "unknown";
}

std::string printableBytes(std::string_view Bytes) {
  static constexpr std::size_t MaxBytes = 64;
  return escapeBytes(Bytes.substr(0, MaxBytes));
}

/// Returns all values of the field, as one list.
static std::string joinedValue(const HttpHeaders &Fields,
                               std::string_view Name) {
  std::string Joined;
  std::string_view Separator;
  for (const HttpHeader &Field : Fields.fields())
    if (equalIgnoringCase(Field.Name, Name)) {
      Joined += std::string(Separator) + Field.Value;
      Separator = ", ";
    }
  return Joined;
}

static std::string threeDigits(unsigned Status) {
  std::string Text = std::to_string(Status);
  return std::string(3 - std::min<std::size_t>(Text.size(), 3), '0') + Text;
}

static MessageFault makeFault(MessageFaultKind Kind, std::string_view Value) {
  return {.Kind = Kind, .Value = printableBytes(Value)};
}

static std::string_view trimmed(std::string_view Text) {
  std::size_t Begin = std::min(Text.find_first_not_of(" \t"), Text.size());
  Text.remove_prefix(Begin);
  return Text.substr(0, Text.find_last_not_of(" \t") + 1);
}

/// Judges a list of transfer codings, in the order in which they were applied.
static MessageFaultKind judgeCodings(std::string_view Codings) {
  std::size_t Last = Codings.rfind(',') + 1;
  if (!equalIgnoringCase(trimmed(Codings.substr(Last)), Chunked))
    return MessageFaultKind::TransferCoding;
  for (std::string_view Rest = Codings.substr(0, Last); !Rest.empty();) {
    std::size_t Comma = Rest.find(',');
    if (equalIgnoringCase(trimmed(Rest.substr(0, Comma)), Chunked))
      return MessageFaultKind::TransferCoding;
    Rest.remove_prefix(Comma + 1);
  }
  return MessageFaultKind::UnknownCoding;
}

/// Two readers that disagree about the length of a body disagree about where
/// the next message begins, so that nothing but what all of them read alike is
/// taken: no coding, or one field that says "chunked" and nothing else.
static std::optional<MessageFault> findFramingFault(HttpVersion Version,
                                                    const HttpHeaders &Fields) {
  if (Fields.count(Coding) == 0)
    return std::nullopt;
  std::string Codings = joinedValue(Fields, Coding);
  // A reader of HTTP/1.0 knows no codings.
  if (Version == HttpVersion::Http10)
    return makeFault(MessageFaultKind::TransferCoding, Codings);
  if (!equalIgnoringCase(Codings, Chunked))
    return makeFault(judgeCodings(Codings), Codings);
  if (Fields.count(Length) > 0)
    return makeFault(MessageFaultKind::ContentLength,
                     joinedValue(Fields, Length));
  return std::nullopt;
}

std::optional<MessageFault> findResponseFault(HttpVersion Version,
                                              const HttpResponseHead &Head) {
  static constexpr unsigned SwitchingProtocols = 101;
  static constexpr unsigned NoContent = 204;
  if (Head.Status < 100 || Head.Status > 599)
    return makeFault(MessageFaultKind::Status, threeDigits(Head.Status));
  if (Head.Status == SwitchingProtocols)
    return makeFault(MessageFaultKind::Upgrade, Head.Headers.value("Upgrade"));
  if (auto Fault = findFramingFault(Version, Head.Headers))
    return Fault;
  if (Head.Status >= 200 && Head.Status != NoContent)
    return std::nullopt;
  // A body that a head announces although there is none would be read as the
  // next response. A length of 0 announces none.
  if (Head.Headers.count(Coding) > 0)
    return makeFault(MessageFaultKind::TransferCoding,
                     Head.Headers.value(Coding));
  for (const HttpHeader &Field : Head.Headers.fields())
    if (equalIgnoringCase(Field.Name, Length) && Field.Value != "0")
      return makeFault(MessageFaultKind::ContentLength, Field.Value);
  return std::nullopt;
}

std::optional<MessageFault> findRequestFault(HttpVersion Version,
                                             const HttpHeaders &Fields) {
  return findFramingFault(Version, Fields);
}

} // namespace carobhinge
