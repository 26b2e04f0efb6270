//===- Tests/LibStore/TestLogStore.cpp - Tests of LogStore ----------------===//
///
/// \file
/// Guards against lost or corrupt records after a power cut or a disk error: a
/// power cut at any byte or change loses no synced record, changed durable
/// bytes are reported as corruption, and a failed store stays failed.
///
//===----------------------------------------------------------------------===//

#include <LibStore/FakeDisk.h>
#include <LibStore/LogStore.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carobhinge {
namespace {

using testing::ElementsAre;

constexpr const char *FirstSegment = "/log/segment-0000000000000001";

LogStoreOptions options(FakeDisk &Files) {
  return {.Files = &Files, .Folder = "/log", .SegmentBytes = 150};
}

/// Appends the numbers from 1 on as records. A snapshot holds the last number
/// that it covers. After each opening, the numbers must have no gap, contain
/// all durable ones and none that was never appended.
class NumberedLog {
public:
  enum class Step { Append, Sync, Replace };

  explicit NumberedLog(FakeDisk &Files) : Files(Files) {}

  /// Opens the store and checks its content. A power cut may interrupt this.
  void open() {
    this->Store.emplace(options(this->Files));
    StoredLog Log = this->Store->takeStored();
    std::uint64_t Base = Log.Snapshot ? std::stoull(*Log.Snapshot) : 0;
    std::uint64_t Last = Base;
    for (const std::string &Record : Log.Records) {
      std::uint64_t Number = std::stoull(Record);
      if (Number <= Base)
        continue;
      RC_ASSERT(Number <= Last + 1);
      Last = Number;
    }
    RC_ASSERT(Last >= this->Durable);
    RC_ASSERT(Last <= this->Last);
    // Opening syncs the log, so all of its records are durable now.
    this->Last = Last;
    this->Durable = Last;
  }

  void perform(Step Next) {
    if (Next == Step::Append) {
      this->Store->append(std::to_string(++this->Last));
    } else if (Next == Step::Sync) {
      this->Store->sync();
      this->Durable = this->Last;
    } else {
      std::vector<std::string> KeptRecords;
      std::uint64_t Base = this->Last / 2;
      for (std::uint64_t I = Base + 1; I <= this->Last; ++I)
        KeptRecords.push_back(std::to_string(I));
      this->Store->replace(std::to_string(Base), KeptRecords);
      this->Durable = this->Last;
    }
  }

private:
  FakeDisk &Files;
  std::optional<LogStore> Store;
  std::uint64_t Last = 0;
  std::uint64_t Durable = 0;
};

using Steps = std::vector<NumberedLog::Step>;

Steps generateSteps() {
  return *rc::gen::resize(
      25, rc::gen::container<Steps>(rc::gen::weightedElement<NumberedLog::Step>(
              {{6, NumberedLog::Step::Append},
               {3, NumberedLog::Step::Sync},
               {1, NumberedLog::Step::Replace}})));
}

/// Performs \p Sequence with the power cut that \p SchedulePowerCut sets, then
/// opens the store twice. Returns true if the power cut happened.
template <typename Callable>
bool runWithPowerCut(const Steps &Sequence, Callable SchedulePowerCut,
                     std::uint64_t Seed) {
  FakeDisk Files;
  std::mt19937_64 Random(Seed);
  NumberedLog Numbers(Files);
  SchedulePowerCut(Files);
  bool PowerWasCut = false;
  try {
    Numbers.open();
    for (NumberedLog::Step Next : Sequence)
      Numbers.perform(Next);
  } catch (const PowerCut &) {
    PowerWasCut = true;
  }
  Files.cutPower(Random);
  Numbers.open();
  Numbers.perform(NumberedLog::Step::Append);
  Numbers.perform(NumberedLog::Step::Sync);
  Numbers.open();
  return PowerWasCut;
}

RC_GTEST_PROP(LogStore, SurvivesPowerCutAtEveryByte, (std::uint64_t Seed)) {
  Steps Sequence = generateSteps();
  for (std::size_t Bytes = 0;; ++Bytes) {
    auto SchedulePowerCut = [&](FakeDisk &Files) {
      Files.BytesUntilPowerCut = Bytes;
    };
    if (!runWithPowerCut(Sequence, SchedulePowerCut, Seed + Bytes))
      break;
  }
}

RC_GTEST_PROP(LogStore, SurvivesPowerCutAtEveryChange, (std::uint64_t Seed)) {
  Steps Sequence = generateSteps();
  for (std::size_t Change = 0;; ++Change) {
    auto SchedulePowerCut = [&](FakeDisk &Files) {
      Files.PowerCutAtChange = Change;
    };
    if (!runWithPowerCut(Sequence, SchedulePowerCut, Seed + Change))
      break;
  }
}

TEST(LogStore, ReportsCorruptionOfDurableRecords) {
  FakeDisk Files;
  {
    LogStore Store(options(Files));
    for (const char *Record : {"one", "two", "three"}) {
      Store.append(Record);
      Store.sync();
    }
  }
  std::string Intact = Files.data(FirstSegment);
  std::size_t LastRecord = Intact.size() - (24 + 5);
  for (std::size_t Offset = 0; Offset < Intact.size(); ++Offset) {
    Files.data(FirstSegment) = Intact;
    Files.data(FirstSegment)[Offset] ^= 0x10;
    if (Offset >= LastRecord) {
      // This looks the same as a write that a power cut interrupted.
      EXPECT_THAT(LogStore(options(Files)).takeStored().Records,
                  ElementsAre("one", "two"));
      continue;
    }
    try {
      LogStore Store(options(Files));
      FAIL() << "corruption at byte " << Offset << " was not reported";
    } catch (const CorruptionError &Error) {
      EXPECT_EQ(Error.file(), FirstSegment);
      EXPECT_EQ(Error.offset(), Offset < 24 + 3 ? 0 : 24 + 3);
    }
  }
}

TEST(LogStore, ReportsMissingAndCorruptFiles) {
  FakeDisk Files;
  {
    LogStore Store(options(Files));
    for (int I = 0; I < 12; ++I)
      Store.append("a record that fills a segment");
    Store.sync();
    Store.replace("snapshot", {});
    for (int I = 0; I < 12; ++I)
      Store.append("a record that fills a segment");
    Store.sync();
  }
  FakeDisk::NodeMap Image = Files.image();
  ASSERT_GE(Image.size(), 4U);
  // The segments come first. Corruption at the end of the last one may be an
  // interrupted write.
  std::filesystem::path LastSegment = std::prev(Image.end(), 2)->first;
  for (const auto &[Path, Node] : Image) {
    if (Path == LastSegment)
      continue;
    Files.restore(Image);
    Files.data(Path)[0] ^= 1;
    EXPECT_THROW(LogStore{options(Files)}, CorruptionError) << Path;
    Files.restore(Image);
    Files.remove(Path);
    EXPECT_THROW(LogStore{options(Files)}, CorruptionError) << Path;
  }
}

TEST(LogStore, RejectsEveryCallAfterAFailure) {
  FakeDisk Files;
  LogStore Store(options(Files));
  Store.append("one");
  Files.FailSyncs = true;
  EXPECT_THROW(Store.sync(), DiskError);
  Files.FailSyncs = false;
  EXPECT_THROW(Store.sync(), DiskError);
  EXPECT_THROW(Store.append("two"), DiskError);
  EXPECT_THROW(Store.replace("three", {}), DiskError);

  // The next process reads the written record and syncs it on opening.
  EXPECT_THAT(LogStore(options(Files)).takeStored().Records,
              ElementsAre("one"));
  std::mt19937_64 Random(1);
  Files.cutPower(Random);
  EXPECT_THAT(LogStore(options(Files)).takeStored().Records,
              ElementsAre("one"));

  FakeDisk Full;
  LogStore Other(options(Full));
  Full.SpaceLeft = 10;
  Other.append("four");
  EXPECT_THROW(Other.sync(), DiskError);
  Full.SpaceLeft.reset();
  EXPECT_THROW(Other.sync(), DiskError);
}

} // namespace
} // namespace carobhinge
