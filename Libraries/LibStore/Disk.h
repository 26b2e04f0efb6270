//===- LibStore/Disk.h - File operations behind an interface --------------===//
///
/// \file
/// The file operations that the stores need. PosixDisk passes them to the
/// operating system. Tests replace it by a disk that loses unsynced bytes,
/// tears writes, runs out of space and fails to sync.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_DISK_H
#define LIBSTORE_DISK_H

#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace carobhinge {

/// A file operation failed. After a failed write or sync the content of the
/// disk is unknown, so the operation must not be retried.
class DiskError : public std::runtime_error {
public:
  DiskError(std::string_view Operation, std::filesystem::path File,
            std::error_code Code);

  [[nodiscard]] const std::filesystem::path &file() const { return this->File; }
  [[nodiscard]] std::error_code code() const { return this->Code; }

private:
  std::filesystem::path File;
  std::error_code Code;
};

/// One file open for appending.
class DiskFile {
public:
  DiskFile() = default;
  DiskFile(const DiskFile &) = delete;
  DiskFile &operator=(const DiskFile &) = delete;
  virtual ~DiskFile() = default;

  /// Writes all of \p Bytes at the end of the file. \throws DiskError
  virtual void append(std::string_view Bytes) = 0;

  /// Returns once everything appended is durable. \throws DiskError
  virtual void sync() = 0;
};

/// Held while this process uses a folder; released on destruction.
class DiskLock {
public:
  DiskLock() = default;
  DiskLock(const DiskLock &) = delete;
  DiskLock &operator=(const DiskLock &) = delete;
  virtual ~DiskLock() = default;
};

/// All operations throw DiskError on failure.
class Disk {
public:
  Disk() = default;
  Disk(const Disk &) = delete;
  Disk &operator=(const Disk &) = delete;
  virtual ~Disk() = default;

  /// Opens \p File for appending; creates it if it is missing.
  virtual std::unique_ptr<DiskFile> open(const std::filesystem::path &File) = 0;
  virtual std::string read(const std::filesystem::path &File) = 0;
  virtual bool exists(const std::filesystem::path &File) = 0;
  /// Returns the sorted names of the files directly in \p Folder.
  virtual std::vector<std::string>
  list(const std::filesystem::path &Folder) = 0;
  virtual void createFolders(const std::filesystem::path &Folder) = 0;
  virtual void rename(const std::filesystem::path &From,
                      const std::filesystem::path &To) = 0;
  virtual void remove(const std::filesystem::path &File) = 0;
  /// Truncates \p File to \p Size bytes and syncs it.
  virtual void truncate(const std::filesystem::path &File,
                        std::uint64_t Size) = 0;
  /// Makes creations, renames and removals in \p Folder durable.
  virtual void syncFolder(const std::filesystem::path &Folder) = 0;
  /// Returns null if the lock is already held.
  virtual std::unique_ptr<DiskLock> lock(const std::filesystem::path &File) = 0;
};

/// Replaces \p File atomically: writes and syncs a temporary file, renames it
/// to \p File and syncs the folder. \throws DiskError
void writeAtomically(Disk &Files, const std::filesystem::path &File,
                     std::string_view Content);

/// Suffix of the temporary files of writeAtomically().
inline constexpr std::string_view TemporarySuffix = ".new";

} // namespace carobhinge

#endif // LIBSTORE_DISK_H
