//===- LibLedger/LedgerSnapshot.cpp - The ledger's whole state as bytes ---===//
///
/// \file
/// Records are written in the order of their maps, so that equal states give
/// equal bytes on every replica.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/Ledger.h>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <stdexcept>

namespace carobhinge {

static void writeKey(message::LedgerKey &Out, const ServiceName &Service,
                     const std::pair<WorkspaceName, std::string> &Name) {
  Out.set_service(Service);
  Out.set_workspace(Name.first);
  Out.set_key(Name.second);
}

/// Appends \p Part and empties it for the next one. Serialized messages that
/// stand one after the other decode as their union, so a snapshot is never held
/// twice. Not for maps, whose order protobuf leaves open.
static void append(std::string &Bytes, message::LedgerSnapshot &Part) {
  Part.AppendToString(&Bytes);
  Part.Clear();
}

/// Appends \p Part with the entries of its maps in order.
static void appendOrdered(std::string &Bytes,
                          const message::LedgerSnapshot &Part) {
  google::protobuf::io::StringOutputStream Stream(&Bytes);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.SetSerializationDeterministic(true);
  Part.SerializeToCodedStream(&Coded);
  Coded.Trim();
}

void Ledger::writeRecord(message::LedgerSnapshotRecord &Out,
                         const Record &Held) {
  Out.set_content_digest(Held.ContentDigest);
  Out.set_rule(Held.Rule);
  Out.mutable_holder()->set_host(Held.Host);
  Out.mutable_holder()->set_incarnation(Held.Life);
  Out.mutable_holder()->set_attempt(Held.Attempt);
  Out.set_dispatch(Held.Dispatch);
  Out.set_endpoint(Held.Endpoint);
  if (Held.Outcome)
    *Out.mutable_outcome() = *Held.Outcome;
}

Ledger::Record Ledger::readRecord(const message::LedgerSnapshotRecord &In) {
  Record Held{.ContentDigest = In.content_digest(),
              .Rule = In.rule(),
              .Host = In.holder().host(),
              .Life = In.holder().incarnation(),
              .Attempt = In.holder().attempt(),
              .Dispatch = In.dispatch(),
              .Endpoint = In.endpoint(),
              .Outcome = std::nullopt};
  if (In.has_outcome())
    Held.Outcome = In.outcome();
  return Held;
}

std::string Ledger::snapshot() const {
  std::string Bytes;
  message::LedgerSnapshot Part;
  for (const auto &[Service, Records] : this->Services) {
    for (const auto &[Day, ByName] : Records.Days)
      for (const auto &[Name, Held] : ByName) {
        message::LedgerSnapshotRecord &Out = *Part.add_records();
        writeKey(*Out.mutable_key(), Service, Name);
        writeRecord(Out, Held);
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
    if (Records.ForgottenThrough != INT64_MIN)
      (*Part.mutable_forgotten_through())[Service] = Records.ForgottenThrough;
  appendOrdered(Bytes, Part);
  return Bytes;
}

void Ledger::restore(std::string_view Snapshot) {
  message::LedgerSnapshot In;
  if (!In.ParseFromArray(Snapshot.data(), static_cast<int>(Snapshot.size())))
    throw std::runtime_error("ledger snapshot cannot be decoded");
  this->Services.clear();
  this->RecordCount = 0;
  this->BodyTotal = 0;
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
  for (const auto &[Service, Through] : In.forgotten_through())
    this->Services[Service].ForgottenThrough = Through;
}

} // namespace carobhinge
