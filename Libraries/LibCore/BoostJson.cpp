//===- LibCore/BoostJson.cpp - The compiled part of Boost.JSON ------------===//
///
/// \file
/// Boost.JSON is used header-only; this file compiles its implementation once.
///
//===----------------------------------------------------------------------===//

#include <boost/json/src.hpp>
