//===- LibStore/DataFolder.cpp - The folder that holds a host's state -----===//

#include <LibCore/Findings.h>
#include <LibCore/JsonReader.h>
#include <LibStore/DataFolder.h>
#include <utility>

namespace carobhinge {

static constexpr const char *MarkName = "carobhinge.json";
static constexpr const char *LockName = "lock";

static std::string markText(const DataFolderOptions &Options) {
  boost::json::object Mark;
  Mark["version"] = DataFolderVersion;
  Mark["cluster"] = Options.Cluster;
  Mark["identity"] = Options.NewIdentity;
  return boost::json::serialize(Mark) + "\n";
}

DataFolder::DataFolder(DataFolderOptions Options)
    : Options(std::move(Options)) {
  try {
    this->take();
  } catch (const DiskError &Error) {
    throw DataFolderError(DataFolderFault::NotWritable,
                          "data folder " + this->Options.Folder.string() +
                              " cannot be used: " + Error.what());
  }
}

void DataFolder::take() {
  Disk &Files = *this->Options.Files;
  Files.createFolders(this->Options.Folder);
  this->Lock = Files.lock(this->Options.Folder / LockName);
  if (!this->Lock)
    throw DataFolderError(DataFolderFault::InUse,
                          "data folder " + this->Options.Folder.string() +
                              " is in use by another process");
  std::filesystem::path Mark = this->Options.Folder / MarkName;
  if (!Files.exists(Mark))
    writeAside(Files, Mark, markText(this->Options));
  this->readMark(Files.read(Mark));
}

void DataFolder::readMark(const std::string &Text) {
  std::string Where = "data folder " + this->Options.Folder.string();
  Findings Found;
  std::optional<boost::json::value> Value = parseJson(Text, Found);
  std::int64_t Version = 0;
  std::string Cluster;
  if (Value) {
    JsonReader Reader(*Value, "", Found);
    Version = Reader.requiredInteger("version", {});
    Cluster = Reader.requiredString("cluster");
    this->Identity = Reader.requiredString("identity");
  }
  if (!Found.empty())
    throw DataFolderError(DataFolderFault::Damaged,
                          Where + " is damaged: " + Found.report());
  if (Version != DataFolderVersion)
    throw DataFolderError(DataFolderFault::OtherVersion,
                          Where + " has version " + std::to_string(Version) +
                              ", this program reads version " +
                              std::to_string(DataFolderVersion));
  if (Cluster != this->Options.Cluster)
    throw DataFolderError(DataFolderFault::OtherCluster,
                          Where + " belongs to cluster " + Cluster + ", not " +
                              this->Options.Cluster);
}

} // namespace carobhinge
