//===- LibStore/PosixDisk.h - The disk of the operating system ------------===//
///
/// \file
/// Implements Disk with POSIX calls.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_POSIXDISK_H
#define LIBSTORE_POSIXDISK_H

#include <LibStore/Disk.h>

namespace carobhinge {

/// Has no state, so all threads may share one object.
class PosixDisk : public Disk {
public:
  std::unique_ptr<DiskFile> open(const std::filesystem::path &File) override;
  std::string read(const std::filesystem::path &File) override;
  bool exists(const std::filesystem::path &File) override;
  std::vector<std::string> list(const std::filesystem::path &Folder) override;
  void createFolders(const std::filesystem::path &Folder) override;
  void rename(const std::filesystem::path &From,
              const std::filesystem::path &To) override;
  void remove(const std::filesystem::path &File) override;
  void truncate(const std::filesystem::path &File, std::uint64_t Size) override;
  void syncFolder(const std::filesystem::path &Folder) override;
  std::unique_ptr<DiskLock> lock(const std::filesystem::path &File) override;
};

} // namespace carobhinge

#endif // LIBSTORE_POSIXDISK_H
