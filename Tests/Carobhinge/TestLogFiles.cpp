//===- Tests/Carobhinge/TestLogFiles.cpp - Folders of log files -----------===//
///
/// \file
/// Guards against log files that a reader of JSON lines can't read, against
/// lines that are lost with their process, and against a process that doesn't
/// serve because it can't write its log.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Time.h>
#include <Processes/ChildProcess.h>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

using namespace carobhinge;
using std::chrono::seconds;
using ::testing::HasSubstr;
using ::testing::SizeIs;
namespace json = boost::json;

namespace {

/// A slow machine starts or ends a process within this time.
constexpr auto WaitLimit = seconds(60);

class LogFiles : public testing::Test {
protected:
  LogFiles() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "carobhinge-XXXXXX").string();
    this->Folder = mkdtemp(Pattern.data());
    std::filesystem::create_directories(this->Folder / "data");
  }
  ~LogFiles() override { std::filesystem::remove_all(this->Folder); }

  [[nodiscard]] std::filesystem::path logFolder() const {
    return this->Folder / "logs";
  }
  [[nodiscard]] std::string outputPath() const {
    return (this->Folder / "output").string();
  }
  [[nodiscard]] static std::string read(const std::filesystem::path &Path) {
    std::ifstream File(Path);
    return {std::istreambuf_iterator<char>(File), {}};
  }

  /// Starts a process that writes its log to \p LogFolder.
  [[nodiscard]] std::unique_ptr<ChildProcess>
  start(const std::filesystem::path &LogFolder) const {
    auto Id = static_cast<unsigned>(getpid());
    std::string Ip = "127." + std::to_string(1 + Id / 256 % 250) + "." +
                     std::to_string(Id % 256) + ".86";
    json::object Settings;
    Settings["cluster"] = "delta-north";
    Settings["host"] = "tanta-a-1";
    Settings["failure_domain"] = "tanta-a";
    Settings["region"] = "delta-north";
    Settings["roles"] = json::array{"entry", "control"};
    Settings["listen"] = json::object{{"callers", Ip + ":8227"},
                                      {"endpoints", Ip + ":8228"},
                                      {"operators", Ip + ":8220"},
                                      {"peers", Ip + ":7340"}};
    Settings["peers"] = json::array();
    Settings["data_folder"] = (this->Folder / "data").string();
    Settings["log"] = json::object{{"folder", LogFolder.string()}};
    std::string Path = (this->Folder / "settings.json").string();
    std::ofstream(Path) << json::serialize(Settings);
    return std::make_unique<ChildProcess>(
        CAROBHINGE_BINARY,
        std::vector<std::string>{"serve", "--settings", Path},
        this->outputPath());
  }

  /// Returns the files in which a reader finds lines.
  [[nodiscard]] std::vector<std::filesystem::path> files() const {
    std::vector<std::filesystem::path> Found;
    if (std::filesystem::exists(this->logFolder()))
      for (const auto &Entry :
           std::filesystem::directory_iterator(this->logFolder()))
        if (Entry.file_size() > 0)
          Found.push_back(Entry.path());
    return Found;
  }
  bool waitForFile() const {
    TimePoint End = monotonicNow() + WaitLimit;
    while (this->files().empty()) {
      if (monotonicNow() >= End)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  std::filesystem::path Folder;
};

} // namespace

// Guards against texts in the files that aren't lines of the log, and against
// lines that wait in a process that is killed.
TEST_F(LogFiles, KilledProcessHasWrittenWholeLinesOfJson) {
  std::unique_ptr<ChildProcess> Process = this->start(this->logFolder());
  ASSERT_TRUE(this->waitForFile()) << read(this->outputPath());
  Process->signal(SIGKILL);
  EXPECT_EQ(Process->wait(WaitLimit), -SIGKILL);
  ASSERT_THAT(this->files(), SizeIs(1));
  std::string Text = read(this->files().front());
  EXPECT_TRUE(Text.ends_with('\n')) << Text;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    boost::system::error_code Error;
    json::value Value = json::parse(Line, Error);
    ASSERT_FALSE(Error) << Line;
    EXPECT_EQ(Value.at("host").as_string(), "tanta-a-1") << Line;
    EXPECT_TRUE(Value.as_object().contains("event")) << Line;
  }
}

// Guards against two processes that write one file, so that what one of them
// has written can't be told from the other's.
TEST_F(LogFiles, ProcessesThatFollowOneAnotherHaveFilesOfTheirOwn) {
  for (std::size_t Count = 1; Count <= 2; ++Count) {
    std::unique_ptr<ChildProcess> Process = this->start(this->logFolder());
    TimePoint End = monotonicNow() + WaitLimit;
    while (this->files().size() < Count && monotonicNow() < End)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_THAT(this->files(), SizeIs(Count));
    Process->signal(SIGKILL);
    EXPECT_EQ(Process->wait(WaitLimit), -SIGKILL);
  }
}

// Guards against a process that ends, or that says nothing, because the folder
// of its log can't be used.
TEST_F(LogFiles, UnusableFolderIsNamedAndStandardErrorGetsTheLines) {
  std::unique_ptr<ChildProcess> Process = this->start("/proc/no-such-folder");
  TimePoint End = monotonicNow() + WaitLimit;
  while (read(this->outputPath()).find('\n') == std::string::npos &&
         monotonicNow() < End)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_THAT(read(this->outputPath()),
              AllOf(HasSubstr("log-folder-unusable"),
                    HasSubstr("/proc/no-such-folder")));
  EXPECT_TRUE(Process->running());
}
