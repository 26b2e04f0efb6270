//===- Tests/LibCore/TestCompression.cpp - Tests of Compression -----------===//
///
/// \file
/// Guards against texts that are changed by a round trip, and against corrupt
/// or oversized input that is accepted.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Compression.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

RC_GTEST_PROP(Compression, RoundTripsEveryText, (const std::string &Text)) {
  RC_ASSERT(decompress(compress(Text), 1 << 20) == Text);
}

TEST(Compression, RejectsCorruptAndOversizedInput) {
  std::string Text(10000, 'x');
  std::string Bytes = compress(Text);
  EXPECT_LT(Bytes.size(), 200U);
  EXPECT_FALSE(decompress(Bytes, 9999));
  EXPECT_FALSE(decompress(Bytes.substr(0, 10), 1 << 20));
  EXPECT_FALSE(decompress("", 1 << 20));
  Bytes[12] = static_cast<char>(Bytes[12] ^ 0x55);
  EXPECT_FALSE(decompress(Bytes, 1 << 20));
}
