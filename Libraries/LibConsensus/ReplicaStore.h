//===- LibConsensus/ReplicaStore.h - A replica's state in files -----------===//
///
/// \file
/// Writes what a replica wants persisted into a LogStore and reads it back.
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
  /// \throws DiskError, DamageError
  explicit ReplicaStore(LogStoreOptions Options);

  /// What opening found; valid once.
  StoredReplica takeStored();

  /// Durable after sync() only. \throws DiskError
  void append(const message::StoredRecord &Record);
  void sync() { this->Store.sync(); }

  /// Replaces everything by \p Snapshot and \p Carried, durably.
  void replace(const message::StoredSnapshot &Snapshot,
               std::span<const message::StoredRecord> Carried);

private:
  std::filesystem::path Folder;
  LogStore Store;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICASTORE_H
