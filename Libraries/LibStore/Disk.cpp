//===- LibStore/Disk.cpp - File operations behind an interface ------------===//

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

void writeAside(Disk &Files, const std::filesystem::path &File,
                std::string_view Content) {
  std::filesystem::path Aside = File;
  Aside += AsideSuffix;
  if (Files.exists(Aside))
    Files.remove(Aside);
  std::unique_ptr<DiskFile> Out = Files.open(Aside);
  Out->append(Content);
  Out->sync();
  Out.reset();
  Files.rename(Aside, File);
  Files.syncFolder(File.parent_path());
}

} // namespace carobhinge
