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

#include <LibCore/Compression.h>
#include <LibCore/Hash.h>
#include <LibCore/SecureHash.h>
#include <gtest/gtest.h>
#include <string_view>
#include <type_traits>

using namespace carobhinge;

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

// Guards against hosts that assign, or find, the same name in different places.
TEST(Architecture, HashesAreTheSame) {
  EXPECT_EQ(hash64("carobhinge", 0), 0xc1df61f00cf328ceU);
  EXPECT_EQ(hash64("carobhinge", 41), 0x890e4d11dfc8ccceU);
  // xxHash takes another path for long texts, with vectors where there are any.
  std::string Long(5000, '\xe9');
  EXPECT_EQ(hash64(Long, 41), 0xdb411f5e60ec28f8U);
  EXPECT_EQ(digest("carobhinge"), "84545e8ddcc6f8a4aff9baca78bb393c");
  EXPECT_EQ(digest(Long), "cae39961fb4e241461faf109dc6638ed");
  EXPECT_EQ(secureHash64({"carob", "hinge"}), 0xe7cddd88e0ded485U);
}

// Guards against a compressed text that only hosts of one kind can read.
TEST(Architecture, CompressedTextIsReadable) {
  using std::string_view_literals::operator""sv;
  EXPECT_EQ(decompress("\x0a\0\0\0\x78\x01\x4b\x4e\x2c\xca\x4f\xca\xc8\xcc\x4b"
                       "\x4f\x05\0\x16\x5f\x04\x13"sv,
                       100),
            "carobhinge");
}
