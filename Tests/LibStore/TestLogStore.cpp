//===- LibStore/TestLogStore.cpp - Tests of the log's files ---------------===//

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

/// Writes the numbers from 1 on as records. A snapshot holds how many of them
/// it stands for. What a store gives back must be such numbers without a gap.
class Counter {
public:
  enum class Step { Append, Sync, Replace };

  explicit Counter(FakeDisk &Files) : Files(Files) {}

  /// Opens the store; the power may go at any point.
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
    // What was read counts as durable from here on.
    this->Last = Last;
    this->Durable = Last;
  }

  void take(Step Next) {
    if (Next == Step::Append) {
      this->Store->append(std::to_string(++this->Last));
    } else if (Next == Step::Sync) {
      this->Store->sync();
      this->Durable = this->Last;
    } else {
      std::vector<std::string> Carried;
      std::uint64_t Base = this->Last / 2;
      for (std::uint64_t I = Base + 1; I <= this->Last; ++I)
        Carried.push_back(std::to_string(I));
      this->Store->replace(std::to_string(Base), Carried);
      this->Durable = this->Last;
    }
  }

private:
  FakeDisk &Files;
  std::optional<LogStore> Store;
  std::uint64_t Last = 0;
  std::uint64_t Durable = 0;
};

using Steps = std::vector<Counter::Step>;

Steps drawSteps() {
  return *rc::gen::resize(
      25, rc::gen::container<Steps>(rc::gen::weightedElement<Counter::Step>(
              {{6, Counter::Step::Append},
               {3, Counter::Step::Sync},
               {1, Counter::Step::Replace}})));
}

/// Takes the steps with a power cut set by \p Arm, then opens twice.
/// \returns whether the power went.
template <typename Callable>
bool runWithCut(const Steps &Taken, Callable Arm, std::uint64_t Seed) {
  FakeDisk Files;
  std::mt19937_64 Random(Seed);
  Counter Numbers(Files);
  Arm(Files);
  bool Cut = false;
  try {
    Numbers.open();
    for (Counter::Step Next : Taken)
      Numbers.take(Next);
  } catch (const PowerCut &) {
    Cut = true;
  }
  Files.cutPower(Random);
  Numbers.open();
  Numbers.take(Counter::Step::Append);
  Numbers.take(Counter::Step::Sync);
  Numbers.open();
  return Cut;
}

RC_GTEST_PROP(LogStore, SurvivesPowerCutAtEveryByte, (std::uint64_t Seed)) {
  Steps Taken = drawSteps();
  for (std::size_t Bytes = 0;; ++Bytes) {
    auto Arm = [&](FakeDisk &Files) { Files.PowerLeft = Bytes; };
    if (!runWithCut(Taken, Arm, Seed + Bytes))
      break;
  }
}

RC_GTEST_PROP(LogStore, SurvivesPowerCutAtEveryChange, (std::uint64_t Seed)) {
  Steps Taken = drawSteps();
  for (std::size_t Change = 0;; ++Change) {
    auto Arm = [&](FakeDisk &Files) { Files.CutAtChange = Change; };
    if (!runWithCut(Taken, Arm, Seed + Change))
      break;
  }
}

TEST(LogStore, ReportsDamageThatWasDurable) {
  FakeDisk Files;
  {
    LogStore Store(options(Files));
    for (const char *Record : {"one", "two", "three"}) {
      Store.append(Record);
      Store.sync();
    }
  }
  std::string Whole = Files.data(FirstSegment);
  std::size_t LastRecord = Whole.size() - (24 + 5);
  for (std::size_t At = 0; At < Whole.size(); ++At) {
    Files.data(FirstSegment) = Whole;
    Files.data(FirstSegment)[At] ^= 0x10;
    if (At >= LastRecord) {
      // Nothing tells it from a write that the power cut short.
      EXPECT_THAT(LogStore(options(Files)).takeStored().Records,
                  ElementsAre("one", "two"));
      continue;
    }
    try {
      LogStore Store(options(Files));
      FAIL() << "damage at byte " << At << " was skipped";
    } catch (const DamageError &Error) {
      EXPECT_EQ(Error.file(), FirstSegment);
      EXPECT_EQ(Error.offset(), At < 24 + 3 ? 0 : 24 + 3);
    }
  }
}

TEST(LogStore, ReportsMissingAndDamagedFiles) {
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
  // The segments come first. Damage at the end of the last one may be a write
  // that was cut short.
  std::filesystem::path LastSegment = std::prev(Image.end(), 2)->first;
  for (const auto &[Path, Node] : Image) {
    if (Path == LastSegment)
      continue;
    Files.restore(Image);
    Files.data(Path)[0] ^= 1;
    EXPECT_THROW(LogStore{options(Files)}, DamageError) << Path;
    Files.restore(Image);
    Files.remove(Path);
    EXPECT_THROW(LogStore{options(Files)}, DamageError) << Path;
  }
}

TEST(LogStore, NeverTriesAgainAfterAFailure) {
  FakeDisk Files;
  LogStore Store(options(Files));
  Store.append("one");
  Files.FailSyncs = true;
  EXPECT_THROW(Store.sync(), DiskError);
  Files.FailSyncs = false;
  EXPECT_THROW(Store.sync(), DiskError);
  EXPECT_THROW(Store.append("two"), DiskError);
  EXPECT_THROW(Store.replace("three", {}), DiskError);

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
