//===- LibStore/FakeDisk.h - A disk that fails as told --------------------===//
///
/// \file
/// Files in memory. Appended bytes are lost in a power cut until the file is
/// synced, names until the folder is. Writes can be cut short by a full disk
/// or by a power cut after a given number of bytes, and syncs can fail.
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

/// Thrown out of the operation in which the power goes.
struct PowerCut {};

class FakeDisk : public Disk {
public:
  struct Node {
    std::string Data;
    std::size_t Durable = 0;
  };
  using NodeMap =
      std::map<std::filesystem::path, std::shared_ptr<Node>, std::less<>>;

  /// A full disk: appends fail once this many more bytes are written.
  std::optional<std::size_t> SpaceLeft;
  /// A power cut: appends throw PowerCut once this many more bytes are written.
  std::optional<std::size_t> PowerLeft;
  std::atomic<bool> FailSyncs = false;
  /// Every operation that changes something, counted.
  std::size_t Changes = 0;
  /// A power cut in place of the change with this number.
  std::optional<std::size_t> CutAtChange;

  /// What a power cut leaves: of unsynced bytes and names a random part.
  void cutPower(std::mt19937_64 &Random) {
    if (Random() % 2 == 0)
      this->Names = this->DurableNames;
    for (auto &[Path, File] : this->Names) {
      std::size_t Extra = File->Data.size() - File->Durable;
      File->Data.resize(File->Durable + Random() % (Extra + 1));
      if (File->Data.size() > File->Durable && Random() % 2 == 0)
        File->Data[File->Durable] ^= 1;
      File->Durable = File->Data.size();
    }
    this->DurableNames = this->Names;
    this->PowerLeft.reset();
    this->CutAtChange.reset();
  }

  /// A copy of what is durable now.
  [[nodiscard]] NodeMap image() const {
    NodeMap Copy;
    for (const auto &[Path, File] : this->DurableNames)
      Copy[Path] = std::make_shared<Node>(
          Node{File->Data.substr(0, File->Durable), File->Durable});
    return Copy;
  }

  /// Puts the disk back to an image; an empty one is a lost disk.
  void restore(const NodeMap &Image) {
    this->Names.clear();
    for (const auto &[Path, File] : Image)
      this->Names[Path] = std::make_shared<Node>(*File);
    this->DurableNames = this->Names;
  }

  std::string &data(const std::filesystem::path &File) {
    return this->find("read", File).Data;
  }

  std::unique_ptr<DiskFile> open(const std::filesystem::path &File) override;

  std::string read(const std::filesystem::path &File) override {
    return this->find("read", File).Data;
  }

  bool exists(const std::filesystem::path &File) override {
    auto Inside = this->Names.lower_bound(File);
    return Inside != this->Names.end() &&
           (Inside->first == File || Inside->first.parent_path() == File);
  }

  std::vector<std::string> list(const std::filesystem::path &Folder) override {
    std::vector<std::string> Found;
    for (const auto &[Path, File] : this->Names)
      if (Path.parent_path() == Folder)
        Found.push_back(Path.filename().string());
    return Found;
  }

  void createFolders(const std::filesystem::path & /*Folder*/) override {}

  void rename(const std::filesystem::path &From,
              const std::filesystem::path &To) override {
    this->change();
    this->find("rename", From);
    this->Names[To] = this->Names[From];
    this->Names.erase(From);
  }

  void remove(const std::filesystem::path &File) override {
    this->change();
    this->Names.erase(File);
  }

  void truncate(const std::filesystem::path &File,
                std::uint64_t Size) override {
    this->change();
    Node &Found = this->find("truncate", File);
    Found.Data.resize(Size);
    Found.Durable = Size;
  }

  void syncFolder(const std::filesystem::path &Folder) override {
    this->change();
    if (this->FailSyncs)
      throw DiskError("sync", Folder, {EIO, std::generic_category()});
    std::erase_if(this->DurableNames, [&](const auto &Item) {
      return Item.first.parent_path() == Folder;
    });
    for (const auto &[Path, File] : this->Names)
      if (Path.parent_path() == Folder)
        this->DurableNames[Path] = File;
  }

  std::unique_ptr<DiskLock>
  lock(const std::filesystem::path & /*File*/) override {
    return std::make_unique<DiskLock>();
  }

  void write(Node &File, std::string_view Bytes) {
    this->change();
    if (this->SpaceLeft && Bytes.size() > *this->SpaceLeft) {
      File.Data += Bytes.substr(0, *this->SpaceLeft);
      this->SpaceLeft = 0;
      throw DiskError("write", "", {ENOSPC, std::generic_category()});
    }
    if (this->SpaceLeft)
      *this->SpaceLeft -= Bytes.size();
    if (this->PowerLeft && Bytes.size() > *this->PowerLeft) {
      File.Data += Bytes.substr(0, *this->PowerLeft);
      throw PowerCut();
    }
    if (this->PowerLeft)
      *this->PowerLeft -= Bytes.size();
    File.Data += Bytes;
  }

  void sync(Node &File) {
    this->change();
    if (this->FailSyncs)
      throw DiskError("sync", "", {EIO, std::generic_category()});
    File.Durable = File.Data.size();
  }

private:
  void change() {
    if (this->CutAtChange && this->Changes == *this->CutAtChange)
      throw PowerCut();
    ++this->Changes;
  }

  Node &find(std::string_view Operation, const std::filesystem::path &File) {
    auto Found = this->Names.find(File);
    if (Found == this->Names.end())
      throw DiskError(Operation, File, {ENOENT, std::generic_category()});
    return *Found->second;
  }

  NodeMap Names;
  NodeMap DurableNames;
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
  /// Shared with the disk: an open file outlives its name.
  std::shared_ptr<FakeDisk::Node> File;
};

inline std::unique_ptr<DiskFile>
FakeDisk::open(const std::filesystem::path &File) {
  if (!this->Names.contains(File)) {
    this->change();
    this->Names[File] = std::make_shared<Node>();
  }
  return std::make_unique<FakeFile>(*this, this->Names[File]);
}

} // namespace carobhinge

#endif // LIBSTORE_FAKEDISK_H
