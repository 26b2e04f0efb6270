//===- Tests/LibStore/FakeDisk.h - In-memory disk with injected faults ----===//
///
/// \file
/// Keeps files in memory. A power cut can lose appended bytes until the file is
/// synced, and names until the folder is synced. A full disk or a power cut
/// after a given number of bytes interrupts a write, and syncs can fail.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_FAKEDISK_H
#define LIBSTORE_FAKEDISK_H

#include <LibStore/Disk.h>
#include <atomic>
#include <cerrno>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace carobhinge {

/// Thrown by the operation that a power cut interrupts.
struct PowerCut {};

/// Not thread-safe, except for FailSyncs and IsFull.
class FakeDisk : public Disk {
public:
  /// The content of a file, independent of its name.
  struct Node {
    std::string Data;
    /// Synced bytes at the front of Data.
    std::size_t DurableLength = 0;
  };
  using NodeMap =
      std::map<std::filesystem::path, std::shared_ptr<Node>, std::less<>>;

  /// Bytes that can be written until appends fail because the disk is full.
  std::optional<std::size_t> SpaceLeft;
  /// Bytes that can be written until an append throws PowerCut.
  std::optional<std::size_t> BytesUntilPowerCut;
  std::atomic<bool> FailSyncs = false;
  /// Every write fails; names can still be changed.
  std::atomic<bool> IsFull = false;
  /// Number of operations so far that changed the disk.
  std::size_t ChangeCount = 0;
  /// The change with this number, counted from zero, throws PowerCut.
  std::optional<std::size_t> PowerCutAtChange;

  /// Applies a power cut: drops a random part of the unsynced bytes and, in
  /// half of all cases, the unsynced names.
  void cutPower(std::mt19937_64 &Random) {
    if (Random() % 2 == 0)
      this->Entries = this->DurableEntries;
    for (auto &[Path, File] : this->Entries) {
      std::size_t UnsyncedBytes = File->Data.size() - File->DurableLength;
      File->Data.resize(File->DurableLength + Random() % (UnsyncedBytes + 1));
      if (File->Data.size() > File->DurableLength && Random() % 2 == 0)
        File->Data[File->DurableLength] ^= 1;
      File->DurableLength = File->Data.size();
    }
    this->DurableEntries = this->Entries;
    this->BytesUntilPowerCut.reset();
    this->PowerCutAtChange.reset();
  }

  /// Returns a copy of the durable content.
  [[nodiscard]] NodeMap image() const {
    NodeMap Copy;
    for (const auto &[Path, File] : this->DurableEntries)
      Copy[Path] = std::make_shared<Node>(
          Node{File->Data.substr(0, File->DurableLength), File->DurableLength});
    return Copy;
  }

  /// Resets the disk to \p Image. An empty image stands for a lost disk.
  void restore(const NodeMap &Image) {
    this->Entries.clear();
    for (const auto &[Path, File] : Image)
      this->Entries[Path] = std::make_shared<Node>(*File);
    this->DurableEntries = this->Entries;
  }

  /// Returns the content of \p File for modification by a test.
  std::string &data(const std::filesystem::path &File) {
    return this->find("read", File).Data;
  }

  std::unique_ptr<DiskFile> open(const std::filesystem::path &File) override;

  std::string read(const std::filesystem::path &File) override {
    return this->find("read", File).Data;
  }

  bool exists(const std::filesystem::path &File) override {
    auto Entry = this->Entries.lower_bound(File);
    return Entry != this->Entries.end() &&
           (Entry->first == File || Entry->first.parent_path() == File);
  }

  std::vector<std::string> list(const std::filesystem::path &Folder) override {
    std::vector<std::string> FileNames;
    for (const auto &[Path, File] : this->Entries)
      if (Path.parent_path() == Folder)
        FileNames.push_back(Path.filename().string());
    return FileNames;
  }

  void createFolders(const std::filesystem::path & /*Folder*/) override {}

  void rename(const std::filesystem::path &From,
              const std::filesystem::path &To) override {
    this->countChange();
    this->find("rename", From);
    this->Entries[To] = this->Entries[From];
    this->Entries.erase(From);
  }

  void remove(const std::filesystem::path &File) override {
    this->countChange();
    this->Entries.erase(File);
  }

  void truncate(const std::filesystem::path &File,
                std::uint64_t Size) override {
    this->countChange();
    Node &Target = this->find("truncate", File);
    Target.Data.resize(Size);
    Target.DurableLength = Size;
  }

  void syncFolder(const std::filesystem::path &Folder) override {
    this->countChange();
    if (this->FailSyncs)
      throw DiskError("sync", Folder, {EIO, std::generic_category()});
    std::erase_if(this->DurableEntries, [&](const auto &Item) {
      return Item.first.parent_path() == Folder;
    });
    for (const auto &[Path, File] : this->Entries)
      if (Path.parent_path() == Folder)
        this->DurableEntries[Path] = File;
  }

  std::unique_ptr<DiskLock>
  lock(const std::filesystem::path & /*File*/) override {
    return std::make_unique<DiskLock>();
  }

  /// Appends \p Bytes to \p File, as far as space and power allow.
  void write(Node &File, std::string_view Bytes) {
    this->countChange();
    if (this->IsFull)
      throw DiskError("write", "", {ENOSPC, std::generic_category()});
    if (this->SpaceLeft && Bytes.size() > *this->SpaceLeft) {
      File.Data += Bytes.substr(0, *this->SpaceLeft);
      this->SpaceLeft = 0;
      throw DiskError("write", "", {ENOSPC, std::generic_category()});
    }
    if (this->SpaceLeft)
      *this->SpaceLeft -= Bytes.size();
    if (this->BytesUntilPowerCut && Bytes.size() > *this->BytesUntilPowerCut) {
      File.Data += Bytes.substr(0, *this->BytesUntilPowerCut);
      throw PowerCut();
    }
    if (this->BytesUntilPowerCut)
      *this->BytesUntilPowerCut -= Bytes.size();
    File.Data += Bytes;
  }

  void sync(Node &File) {
    this->countChange();
    if (this->FailSyncs)
      throw DiskError("sync", "", {EIO, std::generic_category()});
    File.DurableLength = File.Data.size();
  }

private:
  /// Counts a change, or throws PowerCut in its place.
  void countChange() {
    if (this->PowerCutAtChange && this->ChangeCount == *this->PowerCutAtChange)
      throw PowerCut();
    ++this->ChangeCount;
  }

  Node &find(std::string_view Operation, const std::filesystem::path &File) {
    auto Entry = this->Entries.find(File);
    if (Entry == this->Entries.end())
      throw DiskError(Operation, File, {ENOENT, std::generic_category()});
    return *Entry->second;
  }

  /// The files by name, including names whose folder is not synced yet.
  NodeMap Entries;
  /// The files by name as of the last sync of each folder.
  NodeMap DurableEntries;
};

class FakeFile : public DiskFile {
public:
  FakeFile(FakeDisk &Owner, std::shared_ptr<FakeDisk::Node> File)
      : Owner(Owner), File(std::move(File)) {}

  void append(std::string_view Bytes) override {
    this->Owner.write(*this->File, Bytes);
  }
  void sync() override { this->Owner.sync(*this->File); }

private:
  FakeDisk &Owner;
  /// Shared with the disk: an open file remains usable after its name is
  /// removed.
  std::shared_ptr<FakeDisk::Node> File;
};

inline std::unique_ptr<DiskFile>
FakeDisk::open(const std::filesystem::path &File) {
  if (!this->Entries.contains(File)) {
    this->countChange();
    this->Entries[File] = std::make_shared<Node>();
  }
  return std::make_unique<FakeFile>(*this, this->Entries[File]);
}

} // namespace carobhinge

#endif // LIBSTORE_FAKEDISK_H
