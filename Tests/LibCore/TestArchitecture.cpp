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

// Guards against comparisons of bytes above 127 that differ: arm64 has an
// unsigned char unless told otherwise.
TEST(Architecture, CharIsSigned) { EXPECT_TRUE(std::is_signed_v<char>); }
