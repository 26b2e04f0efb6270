//===- LibStore/PosixDisk.cpp - The disk of the operating system ----------===//
///
/// \file
/// Files are opened for appending and locked with flock().
///
//===----------------------------------------------------------------------===//

#include <LibStore/PosixDisk.h>
#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace carobhinge {

namespace {

namespace fs = std::filesystem;

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
  FileDescriptor(std::string_view Operation, const fs::path &File, int Flags)
      : Number(::open(File.c_str(), Flags | O_CLOEXEC, 0640)) {
    if (this->Number < 0)
      throw DiskError(Operation, File, {errno, std::generic_category()});
  }
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;
  ~FileDescriptor() { ::close(this->Number); }

  [[nodiscard]] int number() const { return this->Number; }

private:
  int Number;
};

} // namespace

static void syncDescriptor(const FileDescriptor &Descriptor,
                           const fs::path &File) {
  if (::fsync(Descriptor.number()) != 0)
    throw DiskError("sync", File, {errno, std::generic_category()});
}

namespace {

class PosixFile : public DiskFile {
public:
  explicit PosixFile(const fs::path &File)
      : File(File), Descriptor("open", File, O_WRONLY | O_CREAT | O_APPEND) {}

  void append(std::string_view Bytes) override {
    while (!Bytes.empty()) {
      ssize_t Written =
          ::write(this->Descriptor.number(), Bytes.data(), Bytes.size());
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written < 0)
        throw DiskError("write", this->File, {errno, std::generic_category()});
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  void sync() override {
    if (::fdatasync(this->Descriptor.number()) != 0)
      throw DiskError("sync", this->File, {errno, std::generic_category()});
  }

private:
  fs::path File;
  FileDescriptor Descriptor;
};

class PosixLock : public DiskLock {
public:
  explicit PosixLock(const fs::path &File)
      : Descriptor("lock", File, O_RDWR | O_CREAT) {}

  bool tryLock() {
    return ::flock(this->Descriptor.number(), LOCK_EX | LOCK_NB) == 0;
  }

private:
  FileDescriptor Descriptor;
};

} // namespace

static void throwOnError(std::error_code Code, std::string_view Operation,
                         const fs::path &File) {
  if (Code)
    throw DiskError(Operation, File, Code);
}

std::unique_ptr<DiskFile> PosixDisk::open(const fs::path &File) {
  return std::make_unique<PosixFile>(File);
}

std::string PosixDisk::read(const fs::path &File) {
  FileDescriptor Descriptor("read", File, O_RDONLY);
  std::string Content;
  std::error_code Code;
  Content.resize(fs::file_size(File, Code));
  throwOnError(Code, "read", File);
  std::size_t BytesRead = 0;
  while (BytesRead < Content.size()) {
    ssize_t Count = ::read(Descriptor.number(), Content.data() + BytesRead,
                           Content.size() - BytesRead);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      throw DiskError("read", File,
                      {Count < 0 ? errno : EIO, std::generic_category()});
    BytesRead += static_cast<std::size_t>(Count);
  }
  return Content;
}

bool PosixDisk::exists(const fs::path &File) {
  std::error_code Code;
  bool Found = fs::exists(File, Code);
  throwOnError(Code, "look up", File);
  return Found;
}

std::vector<std::string> PosixDisk::list(const fs::path &Folder) {
  std::vector<std::string> Names;
  std::error_code Code;
  for (fs::directory_iterator It(Folder, Code), End; !Code && It != End;
       It.increment(Code))
    Names.push_back(It->path().filename().string());
  throwOnError(Code, "list", Folder);
  std::sort(Names.begin(), Names.end());
  return Names;
}

void PosixDisk::createFolders(const fs::path &Folder) {
  std::error_code Code;
  fs::create_directories(Folder, Code);
  throwOnError(Code, "create", Folder);
}

void PosixDisk::rename(const fs::path &From, const fs::path &To) {
  std::error_code Code;
  fs::rename(From, To, Code);
  throwOnError(Code, "rename", From);
}

void PosixDisk::remove(const fs::path &File) {
  std::error_code Code;
  fs::remove(File, Code);
  throwOnError(Code, "remove", File);
}

void PosixDisk::truncate(const fs::path &File, std::uint64_t Size) {
  FileDescriptor Descriptor("truncate", File, O_WRONLY);
  if (::ftruncate(Descriptor.number(), static_cast<off_t>(Size)) != 0)
    throw DiskError("truncate", File, {errno, std::generic_category()});
  syncDescriptor(Descriptor, File);
}

void PosixDisk::syncFolder(const fs::path &Folder) {
  FileDescriptor Descriptor("sync", Folder, O_RDONLY | O_DIRECTORY);
  syncDescriptor(Descriptor, Folder);
}

std::unique_ptr<DiskLock> PosixDisk::lock(const fs::path &File) {
  auto Lock = std::make_unique<PosixLock>(File);
  if (!Lock->tryLock())
    return nullptr;
  return Lock;
}

} // namespace carobhinge
