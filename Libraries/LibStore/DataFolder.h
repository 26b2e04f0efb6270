//===- LibStore/DataFolder.h - The folder that holds a host's state -------===//
///
/// \file
/// Locks a data folder and verifies its cluster and format version before
/// anything else in it is read. On first use it stores an identity for the
/// disk.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_DATAFOLDER_H
#define LIBSTORE_DATAFOLDER_H

#include <LibStore/Disk.h>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

namespace carobhinge {

/// Reasons why a data folder cannot be used.
enum class DataFolderFault {
  NotWritable,
  /// The folder belongs to another cluster.
  OtherCluster,
  /// The files have another format version.
  OtherVersion,
  /// Another process holds the lock.
  InUse,
  /// The metadata file cannot be parsed.
  Corrupt,
};

class DataFolderError : public std::runtime_error {
public:
  DataFolderError(DataFolderFault Fault, const std::string &Message)
      : std::runtime_error(Message), Fault(Fault) {}

  [[nodiscard]] DataFolderFault fault() const { return this->Fault; }

private:
  DataFolderFault Fault;
};

/// Locks \p Folder for as long as the result exists; creates the folder where
/// it is missing. The lock ends with the process. \throws DiskError,
/// DataFolderError
std::unique_ptr<DiskLock> lockDataFolder(Disk &Files,
                                         const std::filesystem::path &Folder);

struct DataFolderOptions {
  /// Must outlive the data folder.
  Disk *Files = nullptr;
  std::filesystem::path Folder;
  std::string Cluster;
  /// The identity to store if the folder has none yet. It must never have been
  /// used before.
  std::string NewIdentity;
};

/// The format version of all files in the folder. It changes whenever their
/// meaning changes.
inline constexpr std::int64_t DataFolderVersion = 1;

/// The data folder of one host, locked for as long as the object exists.
class DataFolder {
public:
  /// Locks the folder; creates it where it is missing. \throws DataFolderError
  explicit DataFolder(DataFolderOptions Options);

  [[nodiscard]] const std::string &identity() const { return this->Identity; }
  /// Returns the folder for the files of the part \p Name, such as a log.
  [[nodiscard]] std::filesystem::path subfolder(std::string_view Name) const {
    return this->Options.Folder / Name;
  }

private:
  void acquire();
  void readMetadata(const std::string &Text);

  DataFolderOptions Options;
  std::string Identity;
  std::unique_ptr<DiskLock> Lock;
};

} // namespace carobhinge

#endif // LIBSTORE_DATAFOLDER_H
