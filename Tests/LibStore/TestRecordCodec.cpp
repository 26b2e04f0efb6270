//===- Tests/LibStore/TestRecordCodec.cpp - Bytes of records --------------===//
///
/// \file
/// Guards against a data folder that a host of another architecture, or of a
/// later version, can't read.
///
//===----------------------------------------------------------------------===//

#include <LibStore/RecordCodec.h>
#include <gtest/gtest.h>
#include <string_view>

using namespace carobhinge;
using std::string_view_literals::operator""sv;

/// A record with the payload "carobhinge" and a durable length of 41 bytes.
static constexpr std::string_view KnownRecord =
    "CHR1\x0a\0\0\0\x29\0\0\0\0\0\0\0\x32\xf8\x48\xdc\x0c\xfb\xd1\x81"
    "carobhinge"sv;

TEST(RecordCodec, BytesAreTheSameOnAllArchitectures) {
  std::string Bytes;
  encodeRecord(Bytes, "carobhinge", 41);
  EXPECT_EQ(Bytes, KnownRecord);
}

TEST(RecordCodec, RecordOfAnotherHostIsRead) {
  std::optional<DecodedRecord> Record = decodeRecord(KnownRecord);
  ASSERT_TRUE(Record.has_value());
  EXPECT_EQ(Record->Payload, "carobhinge");
  EXPECT_EQ(Record->DurableLength, 41U);
  EXPECT_EQ(Record->Size, KnownRecord.size());
}
