//===- LibLedger/Ledger.cpp - At-most-once records of calls ---------------===//
///
/// \file
/// The commands of the ledger. LedgerSnapshot.cpp implements snapshots.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/Ledger.h>

#include <LibCore/Hash.h>
#include <cassert>

namespace carobhinge {

using message::LedgerReply;
using message::LedgerStanding;

std::uint32_t ledgerShard(const message::LedgerKey &Key,
                          std::uint32_t ShardCount) {
  assert(ShardCount > 0);
  std::string Text = Key.workspace();
  Text += '\0';
  Text += Key.service();
  Text += '\0';
  Text += Key.key();
  return hash64(Text) % ShardCount;
}

static LedgerReply makeReply(LedgerStanding Status, std::uint64_t Index) {
  LedgerReply Reply;
  Reply.set_standing(Status);
  Reply.set_index(Index);
  return Reply;
}

static LedgerReply makeRefusedReply(message::LedgerKeyRefusal Refusal,
                                    std::uint64_t Index) {
  LedgerReply Reply = makeReply(message::LEDGER_KEY_REFUSED, Index);
  Reply.set_refusal(Refusal);
  return Reply;
}

/// Keys without a date are stored under day zero.
static DayNumber dayBucket(const message::LedgerKey &Key) {
  return dayOfKey(Key.key()).value_or(0);
}

template <typename RecordType>
static bool isHeldBy(const RecordType &Entry,
                     const message::LedgerAttempt &Request) {
  return Entry.Host == Request.host() &&
         Entry.HostIncarnation == Request.incarnation() &&
         Entry.Attempt == Request.attempt();
}

/// The reply to an attempt that does not hold the record.
template <typename RecordType>
static LedgerReply replyFromRecord(const RecordType &Entry,
                                   std::string_view ContentDigest,
                                   std::uint64_t Index) {
  if (Entry.ContentDigest != ContentDigest)
    return makeReply(message::LEDGER_CONFLICT, Index);
  LedgerReply Reply = makeReply(message::LEDGER_CLAIMED, Index);
  Reply.mutable_holder()->set_host(Entry.Host);
  Reply.mutable_holder()->set_incarnation(Entry.HostIncarnation);
  Reply.mutable_holder()->set_attempt(Entry.Attempt);
  Reply.set_endpoint(Entry.Endpoint);
  if (!Entry.Outcome)
    return Reply;
  bool Answered = Entry.Outcome->answered();
  Reply.set_standing(Answered ? message::LEDGER_ANSWERED
                              : message::LEDGER_UNKNOWN);
  *Reply.mutable_outcome() = *Entry.Outcome;
  return Reply;
}

Ledger::Ledger(LedgerLimits Limits) : Limits(Limits) {}

std::string Ledger::apply(std::uint64_t Index, std::int64_t StampMs,
                          std::string_view Command) {
  message::LedgerCommand Decoded;
  LedgerReply Reply = makeReply(message::LEDGER_MALFORMED, Index);
  if (!Decoded.ParseFromArray(Command.data(), static_cast<int>(Command.size())))
    return Reply.SerializeAsString();
  switch (Decoded.command_case()) {
  case message::LedgerCommand::kClaim:
    Reply = this->claim(Index, StampMs, Decoded.claim());
    break;
  case message::LedgerCommand::kRelease:
    Reply = this->release(Index, Decoded.release());
    break;
  case message::LedgerCommand::kRecord:
    Reply = this->recordOutcome(Index, Decoded.record());
    break;
  case message::LedgerCommand::kClose:
    Reply = this->close(Index, Decoded.close());
    break;
  case message::LedgerCommand::kRetire:
    Reply = this->retire(Index, Decoded.retire());
    break;
  case message::LedgerCommand::kPrune:
    Reply = this->prune(Index, StampMs, Decoded.prune());
    break;
  case message::LedgerCommand::COMMAND_NOT_SET:
    break;
  }
  return Reply.SerializeAsString();
}

LedgerReply Ledger::open(const message::LedgerKey &Key,
                         std::string_view ContentDigest,
                         std::uint64_t AppliedIndex) const {
  if (const Record *Entry = this->find(Key))
    return replyFromRecord(*Entry, ContentDigest, AppliedIndex);
  if (this->mayBePruned(Key))
    return makeRefusedReply(message::LEDGER_KEY_TOO_OLD, AppliedIndex);
  return makeReply(message::LEDGER_FREE, AppliedIndex);
}

LedgerReply Ledger::claim(std::uint64_t Index, std::int64_t StampMs,
                          const message::LedgerClaim &Request) {
  const message::LedgerAttempt &Attempt = Request.attempt();
  if (Record *Entry = this->find(Request.key())) {
    if (!Entry->Outcome && isHeldBy(*Entry, Attempt))
      return renewClaim(Index, *Entry, Request);
    LedgerReply Reply =
        replyFromRecord(*Entry, Request.content_digest(), Index);
    Reply.set_dispatch(Request.dispatch());
    return Reply;
  }
  LedgerReply Reply = makeReply(message::LEDGER_GRANTED, Index);
  Reply.set_dispatch(Request.dispatch());
  auto Newest = this->Incarnations.find(Attempt.host());
  bool Retired = Newest != this->Incarnations.end() &&
                 Attempt.incarnation() < Newest->second;
  Reply.set_refusal(this->findKeyRefusal(Request, StampMs));
  if (Retired)
    Reply.set_standing(message::LEDGER_RETIRED);
  else if (Reply.refusal() != message::LEDGER_KEY_ACCEPTED)
    Reply.set_standing(message::LEDGER_KEY_REFUSED);
  else if (!this->isTicketValid(Request))
    Reply.set_standing(message::LEDGER_TICKET_REFUSED);
  else
    this->insert(Request.key(), {.ContentDigest = Request.content_digest(),
                                 .Rule = Request.rule(),
                                 .Host = Attempt.host(),
                                 .HostIncarnation = Attempt.incarnation(),
                                 .Attempt = Attempt.attempt(),
                                 .Dispatch = Request.dispatch(),
                                 .Endpoint = Request.endpoint(),
                                 .Outcome = std::nullopt});
  return Reply;
}

LedgerReply Ledger::renewClaim(std::uint64_t Index, Record &Entry,
                               const message::LedgerClaim &Request) {
  // A late copy of an earlier claim must not overwrite a newer one.
  bool IsLate = Request.dispatch() < Entry.Dispatch;
  LedgerReply Reply = makeReply(
      IsLate ? message::LEDGER_CLAIMED : message::LEDGER_GRANTED, Index);
  Reply.set_dispatch(Request.dispatch());
  if (IsLate)
    return Reply;
  Entry.Dispatch = Request.dispatch();
  Entry.Endpoint = Request.endpoint();
  return Reply;
}

LedgerReply Ledger::release(std::uint64_t Index,
                            const message::LedgerRelease &Request) {
  Record *Entry = this->find(Request.key());
  // The dispatch number prevents a late copy of a release from removing a newer
  // claim of the same attempt, under which bytes may have been written.
  if (Entry && !Entry->Outcome && isHeldBy(*Entry, Request.attempt()) &&
      Entry->Dispatch == Request.dispatch())
    this->erase(Request.key());
  return makeReply(message::LEDGER_DONE, Index);
}

LedgerReply Ledger::recordOutcome(std::uint64_t Index,
                                  const message::LedgerRecordOutcome &Request) {
  Record *Entry = this->find(Request.key());
  if (!Entry || !isHeldBy(*Entry, Request.attempt()))
    return makeReply(message::LEDGER_DONE, Index);
  if (Entry->Outcome && Entry->Outcome->answered())
    return makeReply(message::LEDGER_DONE, Index);
  this->InFlight.erase({Entry->Host,
                        {Request.key().service(),
                         {Request.key().workspace(), Request.key().key()}}});
  Entry->Outcome = Request.outcome();
  std::size_t Bytes = Request.outcome().body().size();
  if (Bytes > this->Limits.BodyBytes ||
      this->StoredBodyBytes + Bytes > this->Limits.BodyTotalBytes)
    Entry->Outcome->clear_body();
  this->StoredBodyBytes += Entry->Outcome->body().size();
  return makeReply(message::LEDGER_DONE, Index);
}

LedgerReply Ledger::close(std::uint64_t Index,
                          const message::LedgerClose &Request) {
  Record *Entry = this->find(Request.key());
  // An attempt closes only while it has written no byte, so its own claim,
  // whose reply it may not have received, is removed too.
  if (Entry && !Entry->Outcome && isHeldBy(*Entry, Request.attempt())) {
    this->erase(Request.key());
    Entry = nullptr;
  }
  if (Entry && Entry->Outcome)
    return replyFromRecord(*Entry, Request.content_digest(), Index);
  if (!Entry && this->mayBePruned(Request.key()))
    return makeRefusedReply(message::LEDGER_KEY_TOO_OLD, Index);
  this->markClosed(Index, Request.key());
  if (Entry)
    return replyFromRecord(*Entry, Request.content_digest(), Index);
  return makeReply(message::LEDGER_CLOSED, Index);
}

LedgerReply Ledger::retire(std::uint64_t Index,
                           const message::LedgerRetireIncarnation &Request) {
  Incarnation &Newest = this->Incarnations[Request.host()];
  Newest = std::max<Incarnation>(Newest, Request.incarnation());
  auto Each = this->InFlight.lower_bound({Request.host(), FullKey()});
  while (Each != this->InFlight.end() && Each->first == Request.host()) {
    message::LedgerKey Key;
    Key.set_service(Each->second.first);
    Key.set_workspace(Each->second.second.first);
    Key.set_key(Each->second.second.second);
    Record *Entry = this->find(Key);
    assert(Entry && !Entry->Outcome);
    if (Entry->HostIncarnation >= Newest) {
      ++Each;
      continue;
    }
    Entry->Outcome = message::LedgerOutcome();
    Each = this->InFlight.erase(Each);
  }
  LedgerReply Reply = makeReply(message::LEDGER_DONE, Index);
  Reply.set_incarnation(Newest);
  return Reply;
}

LedgerReply Ledger::prune(std::uint64_t Index, std::int64_t StampMs,
                          const message::LedgerPrune &Request) {
  ServiceRecords &Service = this->Services[Request.service()];
  DayNumber LastPrunedDay = dayOfTimestamp(StampMs) -
                            static_cast<DayNumber>(Request.retention_days()) -
                            1;
  Service.PrunedThrough = std::max(Service.PrunedThrough, LastPrunedDay);
  // Day zero holds the keys without a date, which are never pruned.
  for (auto Day = Service.Days.upper_bound(0);
       Day != Service.Days.end() && Day->first <= LastPrunedDay;) {
    for (auto Each = Day->second.begin(); Each != Day->second.end();) {
      if (Each->second.Rule == message::LEDGER_KEY_KEPT) {
        ++Each;
        continue;
      }
      this->InFlight.erase(
          {Each->second.Host, {Request.service(), Each->first}});
      if (Each->second.Outcome)
        this->StoredBodyBytes -= Each->second.Outcome->body().size();
      Each = Day->second.erase(Each);
      --this->RecordCount;
    }
    Day = Day->second.empty() ? Service.Days.erase(Day) : std::next(Day);
  }
  return makeReply(message::LEDGER_DONE, Index);
}

const Ledger::Record *Ledger::find(const message::LedgerKey &Key) const {
  auto Service = this->Services.find(Key.service());
  if (Service == this->Services.end())
    return nullptr;
  auto Day = Service->second.Days.find(dayBucket(Key));
  if (Day == Service->second.Days.end())
    return nullptr;
  auto Found = Day->second.find({Key.workspace(), Key.key()});
  return Found == Day->second.end() ? nullptr : &Found->second;
}

Ledger::Record *Ledger::find(const message::LedgerKey &Key) {
  return const_cast<Record *>(std::as_const(*this).find(Key));
}

void Ledger::insert(const message::LedgerKey &Key, Record NewRecord) {
  ServiceRecords &Service = this->Services[Key.service()];
  Service.KeptRecordCount += NewRecord.Rule == message::LEDGER_KEY_KEPT ? 1 : 0;
  ++this->RecordCount;
  KeyInService Name{Key.workspace(), Key.key()};
  if (NewRecord.Outcome)
    this->StoredBodyBytes += NewRecord.Outcome->body().size();
  else
    this->InFlight.insert({NewRecord.Host, {Key.service(), Name}});
  bool Inserted = Service.Days[dayBucket(Key)]
                      .emplace(std::move(Name), std::move(NewRecord))
                      .second;
  assert(Inserted && "the key already has a record");
  static_cast<void>(Inserted);
}

void Ledger::erase(const message::LedgerKey &Key) {
  ServiceRecords &Service = this->Services[Key.service()];
  auto Day = Service.Days.find(dayBucket(Key));
  auto Found = Day->second.find({Key.workspace(), Key.key()});
  Service.KeptRecordCount -=
      Found->second.Rule == message::LEDGER_KEY_KEPT ? 1 : 0;
  this->InFlight.erase({Found->second.Host, {Key.service(), Found->first}});
  Day->second.erase(Found);
  if (Day->second.empty())
    Service.Days.erase(Day);
  --this->RecordCount;
}

void Ledger::markClosed(std::uint64_t Index, const message::LedgerKey &Key) {
  FullKey Name{Key.service(), {Key.workspace(), Key.key()}};
  auto [Mark, IsNew] = this->Closed.emplace(Name, Index);
  if (!IsNew) {
    this->ClosedByIndex.erase(Mark->second);
    Mark->second = Index;
  }
  this->ClosedByIndex.emplace(Index, std::move(Name));
  if (this->Closed.size() <= this->Limits.ClosedMarks)
    return;
  auto Oldest = this->ClosedByIndex.begin();
  this->Horizon = Oldest->first;
  this->Closed.erase(Oldest->second);
  this->ClosedByIndex.erase(Oldest);
}

bool Ledger::mayBePruned(const message::LedgerKey &Key) const {
  auto Day = dayOfKey(Key.key());
  auto Service = this->Services.find(Key.service());
  return Day && Service != this->Services.end() &&
         *Day <= Service->second.PrunedThrough;
}

bool Ledger::isTicketValid(const message::LedgerClaim &Request) const {
  if (Request.ticket() < this->Horizon)
    return false;
  const message::LedgerKey &Key = Request.key();
  auto Mark = this->Closed.find({Key.service(), {Key.workspace(), Key.key()}});
  return Mark == this->Closed.end() || Request.ticket() >= Mark->second;
}

message::LedgerKeyRefusal
Ledger::findKeyRefusal(const message::LedgerClaim &Request,
                       std::int64_t StampMs) const {
  if (Request.key().key().size() > this->Limits.KeyBytes)
    return message::LEDGER_KEY_TOO_LONG;
  if (this->mayBePruned(Request.key()))
    return message::LEDGER_KEY_TOO_OLD;
  auto Day = dayOfKey(Request.key().key());
  DayNumber Today = dayOfTimestamp(StampMs);
  if (Request.rule() == message::LEDGER_KEY_DATED) {
    if (!Day)
      return message::LEDGER_KEY_NOT_DATED;
    if (*Day + static_cast<DayNumber>(Request.retention_days()) < Today)
      return message::LEDGER_KEY_TOO_OLD;
    if (*Day > Today + 1)
      return message::LEDGER_KEY_TOO_NEW;
  }
  auto Service = this->Services.find(Request.key().service());
  std::size_t KeptCount =
      Service == this->Services.end() ? 0 : Service->second.KeptRecordCount;
  bool KeptFull = Request.rule() == message::LEDGER_KEY_KEPT &&
                  KeptCount >= this->Limits.KeptRecords;
  if (KeptFull || this->RecordCount >= this->Limits.Records)
    return message::LEDGER_KEY_NO_ROOM;
  return message::LEDGER_KEY_ACCEPTED;
}

} // namespace carobhinge
