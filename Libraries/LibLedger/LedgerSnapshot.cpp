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

std::string Ledger::snapshot() const {
  message::LedgerSnapshot Out;
  for (const auto &[Service, Records] : this->Services) {
    if (Records.ForgottenThrough != INT64_MIN)
      (*Out.mutable_forgotten_through())[Service] = Records.ForgottenThrough;
    for (const auto &[Day, ByName] : Records.Days) {
      for (const auto &[Name, Held] : ByName) {
        message::LedgerSnapshotRecord &Each = *Out.add_records();
        writeKey(*Each.mutable_key(), Service, Name);
        Each.set_content_digest(Held.ContentDigest);
        Each.set_rule(Held.Rule);
        Each.mutable_holder()->set_host(Held.Host);
        Each.mutable_holder()->set_incarnation(Held.Life);
        Each.mutable_holder()->set_attempt(Held.Attempt);
        Each.set_dispatch(Held.Dispatch);
        Each.set_endpoint(Held.Endpoint);
        if (Held.Outcome)
          *Each.mutable_outcome() = *Held.Outcome;
      }
    }
  }
  for (const auto &[Index, Name] : this->ClosedByIndex) {
    message::LedgerSnapshotClosed &Each = *Out.add_closed();
    writeKey(*Each.mutable_key(), Name.first, Name.second);
    Each.set_index(Index);
  }
  Out.set_horizon(this->Horizon);
  for (const auto &[Host, Newest] : this->Incarnations)
    (*Out.mutable_incarnations())[Host] = Newest;
  std::string Bytes;
  google::protobuf::io::StringOutputStream Stream(&Bytes);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  // Without this, protobuf may write map entries in any order.
  Coded.SetSerializationDeterministic(true);
  Out.SerializeToCodedStream(&Coded);
  Coded.Trim();
  return Bytes;
}

void Ledger::restore(std::string_view Snapshot) {
  message::LedgerSnapshot In;
  if (!In.ParseFromArray(Snapshot.data(), static_cast<int>(Snapshot.size())))
    throw std::runtime_error("ledger snapshot cannot be decoded");
  Ledger Fresh(this->Limits);
  for (const message::LedgerSnapshotRecord &Each : In.records()) {
    Record Held{.ContentDigest = Each.content_digest(),
                .Rule = Each.rule(),
                .Host = Each.holder().host(),
                .Life = Each.holder().incarnation(),
                .Attempt = Each.holder().attempt(),
                .Dispatch = Each.dispatch(),
                .Endpoint = Each.endpoint(),
                .Outcome = std::nullopt};
    if (Each.has_outcome())
      Held.Outcome = Each.outcome();
    Fresh.insert(Each.key(), std::move(Held));
  }
  for (const message::LedgerSnapshotClosed &Each : In.closed())
    Fresh.markClosed(Each.index(), Each.key());
  Fresh.Horizon = In.horizon();
  for (const auto &[Host, Newest] : In.incarnations())
    Fresh.Incarnations[Host] = Newest;
  for (const auto &[Service, Through] : In.forgotten_through())
    Fresh.Services[Service].ForgottenThrough = Through;
  *this = std::move(Fresh);
}

} // namespace carobhinge
