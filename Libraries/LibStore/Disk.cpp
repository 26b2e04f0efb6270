//===- LibStore/Disk.cpp - File operations behind an interface ------------===//
///
/// \file
/// DiskError and the atomic replacement of a file.
///
//===----------------------------------------------------------------------===//

#include <LibStore/Disk.h>
#include <utility>

namespace carobhinge {

static std::string describe(std::string_view Operation,
                            const std::filesystem::path &File,
                            std::error_code Code) {
  return std::string(Operation) + " " + File.string() + ": " + Code.message();
}

DiskError::DiskError(std::string_view Operation, std::filesystem::path File,
                     std::error_code Code)
    : std::runtime_error(describe(Operation, File, Code)),
      File(std::move(File)), Code(Code) {}

void writeAtomically(Disk &Files, const std::filesystem::path &File,
                     std::string_view Content) {
  std::filesystem::path TemporaryFile = File;
  TemporaryFile += TemporarySuffix;
  if (Files.exists(TemporaryFile))
    Files.remove(TemporaryFile);
  std::unique_ptr<DiskFile> Output = Files.open(TemporaryFile);
  Output->append(Content);
  Output->sync();
  Output.reset();
  Files.rename(TemporaryFile, File);
  Files.syncFolder(File.parent_path());
}

} // namespace carobhinge
