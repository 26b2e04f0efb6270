//===- LibConsensus/MemoryLog.h - The entries that a replica holds --------===//
///
/// \file
/// The end of the log in memory, and the configurations along it. A
/// configuration counts from the moment that its entry is in the log, and no
/// longer if the entry is replaced.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_MEMORYLOG_H
#define LIBCONSENSUS_MEMORYLOG_H

#include <LibConsensus/Consensus.pb.h>
#include <cstdint>
#include <deque>
#include <map>

namespace carobhinge {

class MemoryLog {
public:
  /// An empty log with the first voters, if they are known.
  void setFirst(const message::Configuration &Configuration);

  /// Begins anew behind a snapshot.
  void reset(const message::StoredSnapshot &Snapshot);

  /// Puts \p Entry at its index and drops what stood there and behind.
  void put(message::Entry Entry);

  /// Forgets entries up to \p Index.
  void forget(std::uint64_t Index);

  /// Index of the first entry held; lastIndex() + 1 if none.
  [[nodiscard]] std::uint64_t firstIndex() const { return this->Base + 1; }
  [[nodiscard]] std::uint64_t lastIndex() const {
    return this->Base + this->Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const {
    return this->term(this->lastIndex());
  }
  [[nodiscard]] std::int64_t lastStamp() const;

  /// Whether term() can tell the term of \p Index.
  [[nodiscard]] bool knows(std::uint64_t Index) const {
    return Index >= this->Base && Index <= this->lastIndex();
  }
  [[nodiscard]] std::uint64_t term(std::uint64_t Index) const;
  [[nodiscard]] const message::Entry &entry(std::uint64_t Index) const;

  /// The configuration in force at the end of the log.
  [[nodiscard]] const message::Configuration &configuration() const;
  /// The index of the entry that it stands in.
  [[nodiscard]] std::uint64_t configurationIndex() const;
  [[nodiscard]] const message::Configuration &
  configurationAt(std::uint64_t Index) const;

private:
  /// Entries[I] has index Base + 1 + I.
  std::deque<message::Entry> Entries;
  std::uint64_t Base = 0;
  std::uint64_t BaseTerm = 0;
  std::int64_t BaseStamp = 0;
  /// By the index of their entries. Never empty; the first one stands at or
  /// below Base.
  std::map<std::uint64_t, message::Configuration> Configurations{{0, {}}};
};

} // namespace carobhinge

#endif // LIBCONSENSUS_MEMORYLOG_H
