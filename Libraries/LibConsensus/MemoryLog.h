//===- LibConsensus/MemoryLog.h - The in-memory part of the log -----------===//
///
/// \file
/// The newest entries of the log and the configurations they contain. As in
/// Raft, a configuration takes effect as soon as its entry is in the log, and
/// is reverted if that entry is overwritten.
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
  /// Sets the initial voters. \pre The log is empty.
  void setInitialConfiguration(const message::Configuration &Configuration);

  /// Replaces the log with an empty one that starts after \p Snapshot.
  void reset(const message::StoredSnapshot &Snapshot);

  /// Truncates the log before the index of \p Entry and appends it.
  void truncateAndAppend(message::Entry Entry);

  /// Discards entries up to and including \p Index.
  void compact(std::uint64_t Index);

  /// Index of the first entry held; lastIndex() + 1 if none.
  [[nodiscard]] std::uint64_t firstIndex() const { return this->BaseIndex + 1; }
  [[nodiscard]] std::uint64_t lastIndex() const {
    return this->BaseIndex + this->Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const {
    return this->term(this->lastIndex());
  }
  [[nodiscard]] std::int64_t lastStamp() const;

  /// \returns whether term() may be called for \p Index.
  [[nodiscard]] bool hasTerm(std::uint64_t Index) const {
    return Index >= this->BaseIndex && Index <= this->lastIndex();
  }
  [[nodiscard]] std::uint64_t term(std::uint64_t Index) const;
  [[nodiscard]] const message::Entry &entry(std::uint64_t Index) const;

  /// The configuration in effect at the end of the log.
  [[nodiscard]] const message::Configuration &configuration() const;
  /// The index of the entry that holds configuration().
  [[nodiscard]] std::uint64_t configurationIndex() const;
  [[nodiscard]] const message::Configuration &
  configurationAt(std::uint64_t Index) const;

private:
  /// Entries[I] has index BaseIndex + 1 + I.
  std::deque<message::Entry> Entries;
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::int64_t BaseStamp = 0;
  /// Keyed by the index of their entries. Never empty; the first index is at
  /// most BaseIndex.
  std::map<std::uint64_t, message::Configuration> Configurations{{0, {}}};
};

} // namespace carobhinge

#endif // LIBCONSENSUS_MEMORYLOG_H
