//===- LibConsensus/ReplicaStore.h - A replica's state in files -----------===//
///
/// \file
/// Persists a replica's records and snapshots in a LogStore and loads them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICASTORE_H
#define LIBCONSENSUS_REPLICASTORE_H

#include <LibConsensus/Replica.h>
#include <LibStore/LogStore.h>
#include <span>

namespace carobhinge {

class ReplicaStore {
public:
  /// \throws DiskError, CorruptionError
  explicit ReplicaStore(LogStoreOptions Options);

  /// Moves out the state found when the files were opened; call only once.
  StoredReplica takeStored();

  /// \p Record is durable only after sync(). \throws DiskError
  void append(const message::StoredRecord &Record);
  void sync() { this->Store.sync(); }

  /// Durably replaces all stored data with \p Snapshot and \p RetainedRecords.
  void replace(const message::StoredSnapshot &Snapshot,
               std::span<const message::StoredRecord> RetainedRecords);

private:
  std::filesystem::path Folder;
  LogStore Store;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICASTORE_H
