//===- LibStore/LogStore.cpp - Records and snapshots in files -------------===//

#include <LibStore/LogStore.h>
#include <LibStore/RecordCodec.h>
#include <cassert>
#include <cstdio>
#include <utility>

namespace carobhinge {

static constexpr std::string_view SegmentPrefix = "segment-";
static constexpr std::string_view SnapshotPrefix = "snapshot-";

/// Digits of a file number; enough that names sort as numbers do.
static constexpr int NumberDigits = 16;

DamageError::DamageError(std::filesystem::path File, std::uint64_t Offset,
                         std::string_view What)
    : std::runtime_error(File.string() + " at byte " + std::to_string(Offset) +
                         ": " + std::string(What)),
      File(std::move(File)), Offset(Offset) {}

static std::string numbered(std::string_view Prefix, std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  Digits.insert(0, NumberDigits - Digits.size(), '0');
  return std::string(Prefix) + Digits;
}

/// The number in \p Name if it begins with \p Prefix and ends in a number.
static std::optional<std::uint64_t> numberOf(std::string_view Name,
                                             std::string_view Prefix) {
  if (!Name.starts_with(Prefix) || Name.size() != Prefix.size() + NumberDigits)
    return std::nullopt;
  return std::stoull(std::string(Name.substr(Prefix.size())));
}

/// Adds the records at the front of \p Content to \p Out.
/// \returns where the first one that is not intact begins.
static std::uint64_t decodeAll(std::string_view Content,
                               std::vector<std::string> &Out) {
  std::uint64_t Good = 0;
  while (auto Record = decodeRecord(Content.substr(Good))) {
    Out.emplace_back(Record->Payload);
    Good += Record->Size;
  }
  return Good;
}

/// Whether a record behind \p Bad says that the byte at \p Bad was durable.
static bool durableOnce(std::string_view Content, std::uint64_t Bad) {
  for (std::uint64_t At = Bad + 1; At < Content.size(); ++At) {
    std::optional<DecodedRecord> Record = decodeRecord(Content.substr(At));
    if (Record && Record->Durable > Bad)
      return true;
  }
  return false;
}

LogStore::LogStore(LogStoreOptions Options) : Options(std::move(Options)) {
  assert(this->Options.Files != nullptr);
  this->open();
}

std::filesystem::path LogStore::segment(std::uint64_t Number) const {
  return this->Options.Folder / numbered(SegmentPrefix, Number);
}

std::filesystem::path LogStore::snapshot(std::uint64_t Number) const {
  return this->Options.Folder / numbered(SnapshotPrefix, Number);
}

template <typename Callable> void LogStore::guarded(Callable Operation) {
  if (this->Failure)
    throw DiskError(*this->Failure);
  try {
    Operation();
  } catch (const DiskError &Error) {
    this->Failure = Error;
    throw;
  }
}

void LogStore::open() {
  Disk &Files = *this->Options.Files;
  if (!Files.exists(this->Options.Folder)) {
    Files.createFolders(this->Options.Folder);
    Files.syncFolder(this->Options.Folder.parent_path());
  }
  std::uint64_t First = 1;
  std::uint64_t Last = 0;
  for (const std::string &Name : Files.list(this->Options.Folder)) {
    if (Name.ends_with(AsideSuffix))
      Files.remove(this->Options.Folder / Name);
    else if (auto Number = numberOf(Name, SnapshotPrefix))
      First = *Number;
    else if (auto Number = numberOf(Name, SegmentPrefix))
      Last = *Number;
  }
  if (Files.exists(this->snapshot(First)))
    this->readSnapshot(First);
  for (std::uint64_t Number = First; Number <= Last; ++Number)
    this->readSegment(Number, Number == Last);
  if (Last < First)
    this->beginSegment(First);
}

void LogStore::readSnapshot(std::uint64_t Number) {
  std::filesystem::path Path = this->snapshot(Number);
  std::string Content = this->Options.Files->read(Path);
  std::vector<std::string> Records;
  std::uint64_t Good = decodeAll(Content, Records);
  if (Records.empty() || Good < Content.size())
    throw DamageError(Path, Good, "the snapshot is damaged");
  this->Stored.Snapshot = std::move(Records.front());
  Records.erase(Records.begin());
  this->Stored.Records = std::move(Records);
}

void LogStore::readSegment(std::uint64_t Number, bool Last) {
  Disk &Files = *this->Options.Files;
  std::filesystem::path Path = this->segment(Number);
  if (!Files.exists(Path))
    throw DamageError(Path, 0, "the segment is missing");
  std::string Content = Files.read(Path);
  std::uint64_t Good = decodeAll(Content, this->Stored.Records);
  if (Good < Content.size()) {
    if (!Last || durableOnce(Content, Good))
      throw DamageError(Path, Good, "a record is damaged");
    Files.truncate(Path, Good);
  }
  if (!Last)
    return;
  this->Current = Number;
  this->File = Files.open(Path);
  // The last life may have ended before its last writes were synced.
  this->File->sync();
  this->Length = Good;
  this->Durable = Good;
}

void LogStore::beginSegment(std::uint64_t Number) {
  this->Current = Number;
  this->File = this->Options.Files->open(this->segment(Number));
  this->Options.Files->syncFolder(this->Options.Folder);
  this->Length = 0;
  this->Durable = 0;
}

void LogStore::append(std::string_view Record) {
  this->guarded([&] {
    if (this->Length >= this->Options.SegmentBytes) {
      // Only the last segment may end in a torn record.
      this->flush();
      this->beginSegment(this->Current + 1);
    }
    std::size_t Before = this->Pending.size();
    encodeRecord(this->Pending, Record, this->Durable);
    this->Length += this->Pending.size() - Before;
  });
}

void LogStore::flush() {
  if (!this->Pending.empty())
    this->File->append(this->Pending);
  this->Pending.clear();
  if (this->Durable == this->Length)
    return;
  this->File->sync();
  this->Durable = this->Length;
}

void LogStore::sync() {
  this->guarded([&] { this->flush(); });
}

void LogStore::replace(std::string_view Snapshot,
                       std::span<const std::string> Carried) {
  this->guarded([&] {
    this->flush();
    Disk &Files = *this->Options.Files;
    std::uint64_t Old = this->Current;
    std::uint64_t Next = Old + 1;
    std::string Content;
    encodeRecord(Content, Snapshot, 0);
    for (const std::string &Record : Carried)
      encodeRecord(Content, Record, 0);
    // Its name becomes durable together with that of the snapshot.
    this->File = Files.open(this->segment(Next));
    this->Current = Next;
    this->Length = 0;
    this->Durable = 0;
    writeAside(Files, this->snapshot(Next), Content);
    // If the removals are lost in a crash, the next snapshot repeats them.
    for (const std::string &Name : Files.list(this->Options.Folder)) {
      std::optional<std::uint64_t> Number = numberOf(Name, SegmentPrefix);
      if (!Number)
        Number = numberOf(Name, SnapshotPrefix);
      if (Number && *Number <= Old)
        Files.remove(this->Options.Folder / Name);
    }
  });
}

} // namespace carobhinge
