//===- Tests/LibStore/TestDataFolder.cpp - Tests of DataFolder ------------===//
///
/// \file
/// Guards against a process that uses the wrong data: a folder of another
/// cluster or version, a locked folder and a corrupt one are rejected, and the
/// identity of the disk never changes.
///
//===----------------------------------------------------------------------===//

#include <LibStore/DataFolder.h>
#include <LibStore/PosixDisk.h>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>

namespace carobhinge {
namespace {

class DataFolderTest : public testing::Test {
protected:
  void SetUp() override {
    std::string Template = testing::TempDir() + "carobhinge-XXXXXX";
    ASSERT_NE(mkdtemp(Template.data()), nullptr);
    this->Root = Template;
  }
  void TearDown() override { std::filesystem::remove_all(this->Root); }

  DataFolderOptions options(const std::string &Identity = "disk-1") {
    return {.Files = &this->Files,
            .Folder = this->Root / "data",
            .Cluster = "delta-north",
            .NewIdentity = Identity};
  }

  void expectFault(const DataFolderOptions &Options, DataFolderFault Fault) {
    try {
      DataFolder Folder(Options);
      FAIL() << "no DataFolderFault was found";
    } catch (const DataFolderError &Error) {
      EXPECT_EQ(Error.fault(), Fault) << Error.what();
    }
  }

  PosixDisk Files;
  std::filesystem::path Root;
};

TEST_F(DataFolderTest, KeepsTheFirstIdentity) {
  EXPECT_EQ(DataFolder(this->options("disk-1")).identity(), "disk-1");
  EXPECT_EQ(DataFolder(this->options("disk-2")).identity(), "disk-1");
}

TEST_F(DataFolderTest, RejectsASecondHolder) {
  DataFolder First(this->options());
  this->expectFault(this->options(), DataFolderFault::InUse);
}

TEST_F(DataFolderTest, RejectsAFolderThatCannotBeWritten) {
  std::ofstream(this->Root / "data") << "a file, not a folder";
  this->expectFault(this->options(), DataFolderFault::NotWritable);
}

TEST_F(DataFolderTest, RejectsForeignAndCorruptMetadata) {
  struct Case {
    const char *Metadata;
    DataFolderFault Fault;
  };
  const Case Cases[] = {
      {R"({"version": 1, "cluster": "biobio", "identity": "x"})",
       DataFolderFault::OtherCluster},
      {R"({"version": 2, "cluster": "delta-north", "identity": "x"})",
       DataFolderFault::OtherVersion},
      {R"({"version": 1, "cluster": "delta-north"})", DataFolderFault::Corrupt},
      {R"({"version": 1, "clus)", DataFolderFault::Corrupt},
      {"", DataFolderFault::Corrupt},
  };
  std::filesystem::create_directories(this->Root / "data");
  for (const Case &Item : Cases) {
    std::ofstream(this->Root / "data" / "carobhinge.json") << Item.Metadata;
    this->expectFault(this->options(), Item.Fault);
  }
}

} // namespace
} // namespace carobhinge
