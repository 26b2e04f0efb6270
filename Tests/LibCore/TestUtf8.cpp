//===- Tests/LibCore/TestUtf8.cpp - Bytes and text ------------------------===//
///
/// \file
/// Guards against bytes that pass as text and make a stored record, or a line
/// of the log, unreadable.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Utf8.h>
#include <gtest/gtest.h>

using carobhinge::escapeBytes;
using carobhinge::isUtf8;

TEST(Utf8, TakesTextOfAllLengths) {
  for (const char *Text :
       {"", "host-1", "\u00e9", "\u0935", "\ufffd", "\U0001f333", "a\u00e9b"})
    EXPECT_TRUE(isUtf8(Text)) << Text;
}

TEST(Utf8, RefusesWhatRfc3629LeavesOut) {
  for (const char *Bytes :
       {"\xff", "\x80", "a\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
        "\xf0\x80\x80\xaf", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xe2\x82",
        "\xe2\x28\xa1"})
    EXPECT_FALSE(isUtf8(Bytes)) << Bytes;
}

// Guards against bytes that look alike once they are text.
TEST(Utf8, EscapesAllButPrintableAscii) {
  EXPECT_EQ(escapeBytes("a b~"), "a b~");
  EXPECT_EQ(escapeBytes("\xff\x80\r\n"), "\\xff\\x80\\x0d\\x0a");
  EXPECT_EQ(escapeBytes("\\xff"), "\\x5cxff");
  EXPECT_EQ(escapeBytes("\u00e9"), "\\xc3\\xa9");
}
