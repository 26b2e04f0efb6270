//===- LibStore/LogStore.h - Records and snapshots in files ---------------===//
///
/// \file
/// Keeps the records of one log in segments and replaces old ones by a
/// snapshot. Each record stands behind a header with its length, a checksum
/// and the length of the segment that was durable when it was written.
///
/// On opening, a bad record at the end of the last segment is what a crash
/// left of writes that were never acknowledged, and is cut off. A bad record
/// in front of one that was written after a later sync was durable once; that,
/// a bad record in any earlier segment, and a missing file are damage.
///
/// Snapshot N stands in front of segment N and holds the records carried over
/// as well, so that it replaces all earlier files at the moment in which it
/// gets its name, by one sync of the file and one of the folder.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_LOGSTORE_H
#define LIBSTORE_LOGSTORE_H

#include <LibStore/Disk.h>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// A file holds bytes that were durable once and are now wrong.
class DamageError : public std::runtime_error {
public:
  DamageError(std::filesystem::path File, std::uint64_t Offset,
              std::string_view What);

  [[nodiscard]] const std::filesystem::path &file() const { return this->File; }
  /// In bytes from the start of the file.
  [[nodiscard]] std::uint64_t offset() const { return this->Offset; }

private:
  std::filesystem::path File;
  std::uint64_t Offset;
};

struct LogStoreOptions {
  /// Must outlive the store.
  Disk *Files = nullptr;
  std::filesystem::path Folder;
  /// A new segment is begun when the last one has grown beyond this.
  std::uint64_t SegmentBytes = 8U << 20U;
};

/// What opening found.
struct StoredLog {
  std::optional<std::string> Snapshot;
  /// In the order of writing, from the snapshot on.
  std::vector<std::string> Records;
};

class LogStore {
public:
  /// Opens or creates. \throws DiskError, DamageError
  explicit LogStore(LogStoreOptions Options);

  /// What opening found; empty on the second call.
  StoredLog takeStored() { return std::move(this->Stored); }

  /// Adds a record; durable only after sync(). \throws DiskError
  void append(std::string_view Record);

  /// Returns once all records are durable. \throws DiskError
  void sync();

  /// Replaces everything up to here by \p Snapshot followed by \p Carried.
  /// Durable on return. \throws DiskError
  void replace(std::string_view Snapshot, std::span<const std::string> Carried);

private:
  void open();
  void readSnapshot(std::uint64_t Number);
  void readSegment(std::uint64_t Number, bool Last);
  void beginSegment(std::uint64_t Number);
  void flush();
  [[nodiscard]] std::filesystem::path segment(std::uint64_t Number) const;
  [[nodiscard]] std::filesystem::path snapshot(std::uint64_t Number) const;
  /// Runs \p Operation; once it failed, every later call fails too.
  template <typename Callable> void guarded(Callable Operation);

  LogStoreOptions Options;
  StoredLog Stored;
  /// Number of the last segment, the one written to.
  std::uint64_t Current = 1;
  std::unique_ptr<DiskFile> File;
  /// Encoded records not yet handed to the file.
  std::string Pending;
  /// Bytes of the current segment, pending ones included.
  std::uint64_t Length = 0;
  /// Bytes of the current segment that are durable; never above Length.
  std::uint64_t Durable = 0;
  /// Set by the first failed operation; what() of it.
  std::optional<DiskError> Failure;
};

} // namespace carobhinge

#endif // LIBSTORE_LOGSTORE_H
