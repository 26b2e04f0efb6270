//===- LibConsensus/ReplicaStore.cpp - A replica's state in files ---------===//

#include <LibConsensus/ReplicaStore.h>
#include <utility>

namespace carobhinge {

ReplicaStore::ReplicaStore(LogStoreOptions Options)
    : Folder(Options.Folder), Store(std::move(Options)) {}

StoredReplica ReplicaStore::takeStored() {
  StoredLog Log = this->Store.takeStored();
  StoredReplica Stored;
  std::uint64_t Base = 0;
  if (Log.Snapshot) {
    if (!Stored.Snapshot.emplace().ParseFromString(*Log.Snapshot))
      throw DamageError(this->Folder, 0, "the snapshot cannot be read");
    Base = Stored.Snapshot->index();
  }
  for (const std::string &Bytes : Log.Records) {
    message::StoredRecord Record;
    if (!Record.ParseFromString(Bytes))
      throw DamageError(this->Folder, 0, "a record cannot be read");
    if (Record.has_hard_state())
      Stored.Hard = std::move(*Record.mutable_hard_state());
    // Records from before the snapshot may still be there.
    if (!Record.has_entry() || Record.entry().index() <= Base)
      continue;
    std::uint64_t Place = Record.entry().index() - Base - 1;
    if (Place > Stored.Entries.size())
      throw DamageError(this->Folder, 0, "an entry is missing");
    Stored.Entries.resize(Place);
    Stored.Entries.push_back(std::move(*Record.mutable_entry()));
  }
  return Stored;
}

void ReplicaStore::append(const message::StoredRecord &Record) {
  this->Store.append(Record.SerializeAsString());
}

void ReplicaStore::replace(const message::StoredSnapshot &Snapshot,
                           std::span<const message::StoredRecord> Carried) {
  std::vector<std::string> Records;
  Records.reserve(Carried.size());
  for (const message::StoredRecord &Record : Carried)
    Records.push_back(Record.SerializeAsString());
  this->Store.replace(Snapshot.SerializeAsString(), Records);
}

} // namespace carobhinge
