//===- Tests/LibEntry/TestAdmission.cpp - Admission by the catalog --------===//
///
/// \file
/// Guards against callers that are refused for good, or served, by a catalog
/// that is older than the one that a host has shown them before.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/Admission.h>
#include <LibEntry/ConfirmationLease.h>
#include <LibEntry/PeerCatalog.h>
#include <gtest/gtest.h>

using namespace carobhinge;

/// A request that is served.
static AdmissionFacts served() {
  return {.CatalogVersion = 2,
          .RequiredVersion = 2,
          .IsStateConfirmed = true,
          .IsConfirmationFresh = true,
          .HasRoute = true,
          .RequiresKey = true,
          .HasKnownKey = true};
}

TEST(Admission, AdmitsAndRefusesByAConfirmedCatalog) {
  EXPECT_EQ(decideAdmission(served()), Admission::Admitted);
  AdmissionFacts Facts = served();
  Facts.HasRoute = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::UnknownRoute);
  Facts = served();
  Facts.HasKnownKey = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::UnknownKey);
  Facts.RequiresKey = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::Admitted);
  EXPECT_EQ(decideAdmission({}), Admission::NoCatalog);
}

// Guards against a peer that was suspended and refuses, or runs by the old
// route, what another host has admitted by a newer catalog.
TEST(Admission, DecidesNothingByACatalogOlderThanRequired) {
  for (bool HasRoute : {true, false})
    for (bool RequiresKey : {true, false})
      for (bool HasKnownKey : {true, false}) {
        AdmissionFacts Facts = served();
        Facts.CatalogVersion = 1;
        Facts.HasRoute = HasRoute;
        Facts.RequiresKey = RequiresKey;
        Facts.HasKnownKey = HasKnownKey;
        EXPECT_EQ(decideAdmission(Facts), Admission::CatalogOutdated);
      }
  AdmissionFacts Newer = served();
  Newer.CatalogVersion = 3;
  EXPECT_EQ(decideAdmission(Newer), Admission::Admitted);
}

// Guards against a refusal for good by a confirmation from before a
// suspension: the host still serves, but it does not know that a route or a key
// is missing.
TEST(Admission, RefusesForGoodOnlyWithAFreshConfirmation) {
  AdmissionFacts Facts = served();
  Facts.IsConfirmationFresh = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::Admitted);
  Facts.HasKnownKey = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::StateUnconfirmed);
  Facts.HasRoute = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::StateUnconfirmed);
}

TEST(Admission, KeysNeedAConfirmation) {
  AdmissionFacts Facts = served();
  Facts.IsStateConfirmed = false;
  Facts.IsConfirmationFresh = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::StateUnconfirmed);
  Facts.RequiresKey = false;
  EXPECT_EQ(decideAdmission(Facts), Admission::Admitted);
}

TEST(Admission, ConfirmationIsFreshForHalfOfTheLease) {
  using std::chrono::seconds;
  ConfirmationLease Lease(seconds(4));
  TimePoint Start{seconds(1000)};
  EXPECT_FALSE(Lease.isFresh(Start));
  Lease.recordConfirmation(Start, 0);
  EXPECT_TRUE(Lease.isFresh(Start + seconds(2)));
  EXPECT_FALSE(Lease.isFresh(Start + seconds(2) + Duration(1)));
  EXPECT_TRUE(Lease.isValid(Start + seconds(3)));
}

// Guards against a peer of an earlier build, which names no version.
TEST(PeerAnswer, RefusalForGoodCountsOnlyByANewerCatalog) {
  for (unsigned Status : {401U, 403U, 404U}) {
    EXPECT_TRUE(isRefusedByOlderCatalog({.Status = Status}, 2));
    EXPECT_TRUE(
        isRefusedByOlderCatalog({.Status = Status, .CatalogVersion = 2}, 2));
    EXPECT_FALSE(
        isRefusedByOlderCatalog({.Status = Status, .CatalogVersion = 3}, 2));
    // An endpoint's own answer.
    EXPECT_FALSE(
        isRefusedByOlderCatalog({.Status = Status, .IsSigned = true}, 2));
  }
  for (unsigned Status : {200U, 400U, 503U})
    EXPECT_FALSE(isRefusedByOlderCatalog({.Status = Status}, 2));
}

// Guards against a host that refuses everything for good because an answer
// named a version that does not exist, as a faulty endpoint may write it
// through a peer of an earlier build.
TEST(PeerCatalog, BindsUntilALaterConfirmation) {
  using std::chrono::seconds;
  TimePoint Start{seconds(1000)};
  PeerCatalog Seen;
  EXPECT_EQ(Seen.requiredVersion(Start, std::nullopt), 0U);
  Seen.record(Start, 7);
  EXPECT_EQ(Seen.requiredVersion(Start, std::nullopt), 7U);
  // Confirmations that were requested before, and after, it was seen.
  EXPECT_EQ(Seen.requiredVersion(Start + seconds(1), seconds(2)), 7U);
  EXPECT_EQ(Seen.requiredVersion(Start + seconds(1), seconds(1)), 7U);
  EXPECT_EQ(Seen.requiredVersion(Start + seconds(2), seconds(1)), 0U);
  // An older one, and none, change nothing.
  Seen.record(Start + seconds(3), 6);
  Seen.record(Start + seconds(3), 0);
  EXPECT_EQ(Seen.requiredVersion(Start + seconds(4), seconds(2)), 0U);
  Seen.record(Start + seconds(4), 8);
  EXPECT_EQ(Seen.requiredVersion(Start + seconds(4), seconds(2)), 8U);
}
