//===- LibStore/LogStore.h - Records and snapshots in files ---------------===//
///
/// \file
/// Stores the records of one log in segment files and replaces old records by a
/// snapshot. A header in front of each record holds its length, a checksum and
/// the length of the segment that was durable when the record was written.
///
/// On opening, an invalid record at the end of the last segment is the rest of
/// unacknowledged writes that a crash interrupted, and the segment is truncated
/// there. An invalid record is corruption if a later record was written after
/// a sync that covered it, or if it is in an earlier segment. A missing file is
/// corruption as well.
///
/// Snapshot N precedes segment N and also contains the retained records. It
/// replaces all earlier files atomically when it is renamed, which takes one
/// sync of the file and one of the folder.
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

/// A file is missing, or contains bytes that were durable and have changed.
class CorruptionError : public std::runtime_error {
public:
  CorruptionError(std::filesystem::path File, std::uint64_t Offset,
                  std::string_view Description);

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
  /// A new segment is started once the last one has reached this size.
  std::uint64_t SegmentBytes = 8U << 20U;
};

/// The content of a log when it was opened.
struct StoredLog {
  std::optional<std::string> Snapshot;
  /// The records after the snapshot, in the order in which they were written.
  std::vector<std::string> Records;
};

/// An append-only log in a folder of its own. After the first DiskError the
/// store stops: each later operation throws the same error again.
class LogStore {
public:
  /// Opens or creates the log. \throws DiskError, CorruptionError
  explicit LogStore(LogStoreOptions Options);

  /// Returns the content found on opening. To be called once.
  StoredLog takeStored() { return std::move(this->InitialLog); }

  /// Appends a record. It is durable only after sync(). \throws DiskError
  void append(std::string_view Record);

  /// Returns once all records are durable. \throws DiskError
  void sync();

  /// Replaces all records so far by \p Snapshot followed by
  /// \p RetainedRecords. Durable on return. \throws DiskError
  void replace(std::string_view Snapshot,
               std::span<const std::string> RetainedRecords);

private:
  void open();
  void readSnapshot(std::uint64_t Number);
  void readSegment(std::uint64_t Number, bool Last);
  void beginSegment(std::uint64_t Number);
  void flush();
  [[nodiscard]] std::filesystem::path segment(std::uint64_t Number) const;
  [[nodiscard]] std::filesystem::path snapshot(std::uint64_t Number) const;
  /// Runs \p Operation. After the first DiskError, throws it again on every
  /// call.
  template <typename Callable> void runFailStop(Callable Operation);

  LogStoreOptions Options;
  StoredLog InitialLog;
  /// Number of the last segment, to which records are appended.
  std::uint64_t CurrentSegment = 1;
  std::unique_ptr<DiskFile> SegmentFile;
  /// Encoded records not yet written to the file.
  std::string PendingBytes;
  /// Length of the current segment in bytes, including the pending ones.
  std::uint64_t SegmentLength = 0;
  /// Durable bytes of the current segment; never more than SegmentLength.
  std::uint64_t DurableLength = 0;
  /// The error of the first operation that failed.
  std::optional<DiskError> Failure;
};

} // namespace carobhinge

#endif // LIBSTORE_LOGSTORE_H
