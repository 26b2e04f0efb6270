//===- LibLedger/LedgerSnapshot.cpp - Serialization of the ledger ---------===//
///
/// \file
/// Records are written in the order of their maps, so that equal states yield
/// equal bytes on every replica.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/Ledger.h>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <optional>
#include <set>
#include <stdexcept>
#include <tuple>

namespace carobhinge {

static void writeKey(message::LedgerKey &Out, const ServiceName &Service,
                     const std::pair<WorkspaceName, std::string> &Name) {
  Out.set_service(Service);
  Out.set_workspace(Name.first);
  Out.set_key(Name.second);
}

/// Appends \p Part and clears it for reuse. Concatenated serialized messages
/// decode as their union, so the snapshot is never in memory twice. Not
/// suitable for maps, whose order protobuf does not specify.
static void append(std::string &Bytes, message::LedgerSnapshot &Part) {
  Part.AppendToString(&Bytes);
  Part.Clear();
}

/// Appends \p Part with the entries of its maps sorted by key.
static void appendOrdered(std::string &Bytes,
                          const message::LedgerSnapshot &Part) {
  google::protobuf::io::StringOutputStream Stream(&Bytes);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.SetSerializationDeterministic(true);
  Part.SerializeToCodedStream(&Coded);
  Coded.Trim();
}

void Ledger::writeRecord(message::LedgerSnapshotRecord &Out,
                         const Record &Entry) {
  Out.set_content_digest(Entry.ContentDigest);
  Out.set_rule(Entry.Rule);
  Out.mutable_holder()->set_host(Entry.Host);
  Out.mutable_holder()->set_incarnation(Entry.HostIncarnation);
  Out.mutable_holder()->set_attempt(Entry.Attempt);
  Out.set_dispatch(Entry.Dispatch);
  Out.set_endpoint(Entry.Endpoint);
  if (Entry.Outcome)
    *Out.mutable_outcome() = *Entry.Outcome;
}

Ledger::Record Ledger::readRecord(const message::LedgerSnapshotRecord &In) {
  Record Entry{.ContentDigest = In.content_digest(),
               .Rule = In.rule(),
               .Host = In.holder().host(),
               .HostIncarnation = In.holder().incarnation(),
               .Attempt = In.holder().attempt(),
               .Dispatch = In.dispatch(),
               .Endpoint = In.endpoint(),
               .Outcome = std::nullopt};
  if (In.has_outcome())
    Entry.Outcome = In.outcome();
  return Entry;
}

std::string Ledger::snapshot() const {
  std::string Bytes;
  message::LedgerSnapshot Part;
  for (const auto &[Service, Records] : this->Services) {
    for (const auto &[Day, ByName] : Records.Days)
      for (const auto &[Name, Entry] : ByName) {
        message::LedgerSnapshotRecord &Out = *Part.add_records();
        writeKey(*Out.mutable_key(), Service, Name);
        writeRecord(Out, Entry);
        append(Bytes, Part);
      }
  }
  for (const auto &[Index, Name] : this->ClosedByIndex) {
    message::LedgerSnapshotClosed &Out = *Part.add_closed();
    writeKey(*Out.mutable_key(), Name.first, Name.second);
    Out.set_index(Index);
    append(Bytes, Part);
  }
  Part.set_horizon(this->Horizon);
  for (const auto &[Host, Newest] : this->Incarnations)
    (*Part.mutable_incarnations())[Host] = Newest;
  for (const auto &[Service, Records] : this->Services)
    if (Records.PrunedThrough != INT64_MIN)
      (*Part.mutable_forgotten_through())[Service] = Records.PrunedThrough;
  appendOrdered(Bytes, Part);
  return Bytes;
}

/// \returns nothing if \p Snapshot cannot be decoded, or names a key twice.
static std::optional<message::LedgerSnapshot>
parseSnapshot(std::string_view Snapshot) {
  message::LedgerSnapshot In;
  if (!In.ParseFromArray(Snapshot.data(), static_cast<int>(Snapshot.size())))
    return std::nullopt;
  std::set<std::tuple<std::string_view, std::string_view, std::string_view>>
      Keys;
  for (const message::LedgerSnapshotRecord &Each : In.records())
    if (!Keys.emplace(Each.key().service(), Each.key().workspace(),
                      Each.key().key())
             .second)
      return std::nullopt;
  return In;
}

bool Ledger::canRestore(std::string_view Snapshot) const {
  return parseSnapshot(Snapshot).has_value();
}

void Ledger::restore(std::string_view Snapshot) {
  std::optional<message::LedgerSnapshot> Parsed = parseSnapshot(Snapshot);
  if (!Parsed)
    throw std::runtime_error("cannot decode the ledger snapshot");
  const message::LedgerSnapshot &In = *Parsed;
  this->Services.clear();
  this->RecordCount = 0;
  this->StoredBodyBytes = 0;
  this->InFlight.clear();
  this->Closed.clear();
  this->ClosedByIndex.clear();
  this->Incarnations.clear();
  for (const message::LedgerSnapshotRecord &Each : In.records())
    this->insert(Each.key(), readRecord(Each));
  for (const message::LedgerSnapshotClosed &Each : In.closed())
    this->markClosed(Each.index(), Each.key());
  this->Horizon = In.horizon();
  for (const auto &[Host, Newest] : In.incarnations())
    this->Incarnations[Host] = Newest;
  for (const auto &[Service, LastPrunedDay] : In.forgotten_through())
    this->Services[Service].PrunedThrough = LastPrunedDay;
}

} // namespace carobhinge
