//===- LibStore/DataFolder.cpp - The folder that holds a host's state -----===//
///
/// \file
/// The metadata file is a JSON object with format version, cluster and disk
/// identity. Locking uses a separate file.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Findings.h>
#include <LibCore/JsonReader.h>
#include <LibStore/DataFolder.h>
#include <utility>

namespace carobhinge {

static constexpr const char *MetadataFileName = "carobhinge.json";
static constexpr const char *LockFileName = "lock";

static std::string metadataText(const DataFolderOptions &Options) {
  boost::json::object Metadata;
  Metadata["version"] = DataFolderVersion;
  Metadata["cluster"] = Options.Cluster;
  Metadata["identity"] = Options.NewIdentity;
  return boost::json::serialize(Metadata) + "\n";
}

std::unique_ptr<DiskLock> lockDataFolder(Disk &Files,
                                         const std::filesystem::path &Folder) {
  Files.createFolders(Folder);
  std::unique_ptr<DiskLock> Lock = Files.lock(Folder / LockFileName);
  if (!Lock)
    throw DataFolderError(DataFolderFault::InUse,
                          "data folder " + Folder.string() +
                              " is in use by another process");
  return Lock;
}

DataFolder::DataFolder(DataFolderOptions Options)
    : Options(std::move(Options)) {
  try {
    this->acquire();
  } catch (const DiskError &Error) {
    throw DataFolderError(DataFolderFault::NotWritable,
                          "data folder " + this->Options.Folder.string() +
                              " cannot be used: " + Error.what());
  }
}

void DataFolder::acquire() {
  Disk &Files = *this->Options.Files;
  this->Lock = lockDataFolder(Files, this->Options.Folder);
  std::filesystem::path MetadataFile = this->Options.Folder / MetadataFileName;
  if (!Files.exists(MetadataFile))
    writeAtomically(Files, MetadataFile, metadataText(this->Options));
  this->readMetadata(Files.read(MetadataFile));
}

void DataFolder::readMetadata(const std::string &Text) {
  std::string Description = "data folder " + this->Options.Folder.string();
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
    throw DataFolderError(DataFolderFault::Corrupt,
                          Description + " is corrupt: " + Found.report());
  if (Version != DataFolderVersion)
    throw DataFolderError(DataFolderFault::OtherVersion,
                          Description + " has version " +
                              std::to_string(Version) +
                              ", this program reads version " +
                              std::to_string(DataFolderVersion));
  if (Cluster != this->Options.Cluster)
    throw DataFolderError(DataFolderFault::OtherCluster,
                          Description + " belongs to cluster " + Cluster +
                              ", not " + this->Options.Cluster);
}

} // namespace carobhinge
