//===- LibStore/LogStore.cpp - Records and snapshots in files -------------===//
///
/// \file
/// Opens, recovers, appends to and compacts a log.
///
//===----------------------------------------------------------------------===//

#include <LibStore/LogStore.h>
#include <LibStore/RecordCodec.h>
#include <cassert>
#include <cstdio>
#include <utility>

namespace carobhinge {

static constexpr std::string_view SegmentPrefix = "segment-";
static constexpr std::string_view SnapshotPrefix = "snapshot-";

/// Digits of a file number, padded so that names sort in numeric order.
static constexpr int NumberDigits = 16;

CorruptionError::CorruptionError(std::filesystem::path File,
                                 std::uint64_t Offset,
                                 std::string_view Description)
    : std::runtime_error(File.string() + " at byte " + std::to_string(Offset) +
                         ": " + std::string(Description)),
      File(std::move(File)), Offset(Offset) {}

static std::string numberedName(std::string_view Prefix, std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  Digits.insert(0, NumberDigits - Digits.size(), '0');
  return std::string(Prefix) + Digits;
}

/// Returns the number in \p Name if it is \p Prefix followed by a number.
static std::optional<std::uint64_t> parseNumber(std::string_view Name,
                                                std::string_view Prefix) {
  if (!Name.starts_with(Prefix) || Name.size() != Prefix.size() + NumberDigits)
    return std::nullopt;
  return std::stoull(std::string(Name.substr(Prefix.size())));
}

/// Adds the intact records at the front of \p Content to \p Records.
/// Returns the offset of the first invalid record.
static std::uint64_t decodeAll(std::string_view Content,
                               std::vector<std::string> &Records) {
  std::uint64_t ValidBytes = 0;
  while (auto Record = decodeRecord(Content.substr(ValidBytes))) {
    Records.emplace_back(Record->Payload);
    ValidBytes += Record->Size;
  }
  return ValidBytes;
}

/// Returns true if a later record was written after the byte at
/// \p InvalidOffset had become durable.
static bool wasDurable(std::string_view Content, std::uint64_t InvalidOffset) {
  for (std::uint64_t Offset = InvalidOffset + 1; Offset < Content.size();
       ++Offset) {
    std::optional<DecodedRecord> Record = decodeRecord(Content.substr(Offset));
    if (Record && Record->DurableLength > InvalidOffset)
      return true;
  }
  return false;
}

LogStore::LogStore(LogStoreOptions Options) : Options(std::move(Options)) {
  assert(this->Options.Files != nullptr);
  this->open();
}

std::filesystem::path LogStore::segment(std::uint64_t Number) const {
  return this->Options.Folder / numberedName(SegmentPrefix, Number);
}

std::filesystem::path LogStore::snapshot(std::uint64_t Number) const {
  return this->Options.Folder / numberedName(SnapshotPrefix, Number);
}

template <typename Callable> void LogStore::runFailStop(Callable Operation) {
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
    if (Name.ends_with(TemporarySuffix))
      Files.remove(this->Options.Folder / Name);
    else if (auto Number = parseNumber(Name, SnapshotPrefix))
      First = *Number;
    else if (auto Number = parseNumber(Name, SegmentPrefix))
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
  std::uint64_t ValidBytes = decodeAll(Content, Records);
  if (Records.empty() || ValidBytes < Content.size())
    throw CorruptionError(Path, ValidBytes, "the snapshot is corrupt");
  this->InitialLog.Snapshot = std::move(Records.front());
  Records.erase(Records.begin());
  this->InitialLog.Records = std::move(Records);
}

void LogStore::readSegment(std::uint64_t Number, bool Last) {
  Disk &Files = *this->Options.Files;
  std::filesystem::path Path = this->segment(Number);
  if (!Files.exists(Path))
    throw CorruptionError(Path, 0, "the segment is missing");
  std::string Content = Files.read(Path);
  std::uint64_t ValidBytes = decodeAll(Content, this->InitialLog.Records);
  if (ValidBytes < Content.size()) {
    if (!Last || wasDurable(Content, ValidBytes))
      throw CorruptionError(Path, ValidBytes, "a record is corrupt");
    Files.truncate(Path, ValidBytes);
  }
  if (!Last)
    return;
  this->CurrentSegment = Number;
  this->SegmentFile = Files.open(Path);
  // The previous process may have ended before its last writes were synced.
  this->SegmentFile->sync();
  this->SegmentLength = ValidBytes;
  this->DurableLength = ValidBytes;
}

void LogStore::beginSegment(std::uint64_t Number) {
  this->CurrentSegment = Number;
  this->SegmentFile = this->Options.Files->open(this->segment(Number));
  this->Options.Files->syncFolder(this->Options.Folder);
  this->SegmentLength = 0;
  this->DurableLength = 0;
}

void LogStore::append(std::string_view Record) {
  this->runFailStop([&] {
    if (this->SegmentLength >= this->Options.SegmentBytes) {
      // Opening accepts a torn record only in the last segment, so this one
      // must be durable before the next one exists.
      this->flush();
      this->beginSegment(this->CurrentSegment + 1);
    }
    std::size_t OldSize = this->PendingBytes.size();
    encodeRecord(this->PendingBytes, Record, this->DurableLength);
    this->SegmentLength += this->PendingBytes.size() - OldSize;
  });
}

void LogStore::flush() {
  if (!this->PendingBytes.empty())
    this->SegmentFile->append(this->PendingBytes);
  this->PendingBytes.clear();
  if (this->DurableLength == this->SegmentLength)
    return;
  this->SegmentFile->sync();
  this->DurableLength = this->SegmentLength;
}

void LogStore::sync() {
  this->runFailStop([&] { this->flush(); });
}

void LogStore::replace(std::string_view Snapshot,
                       std::span<const std::string> RetainedRecords) {
  this->runFailStop([&] {
    this->flush();
    Disk &Files = *this->Options.Files;
    std::uint64_t OldNumber = this->CurrentSegment;
    std::uint64_t NewNumber = OldNumber + 1;
    std::string Content;
    encodeRecord(Content, Snapshot, 0);
    for (const std::string &Record : RetainedRecords)
      encodeRecord(Content, Record, 0);
    // The folder sync in writeAtomically() makes the name of this file durable.
    this->SegmentFile = Files.open(this->segment(NewNumber));
    this->CurrentSegment = NewNumber;
    this->SegmentLength = 0;
    this->DurableLength = 0;
    writeAtomically(Files, this->snapshot(NewNumber), Content);
    // If a crash undoes the removals, the next snapshot repeats them.
    for (const std::string &Name : Files.list(this->Options.Folder)) {
      std::optional<std::uint64_t> Number = parseNumber(Name, SegmentPrefix);
      if (!Number)
        Number = parseNumber(Name, SnapshotPrefix);
      if (Number && *Number <= OldNumber)
        Files.remove(this->Options.Folder / Name);
    }
  });
}

} // namespace carobhinge
