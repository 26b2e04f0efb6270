//===- LibLedger/Ledger.cpp - At-most-once records of calls ---------------===//
///
/// \file
/// The commands of the ledger. Snapshots stand in LedgerSnapshot.cpp.
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

static LedgerReply replyOf(LedgerStanding Standing, std::uint64_t Index) {
  LedgerReply Reply;
  Reply.set_standing(Standing);
  Reply.set_index(Index);
  return Reply;
}

static LedgerReply refusedReply(message::LedgerKeyRefusal Refusal,
                                std::uint64_t Index) {
  LedgerReply Reply = replyOf(message::LEDGER_KEY_REFUSED, Index);
  Reply.set_refusal(Refusal);
  return Reply;
}

/// Keys without a date stand under day zero.
static DayNumber bucketOf(const message::LedgerKey &Key) {
  return dayOfKey(Key.key()).value_or(0);
}

template <typename RecordType>
static bool holds(const RecordType &Held, const message::LedgerAttempt &Asked) {
  return Held.Host == Asked.host() && Held.Life == Asked.incarnation() &&
         Held.Attempt == Asked.attempt();
}

/// What a record tells an attempt that does not hold it.
template <typename RecordType>
static LedgerReply standingOf(const RecordType &Held,
                              std::string_view ContentDigest,
                              std::uint64_t Index) {
  if (Held.ContentDigest != ContentDigest)
    return replyOf(message::LEDGER_CONFLICT, Index);
  LedgerReply Reply = replyOf(message::LEDGER_CLAIMED, Index);
  Reply.mutable_holder()->set_host(Held.Host);
  Reply.mutable_holder()->set_incarnation(Held.Life);
  Reply.mutable_holder()->set_attempt(Held.Attempt);
  Reply.set_endpoint(Held.Endpoint);
  if (!Held.Outcome)
    return Reply;
  bool Answered = Held.Outcome->answered();
  Reply.set_standing(Answered ? message::LEDGER_ANSWERED
                              : message::LEDGER_UNKNOWN);
  *Reply.mutable_outcome() = *Held.Outcome;
  return Reply;
}

Ledger::Ledger(LedgerLimits Limits) : Limits(Limits) {}

std::string Ledger::apply(std::uint64_t Index, std::int64_t StampMs,
                          std::string_view Command) {
  message::LedgerCommand Decoded;
  LedgerReply Reply = replyOf(message::LEDGER_MALFORMED, Index);
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
  if (const Record *Held = this->find(Key))
    return standingOf(*Held, ContentDigest, AppliedIndex);
  if (this->maybeForgotten(Key))
    return refusedReply(message::LEDGER_KEY_TOO_OLD, AppliedIndex);
  return replyOf(message::LEDGER_FREE, AppliedIndex);
}

LedgerReply Ledger::claim(std::uint64_t Index, std::int64_t StampMs,
                          const message::LedgerClaim &Asked) {
  const message::LedgerAttempt &Attempt = Asked.attempt();
  if (Record *Held = this->find(Asked.key())) {
    if (!Held->Outcome && holds(*Held, Attempt))
      return claimAgain(Index, *Held, Asked);
    LedgerReply Reply = standingOf(*Held, Asked.content_digest(), Index);
    Reply.set_dispatch(Asked.dispatch());
    return Reply;
  }
  LedgerReply Reply = replyOf(message::LEDGER_GRANTED, Index);
  Reply.set_dispatch(Asked.dispatch());
  auto Newest = this->Incarnations.find(Attempt.host());
  bool Retired = Newest != this->Incarnations.end() &&
                 Attempt.incarnation() < Newest->second;
  Reply.set_refusal(this->refusalOf(Asked, StampMs));
  if (Retired)
    Reply.set_standing(message::LEDGER_RETIRED);
  else if (Reply.refusal() != message::LEDGER_KEY_ACCEPTED)
    Reply.set_standing(message::LEDGER_KEY_REFUSED);
  else if (!this->ticketStands(Asked))
    Reply.set_standing(message::LEDGER_TICKET_REFUSED);
  else
    this->insert(Asked.key(), {.ContentDigest = Asked.content_digest(),
                               .Rule = Asked.rule(),
                               .Host = Attempt.host(),
                               .Life = Attempt.incarnation(),
                               .Attempt = Attempt.attempt(),
                               .Dispatch = Asked.dispatch(),
                               .Endpoint = Asked.endpoint(),
                               .Outcome = std::nullopt});
  return Reply;
}

LedgerReply Ledger::claimAgain(std::uint64_t Index, Record &Held,
                               const message::LedgerClaim &Asked) {
  // A late copy of an earlier claim must not undo a newer one.
  bool Late = Asked.dispatch() < Held.Dispatch;
  LedgerReply Reply =
      replyOf(Late ? message::LEDGER_CLAIMED : message::LEDGER_GRANTED, Index);
  Reply.set_dispatch(Asked.dispatch());
  if (Late)
    return Reply;
  Held.Dispatch = Asked.dispatch();
  Held.Endpoint = Asked.endpoint();
  return Reply;
}

LedgerReply Ledger::release(std::uint64_t Index,
                            const message::LedgerRelease &Asked) {
  Record *Held = this->find(Asked.key());
  // The dispatch number keeps a late copy of a release from freeing a newer
  // claim of the same attempt, under which bytes may have been written.
  if (Held && !Held->Outcome && holds(*Held, Asked.attempt()) &&
      Held->Dispatch == Asked.dispatch())
    this->erase(Asked.key());
  return replyOf(message::LEDGER_DONE, Index);
}

LedgerReply Ledger::recordOutcome(std::uint64_t Index,
                                  const message::LedgerRecordOutcome &Asked) {
  Record *Held = this->find(Asked.key());
  if (!Held || !holds(*Held, Asked.attempt()))
    return replyOf(message::LEDGER_DONE, Index);
  if (Held->Outcome && Held->Outcome->answered())
    return replyOf(message::LEDGER_DONE, Index);
  this->InFlight.erase(
      {Held->Host,
       {Asked.key().service(), {Asked.key().workspace(), Asked.key().key()}}});
  Held->Outcome = Asked.outcome();
  std::size_t Bytes = Asked.outcome().body().size();
  if (Bytes > this->Limits.BodyBytes ||
      this->BodyTotal + Bytes > this->Limits.BodyTotalBytes)
    Held->Outcome->clear_body();
  this->BodyTotal += Held->Outcome->body().size();
  return replyOf(message::LEDGER_DONE, Index);
}

LedgerReply Ledger::close(std::uint64_t Index,
                          const message::LedgerClose &Asked) {
  Record *Held = this->find(Asked.key());
  // An attempt closes only while it has written no byte, so its own claim,
  // whose reply it may never have seen, ends here too.
  if (Held && !Held->Outcome && holds(*Held, Asked.attempt())) {
    this->erase(Asked.key());
    Held = nullptr;
  }
  if (Held && Held->Outcome)
    return standingOf(*Held, Asked.content_digest(), Index);
  if (!Held && this->maybeForgotten(Asked.key()))
    return refusedReply(message::LEDGER_KEY_TOO_OLD, Index);
  this->markClosed(Index, Asked.key());
  if (Held)
    return standingOf(*Held, Asked.content_digest(), Index);
  return replyOf(message::LEDGER_CLOSED, Index);
}

LedgerReply Ledger::retire(std::uint64_t Index,
                           const message::LedgerRetireIncarnation &Asked) {
  Incarnation &Newest = this->Incarnations[Asked.host()];
  Newest = std::max<Incarnation>(Newest, Asked.incarnation());
  auto Each = this->InFlight.lower_bound({Asked.host(), KeyName()});
  while (Each != this->InFlight.end() && Each->first == Asked.host()) {
    message::LedgerKey Key;
    Key.set_service(Each->second.first);
    Key.set_workspace(Each->second.second.first);
    Key.set_key(Each->second.second.second);
    Record *Held = this->find(Key);
    assert(Held && !Held->Outcome);
    if (Held->Life >= Newest) {
      ++Each;
      continue;
    }
    Held->Outcome = message::LedgerOutcome();
    Each = this->InFlight.erase(Each);
  }
  LedgerReply Reply = replyOf(message::LEDGER_DONE, Index);
  Reply.set_incarnation(Newest);
  return Reply;
}

LedgerReply Ledger::prune(std::uint64_t Index, std::int64_t StampMs,
                          const message::LedgerPrune &Asked) {
  ServiceRecords &Service = this->Services[Asked.service()];
  DayNumber Through =
      dayOfStamp(StampMs) - static_cast<DayNumber>(Asked.retention_days()) - 1;
  Service.ForgottenThrough = std::max(Service.ForgottenThrough, Through);
  // Day zero holds the keys without a date, which are never forgotten.
  for (auto Day = Service.Days.upper_bound(0);
       Day != Service.Days.end() && Day->first <= Through;) {
    for (auto Each = Day->second.begin(); Each != Day->second.end();) {
      if (Each->second.Rule == message::LEDGER_KEY_KEPT) {
        ++Each;
        continue;
      }
      this->InFlight.erase({Each->second.Host, {Asked.service(), Each->first}});
      if (Each->second.Outcome)
        this->BodyTotal -= Each->second.Outcome->body().size();
      Each = Day->second.erase(Each);
      --this->RecordCount;
    }
    Day = Day->second.empty() ? Service.Days.erase(Day) : std::next(Day);
  }
  return replyOf(message::LEDGER_DONE, Index);
}

const Ledger::Record *Ledger::find(const message::LedgerKey &Key) const {
  auto Service = this->Services.find(Key.service());
  if (Service == this->Services.end())
    return nullptr;
  auto Day = Service->second.Days.find(bucketOf(Key));
  if (Day == Service->second.Days.end())
    return nullptr;
  auto Found = Day->second.find({Key.workspace(), Key.key()});
  return Found == Day->second.end() ? nullptr : &Found->second;
}

Ledger::Record *Ledger::find(const message::LedgerKey &Key) {
  return const_cast<Record *>(std::as_const(*this).find(Key));
}

void Ledger::insert(const message::LedgerKey &Key, Record Fresh) {
  ServiceRecords &Service = this->Services[Key.service()];
  Service.Kept += Fresh.Rule == message::LEDGER_KEY_KEPT ? 1 : 0;
  ++this->RecordCount;
  RecordName Name{Key.workspace(), Key.key()};
  if (Fresh.Outcome)
    this->BodyTotal += Fresh.Outcome->body().size();
  else
    this->InFlight.insert({Fresh.Host, {Key.service(), Name}});
  bool Inserted = Service.Days[bucketOf(Key)]
                      .emplace(std::move(Name), std::move(Fresh))
                      .second;
  assert(Inserted && "a record is never overwritten");
  static_cast<void>(Inserted);
}

void Ledger::erase(const message::LedgerKey &Key) {
  ServiceRecords &Service = this->Services[Key.service()];
  auto Day = Service.Days.find(bucketOf(Key));
  auto Found = Day->second.find({Key.workspace(), Key.key()});
  Service.Kept -= Found->second.Rule == message::LEDGER_KEY_KEPT ? 1 : 0;
  this->InFlight.erase({Found->second.Host, {Key.service(), Found->first}});
  Day->second.erase(Found);
  if (Day->second.empty())
    Service.Days.erase(Day);
  --this->RecordCount;
}

void Ledger::markClosed(std::uint64_t Index, const message::LedgerKey &Key) {
  KeyName Name{Key.service(), {Key.workspace(), Key.key()}};
  auto [Mark, Fresh] = this->Closed.emplace(Name, Index);
  if (!Fresh) {
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

bool Ledger::maybeForgotten(const message::LedgerKey &Key) const {
  auto Day = dayOfKey(Key.key());
  auto Service = this->Services.find(Key.service());
  return Day && Service != this->Services.end() &&
         *Day <= Service->second.ForgottenThrough;
}

bool Ledger::ticketStands(const message::LedgerClaim &Asked) const {
  if (Asked.ticket() < this->Horizon)
    return false;
  const message::LedgerKey &Key = Asked.key();
  auto Mark = this->Closed.find({Key.service(), {Key.workspace(), Key.key()}});
  return Mark == this->Closed.end() || Asked.ticket() >= Mark->second;
}

message::LedgerKeyRefusal Ledger::refusalOf(const message::LedgerClaim &Asked,
                                            std::int64_t StampMs) const {
  if (Asked.key().key().size() > this->Limits.KeyBytes)
    return message::LEDGER_KEY_TOO_LONG;
  if (this->maybeForgotten(Asked.key()))
    return message::LEDGER_KEY_TOO_OLD;
  auto Day = dayOfKey(Asked.key().key());
  DayNumber Today = dayOfStamp(StampMs);
  if (Asked.rule() == message::LEDGER_KEY_DATED) {
    if (!Day)
      return message::LEDGER_KEY_NOT_DATED;
    if (*Day + static_cast<DayNumber>(Asked.retention_days()) < Today)
      return message::LEDGER_KEY_TOO_OLD;
    if (*Day > Today + 1)
      return message::LEDGER_KEY_TOO_NEW;
  }
  auto Service = this->Services.find(Asked.key().service());
  std::size_t Kept = Service == this->Services.end() ? 0 : Service->second.Kept;
  bool KeptFull = Asked.rule() == message::LEDGER_KEY_KEPT &&
                  Kept >= this->Limits.KeptRecords;
  if (KeptFull || this->RecordCount >= this->Limits.Records)
    return message::LEDGER_KEY_NO_ROOM;
  return message::LEDGER_KEY_ACCEPTED;
}

} // namespace carobhinge
