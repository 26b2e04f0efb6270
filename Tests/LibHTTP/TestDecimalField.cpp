//===- Tests/LibHTTP/TestDecimalField.cpp - Numbers in header fields ------===//
///
/// \file
/// Guards against numbers of faulty peers that overflow, are not finite, or are
/// taken for something that they don't say.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/DecimalField.h>
#include <gtest/gtest.h>
#include <string>

using namespace carobhinge;

TEST(DecimalField, ReadsDigitsWithAFraction) {
  EXPECT_EQ(parseDecimal("12"), 12);
  EXPECT_EQ(parseDecimal(" 0.25 "), 0.25);
  EXPECT_EQ(parseDecimal("0"), 0);
  EXPECT_EQ(parseDecimal("5."), 5);
  EXPECT_EQ(parseDecimal(".5"), 0.5);
}

TEST(DecimalField, ReadsNothingElse) {
  for (std::string_view Text :
       {"", " ", ".", "-1", "+1", "1e400", "1e3", "nan", "inf", "Infinity",
        "0x10", "1,5", "1 2", "1.2.3", "12s", "soon"})
    EXPECT_FALSE(parseDecimal(Text)) << Text;
  EXPECT_FALSE(parseDecimal(std::string(399, '9')));
  EXPECT_FALSE(parseDecimal(std::string(100000, '9')));
}

TEST(DecimalField, RetryAfterIsAFiniteTimeOrNone) {
  using std::chrono::milliseconds;
  EXPECT_EQ(parseRetryAfter("2"), milliseconds(2000));
  EXPECT_EQ(parseRetryAfter("0.25"), milliseconds(250));
  EXPECT_EQ(parseRetryAfter("0"), Duration::zero());
  EXPECT_EQ(parseRetryAfter("99999999999999999999"),
            std::chrono::hours(24 * 365));
  for (std::string_view Text :
       {"", "-3", "Fri, 05 Dec 2026 02:04:31 GMT", "nan", "1e400", "later"})
    EXPECT_FALSE(parseRetryAfter(Text)) << Text;
}
