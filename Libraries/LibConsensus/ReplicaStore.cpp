//===- LibConsensus/ReplicaStore.cpp - A replica's state in files ---------===//

#include <LibConsensus/ReplicaStore.h>
#include <utility>

namespace carobhinge {

ReplicaStore::ReplicaStore(LogStoreOptions Options)
    : Folder(Options.Folder), Store(std::move(Options)) {}

StoredReplica ReplicaStore::takeStored() {
  StoredLog Log = this->Store.takeStored();
  StoredReplica Stored;
  std::uint64_t BaseIndex = 0;
  if (Log.Snapshot) {
    if (!Stored.Snapshot.emplace().ParseFromString(*Log.Snapshot))
      throw CorruptionError(this->Folder, 0, "the snapshot cannot be read");
    BaseIndex = Stored.Snapshot->index();
  }
  for (const std::string &Bytes : Log.Records) {
    message::StoredRecord Record;
    if (!Record.ParseFromString(Bytes))
      throw CorruptionError(this->Folder, 0, "a record cannot be read");
    if (Record.has_hard_state())
      Stored.CurrentHardState = std::move(*Record.mutable_hard_state());
    // Entries that the snapshot already covers may still be stored.
    if (!Record.has_entry() || Record.entry().index() <= BaseIndex)
      continue;
    std::uint64_t Offset = Record.entry().index() - BaseIndex - 1;
    if (Offset > Stored.Entries.size())
      throw CorruptionError(this->Folder, 0, "an entry is missing");
    Stored.Entries.resize(Offset);
    Stored.Entries.push_back(std::move(*Record.mutable_entry()));
  }
  return Stored;
}

void ReplicaStore::append(const message::StoredRecord &Record) {
  this->Store.append(Record.SerializeAsString());
}

void ReplicaStore::replace(
    const message::StoredSnapshot &Snapshot,
    std::span<const message::StoredRecord> RetainedRecords) {
  std::vector<std::string> Records;
  Records.reserve(RetainedRecords.size());
  for (const message::StoredRecord &Record : RetainedRecords)
    Records.push_back(Record.SerializeAsString());
  this->Store.replace(Snapshot.SerializeAsString(), Records);
}

} // namespace carobhinge
