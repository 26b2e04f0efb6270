//===- Tests/LibCore/TestArchitecture.cpp - Alike on all architectures ----===//
///
/// \file
/// Guards against hosts of different architectures that compute different
/// results from the same input: what they decide must agree, and a host must
/// read what another one has written. The expected values are the same on each
/// architecture, so that a test which fails on one of them shows the
/// difference.
///
//===----------------------------------------------------------------------===//

#include <gtest/gtest.h>
#include <type_traits>

/// Returns \p Value as the compiler can't know it in advance.
static double unforeseen(double Value) {
  volatile double Kept = Value;
  return Kept;
}

// Guards against comparisons of bytes above 127 that differ: arm64 has an
// unsigned char unless told otherwise.
TEST(Architecture, CharIsSigned) { EXPECT_TRUE(std::is_signed_v<char>); }

// Guards against sums that differ in their last bit: arm64 rounds A * B + C
// once unless told otherwise, x86-64 rounds the product too.
TEST(Architecture, ProductIsRoundedBeforeItIsAdded) {
  double A = unforeseen(1 + 0x1p-30);
  double Rounded = unforeseen(1 + 0x1p-29);
  EXPECT_EQ(A * A - Rounded, 0);
}
