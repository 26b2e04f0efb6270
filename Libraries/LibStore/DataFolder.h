//===- LibStore/DataFolder.h - The folder that holds a host's state -------===//
///
/// \file
/// Makes sure that a data folder belongs to this cluster, this version and
/// this process before anything in it is read, and gives the disk an identity
/// the first time that it is used.
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

enum class DataFolderFault {
  NotWritable,
  OtherCluster,
  OtherVersion,
  InUse,
  Damaged,
};

class DataFolderError : public std::runtime_error {
public:
  DataFolderError(DataFolderFault Fault, const std::string &Message)
      : std::runtime_error(Message), Fault(Fault) {}

  [[nodiscard]] DataFolderFault fault() const { return this->Fault; }

private:
  DataFolderFault Fault;
};

struct DataFolderOptions {
  /// Must outlive the data folder.
  Disk *Files = nullptr;
  std::filesystem::path Folder;
  std::string Cluster;
  /// The identity that the disk gets if it has none yet: never used before.
  std::string NewIdentity;
};

/// Changed whenever what the files mean changes.
inline constexpr std::int64_t DataFolderVersion = 1;

class DataFolder {
public:
  /// \throws DataFolderError
  explicit DataFolder(DataFolderOptions Options);

  [[nodiscard]] const std::string &identity() const { return this->Identity; }
  /// Where the named part (a log) keeps its files.
  [[nodiscard]] std::filesystem::path part(std::string_view Name) const {
    return this->Options.Folder / Name;
  }

private:
  void take();
  void readMark(const std::string &Text);

  DataFolderOptions Options;
  std::string Identity;
  std::unique_ptr<DiskLock> Lock;
};

} // namespace carobhinge

#endif // LIBSTORE_DATAFOLDER_H
