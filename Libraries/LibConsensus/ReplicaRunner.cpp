//===- LibConsensus/ReplicaRunner.cpp - Executes a replica's effects ------===//

#include <LibConsensus/ReplicaRunner.h>
#include <cassert>
#include <utility>
#include <variant>

namespace carobhinge {

/// Restores the state machine from the stored snapshot before the replica takes
/// ownership of the stored state.
static StoredReplica restoreSnapshot(StoredReplica Stored,
                                     StateMachine &Machine,
                                     std::uint64_t &AppliedIndex) {
  if (Stored.Snapshot) {
    Machine.restore(Stored.Snapshot->state());
    AppliedIndex = Stored.Snapshot->index();
  }
  return Stored;
}

static ReplicaOptions addMachine(ReplicaOptions Options,
                                 const StateMachine &Machine) {
  Options.CanRestore = [&Machine](std::string_view State) {
    return Machine.canRestore(State);
  };
  return Options;
}

ReplicaRunner::ReplicaRunner(ReplicaOptions Options,
                             LogStoreOptions StoreOptions,
                             StateMachine &Machine, ReplicaListener &Listener,
                             TimePoint Now)
    : Machine(Machine), Listener(Listener), Observer(Options.Observer),
      Store(std::move(StoreOptions)),
      Core(addMachine(std::move(Options), Machine),
           restoreSnapshot(this->Store.takeStored(), Machine,
                           this->AppliedIndex),
           Now) {}

void ReplicaRunner::notifyObserver(std::string_view Name) const {
  if (this->Observer)
    this->Observer(Name);
}

void ReplicaRunner::run(TimePoint Now) {
  while (true) {
    std::vector<Effect> Effects = this->Core.takeEffects(Now);
    if (Effects.empty())
      return;
    for (const Effect &Next : Effects)
      std::visit(
          [&](const auto &ConcreteEffect) { this->execute(ConcreteEffect); },
          Next);
    this->sync();
    this->Core.onPersisted();
  }
}

void ReplicaRunner::sync() {
  if (!this->HasUnsyncedRecords)
    return;
  this->Store.sync();
  this->HasUnsyncedRecords = false;
  this->HasUnsyncedHardState = false;
  this->notifyObserver("record persisted");
}

void ReplicaRunner::execute(const PersistEffect &Persist) {
  this->Store.append(Persist.Record);
  this->HasUnsyncedRecords = true;
  this->HasUnsyncedHardState |= Persist.Record.has_hard_state();
}

void ReplicaRunner::execute(const SendEffect &Send) {
  // A leader may send entries before syncing them, because it counts itself
  // towards the quorum only after the sync. Its term must be durable first.
  if (!Send.Message.has_append() || this->HasUnsyncedHardState)
    this->sync();
  this->Listener.send(Send.To, Send.Message);
  this->notifyObserver("effect sent");
}

void ReplicaRunner::execute(const ApplyEffect &Apply) {
  this->sync();
  const message::Entry &Entry = Apply.Entry;
  assert(Entry.index() == this->AppliedIndex + 1);
  this->AppliedIndex = Entry.index();
  std::string Reply;
  if (Entry.has_command())
    Reply =
        this->Machine.apply(Entry.index(), Entry.stamp_ms(), Entry.command());
  this->Listener.onEntryApplied(Entry, std::move(Reply));
}

void ReplicaRunner::execute(const InstallSnapshotEffect &Install) {
  this->sync();
  this->Store.replace(Install.Snapshot, Install.RetainedRecords);
  this->notifyObserver("record persisted");
  this->Machine.restore(Install.Snapshot.state());
  this->AppliedIndex = Install.Snapshot.index();
}

void ReplicaRunner::execute(const TakeSnapshotEffect &Take) {
  this->sync();
  assert(Take.Metadata.index() == this->AppliedIndex);
  // FIXME: Writing a large state blocks the log, and all replicas do so at the
  // same index.
  message::StoredSnapshot Snapshot = Take.Metadata;
  Snapshot.set_state(this->Machine.snapshot());
  this->Store.replace(Snapshot, Take.RetainedRecords);
  this->notifyObserver("record persisted");
  this->Core.onSnapshotTaken(Snapshot);
}

void ReplicaRunner::execute(const ReadReadyEffect &Ready) {
  this->Listener.onReadCompleted(Ready.Id, true);
}

void ReplicaRunner::execute(const ReadFailedEffect &Failed) {
  this->Listener.onReadCompleted(Failed.Id, false);
}

void ReplicaRunner::execute(const LeadershipLostEffect & /*Lost*/) {
  this->Listener.onLeadershipLost();
}

} // namespace carobhinge
