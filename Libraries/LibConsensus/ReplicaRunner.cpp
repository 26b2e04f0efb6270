//===- LibConsensus/ReplicaRunner.cpp - Carries out a replica's effects ---===//

#include <LibConsensus/ReplicaRunner.h>
#include <cassert>
#include <utility>
#include <variant>

namespace carobhinge {

/// Hands the snapshot among what was stored to the machine before the replica
/// takes it all.
static StoredReplica restored(StoredReplica Stored, StateMachine &Machine,
                              std::uint64_t &Applied) {
  if (Stored.Snapshot) {
    Machine.restore(Stored.Snapshot->state());
    Applied = Stored.Snapshot->index();
  }
  return Stored;
}

ReplicaRunner::ReplicaRunner(ReplicaOptions Options,
                             LogStoreOptions StoreOptions,
                             StateMachine &Machine, ReplicaListener &Listener,
                             TimePoint Now)
    : Machine(Machine), Listener(Listener), Observer(Options.Observer),
      Store(std::move(StoreOptions)),
      Decisions(std::move(Options),
                restored(this->Store.takeStored(), Machine, this->Applied),
                Now) {}

void ReplicaRunner::step(std::string_view Name) const {
  if (this->Observer)
    this->Observer(Name);
}

void ReplicaRunner::run(TimePoint Now) {
  while (true) {
    std::vector<Effect> Effects = this->Decisions.takeEffects(Now);
    if (Effects.empty())
      return;
    for (const Effect &Next : Effects)
      std::visit([&](const auto &Known) { this->carryOut(Known); }, Next);
    this->sync();
    this->Decisions.persisted();
  }
}

void ReplicaRunner::sync() {
  if (!this->Unsynced)
    return;
  this->Store.sync();
  this->Unsynced = false;
  this->HardUnsynced = false;
  this->step("record persisted");
}

void ReplicaRunner::carryOut(const PersistEffect &Persist) {
  this->Store.append(Persist.Record);
  this->Unsynced = true;
  this->HardUnsynced |= Persist.Record.has_hard_state();
}

void ReplicaRunner::carryOut(const SendEffect &Send) {
  // A leader's entries may travel while they are synced here: it counts
  // itself among the holders only afterwards. Its term must be durable.
  if (!Send.Message.has_append() || this->HardUnsynced)
    this->sync();
  this->Listener.send(Send.To, Send.Message);
  this->step("effect sent");
}

void ReplicaRunner::carryOut(const ApplyEffect &Apply) {
  this->sync();
  const message::Entry &Entry = Apply.Entry;
  assert(Entry.index() == this->Applied + 1);
  this->Applied = Entry.index();
  std::string Reply;
  if (Entry.has_command())
    Reply =
        this->Machine.apply(Entry.index(), Entry.stamp_ms(), Entry.command());
  this->Listener.applied(Entry, std::move(Reply));
}

void ReplicaRunner::carryOut(const InstallSnapshotEffect &Install) {
  this->sync();
  this->Store.replace(Install.Snapshot, Install.Carried);
  this->step("record persisted");
  this->Machine.restore(Install.Snapshot.state());
  this->Applied = Install.Snapshot.index();
}

void ReplicaRunner::carryOut(const TakeSnapshotEffect &Take) {
  this->sync();
  assert(Take.Frame.index() == this->Applied);
  // FIXME: A large state holds up the log while it is written, on all replicas
  // at the same index.
  message::StoredSnapshot Snapshot = Take.Frame;
  Snapshot.set_state(this->Machine.snapshot());
  this->Store.replace(Snapshot, Take.Carried);
  this->step("record persisted");
  this->Decisions.snapshotTaken(Snapshot);
}

void ReplicaRunner::carryOut(const ReadReadyEffect &Ready) {
  this->Listener.readDone(Ready.Id, true);
}

void ReplicaRunner::carryOut(const ReadFailedEffect &Failed) {
  this->Listener.readDone(Failed.Id, false);
}

void ReplicaRunner::carryOut(const LeadershipLostEffect & /*Lost*/) {
  this->Listener.leadershipLost();
}

} // namespace carobhinge
