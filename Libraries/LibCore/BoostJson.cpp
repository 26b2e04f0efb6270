//===- LibCore/BoostJson.cpp - The compiled part of Boost.JSON ------------===//
///
/// \file
/// Boost.JSON is used header-only; this is its one translation unit.
///
//===----------------------------------------------------------------------===//

#include <boost/json/src.hpp>
