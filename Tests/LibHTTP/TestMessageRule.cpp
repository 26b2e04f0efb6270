//===- Tests/LibHTTP/TestMessageRule.cpp - Heads that are messages --------===//
///
/// \file
/// Guards against heads that HTTP does not allow and that are taken for a
/// message, and against heads that it allows and that are not.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/MessageRule.h>

#include <gtest/gtest.h>

using namespace carobhinge;

namespace {

using Kind = std::optional<MessageFaultKind>;
constexpr Kind Sound = std::nullopt;

Kind kindOf(const std::optional<MessageFault> &Fault) {
  return Fault ? Kind(Fault->Kind) : Sound;
}

std::string describe(const HttpHeaders &Fields) {
  std::string Text;
  for (const HttpHeader &Field : Fields.fields())
    Text += Field.Name + ": " + Field.Value + "; ";
  return Text;
}

struct CodingCase {
  HttpHeaders Fields;
  Kind Expected;
  HttpVersion Version = HttpVersion::Http11;
};

/// What RFC 9112, section 6, says of a message that may have a body, whether
/// it is a request or a response.
const CodingCase CodingCases[] = {
    {{}, Sound},
    {{{"Content-Length", "5"}}, Sound},
    {{{"Transfer-Encoding", "chunked"}}, Sound},
    {{{"transfer-encoding", "Chunked"}}, Sound},
    {{{"Transfer-Encoding", "gzip"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "identity"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "made-up"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", ""}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", ","}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked,"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked;a=b"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "xchunked"}}, MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked, gzip"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked, chunked"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked , gzip,chunked"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", ""}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "gzip"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "gzip, chunked"}}, MessageFaultKind::UnknownCoding},
    {{{"Transfer-Encoding", "gzip ,\tCHUNKED"}},
     MessageFaultKind::UnknownCoding},
    {{{"Transfer-Encoding", "gzip"}, {"Transfer-Encoding", "chunked"}},
     MessageFaultKind::UnknownCoding},
    {{{"Transfer-Encoding", "gzip"}, {"Content-Length", "5"}},
     MessageFaultKind::TransferCoding},
    {{{"Transfer-Encoding", "chunked"}, {"Content-Length", "5"}},
     MessageFaultKind::ContentLength},
    {{{"Content-Length", "0"}, {"Transfer-Encoding", "chunked"}},
     MessageFaultKind::ContentLength},
    {{{"Transfer-Encoding", "chunked"}},
     MessageFaultKind::TransferCoding,
     HttpVersion::Http10},
    {{{"Content-Length", "5"}}, Sound, HttpVersion::Http10},
};

} // namespace

// Guards against a status that does not exist and is passed on as an answer,
// or taken for one of an interim response, whose successor is waited for.
TEST(MessageRule, OnlyStatusesFrom100To599AreResponses) {
  for (unsigned Status = 0; Status < 10000; ++Status) {
    Kind Expected = Sound;
    if (Status < 100 || Status > 599)
      Expected = MessageFaultKind::Status;
    else if (Status == 101)
      Expected = MessageFaultKind::Upgrade;
    auto Fault = findResponseFault(HttpVersion::Http11, {.Status = Status});
    ASSERT_EQ(kindOf(Fault), Expected) << Status;
  }
  auto Fault = findResponseFault(HttpVersion::Http11, {.Status = 0});
  ASSERT_TRUE(Fault);
  EXPECT_EQ(Fault->Value, "000");
}

// Guards against a body that is read by another rule than that by which it was
// written.
TEST(MessageRule, CodingsOtherThanChunkedAloneAreFaults) {
  for (const CodingCase &Each : CodingCases) {
    for (unsigned Status : {200U, 206U, 304U, 404U, 503U})
      EXPECT_EQ(kindOf(findResponseFault(
                    Each.Version, {.Status = Status, .Headers = Each.Fields})),
                Each.Expected)
          << Status << ", " << describe(Each.Fields);
    EXPECT_EQ(kindOf(findRequestFault(Each.Version, Each.Fields)),
              Each.Expected)
        << describe(Each.Fields);
  }
}

// Guards against the body of a response that has none, which would be read as
// the next response.
TEST(MessageRule, ResponsesWithoutABodyAnnounceNone) {
  for (unsigned Status : {100U, 102U, 103U, 199U, 204U}) {
    auto KindWith = [Status](HttpHeaders Fields) {
      return kindOf(
          findResponseFault(HttpVersion::Http11,
                            {.Status = Status, .Headers = std::move(Fields)}));
    };
    EXPECT_EQ(KindWith({}), Sound) << Status;
    EXPECT_EQ(KindWith({{"Content-Length", "0"}}), Sound) << Status;
    EXPECT_EQ(KindWith({{"content-length", "5"}}),
              MessageFaultKind::ContentLength)
        << Status;
    EXPECT_EQ(KindWith({{"Transfer-Encoding", "chunked"}}),
              MessageFaultKind::TransferCoding)
        << Status;
  }
}

// Guards against bytes of strangers that forge log lines or fill the log.
TEST(MessageRule, BytesForLogsArePrintableAndBounded) {
  EXPECT_EQ(printableBytes(std::string_view("a b\r\n\0\x7f\xe9\\", 9)),
            "a b\\x0d\\x0a\\x00\\x7f\\xe9\\x5c");
  std::string Long(100000, '\n');
  EXPECT_EQ(printableBytes(Long).size(), 4U * 64);
  auto Fault = findResponseFault(HttpVersion::Http11,
                                 {.Headers = {{"Transfer-Encoding", Long}}});
  ASSERT_TRUE(Fault);
  EXPECT_EQ(Fault->Value, printableBytes(Long));
}
