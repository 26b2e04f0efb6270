//===- LibConsensus/MemoryLog.cpp - The in-memory part of the log ---------===//

#include <LibConsensus/MemoryLog.h>
#include <cassert>
#include <iterator>
#include <utility>

namespace carobhinge {

void MemoryLog::setInitialConfiguration(
    const message::Configuration &Configuration) {
  assert(this->lastIndex() == 0);
  this->Configurations = {{0, Configuration}};
}

void MemoryLog::reset(const message::StoredSnapshot &Snapshot) {
  this->Entries.clear();
  this->BaseIndex = Snapshot.index();
  this->BaseTerm = Snapshot.term();
  this->BaseStamp = Snapshot.stamp_ms();
  this->Configurations = {{Snapshot.index(), Snapshot.configuration()}};
}

void MemoryLog::truncateAndAppend(message::Entry Entry) {
  std::uint64_t Index = Entry.index();
  assert(Index > this->BaseIndex && Index <= this->lastIndex() + 1);
  this->Entries.resize(Index - this->BaseIndex - 1);
  this->Configurations.erase(this->Configurations.lower_bound(Index),
                             this->Configurations.end());
  if (Entry.has_configuration())
    this->Configurations[Index] = Entry.configuration();
  this->Entries.push_back(std::move(Entry));
}

void MemoryLog::compact(std::uint64_t Index) {
  if (Index <= this->BaseIndex)
    return;
  assert(Index <= this->lastIndex());
  const message::Entry &Last = this->entry(Index);
  this->BaseTerm = Last.term();
  this->BaseStamp = Last.stamp_ms();
  auto Count = static_cast<std::ptrdiff_t>(Index - this->BaseIndex);
  this->Entries.erase(this->Entries.begin(), this->Entries.begin() + Count);
  this->BaseIndex = Index;
  auto FirstAbove = this->Configurations.upper_bound(Index);
  this->Configurations.erase(this->Configurations.begin(),
                             std::prev(FirstAbove));
}

std::int64_t MemoryLog::lastStamp() const {
  return this->Entries.empty() ? this->BaseStamp
                               : this->Entries.back().stamp_ms();
}

std::uint64_t MemoryLog::term(std::uint64_t Index) const {
  assert(this->hasTerm(Index));
  return Index == this->BaseIndex ? this->BaseTerm : this->entry(Index).term();
}

const message::Entry &MemoryLog::entry(std::uint64_t Index) const {
  assert(Index > this->BaseIndex && Index <= this->lastIndex());
  return this->Entries[Index - this->BaseIndex - 1];
}

const message::Configuration &MemoryLog::configuration() const {
  return this->Configurations.rbegin()->second;
}

std::uint64_t MemoryLog::configurationIndex() const {
  return this->Configurations.rbegin()->first;
}

const message::Configuration &
MemoryLog::configurationAt(std::uint64_t Index) const {
  auto FirstAbove = this->Configurations.upper_bound(Index);
  assert(FirstAbove != this->Configurations.begin());
  return std::prev(FirstAbove)->second;
}

} // namespace carobhinge
