//===- LibStore/TestLogStore.cpp - Tests of the log's files ---------------===//

#include <LibStore/FakeDisk.h>
#include <LibStore/LogStore.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carobhinge {
namespace {

TEST(LogStore, KeepsWhatWasSynced) {
  FakeDisk Files;
  LogStoreOptions Options{.Files = &Files, .Folder = "/log"};
  {
    LogStore Store(Options);
    Store.append("one");
    Store.sync();
  }
  EXPECT_THAT(LogStore(Options).takeStored().Records,
              testing::ElementsAre("one"));
}

} // namespace
} // namespace carobhinge
