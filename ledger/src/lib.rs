//! The one record of each task, by the client's key. No I/O and no clock of its own: what happened comes in as
//! calls, what must be done goes out as [`LedgerAction`]s, in order. The ledger says which attempt is in
//! flight, what a late answer means, what a broken link proves, and that each request gets exactly one final
//! answer. Where a task goes is the placement module's; the ledger tells it of outcomes and carries out its
//! calls. Times are whole microseconds; tasks and machines are the module's small indices.
mod attempts;
mod evidence;
mod expiry;
mod inventory;
mod record;
mod requests;
mod task_indices;
mod types;

pub use evidence::{Evidence, Proof};
pub use record::{Attempt, AttemptState, RequestPhase, TaskRecord};
pub use types::{
    AttemptEnd, AttemptId, Idempotency, InventoryEntry, LedgerAction, LedgerConfig, LifecycleEvent,
    RejectReason, Rejection, Request, RequestOutcome,
};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;
use task_indices::TaskIndices;

/// Where a call puts what must be done.
type Actions<K> = Vec<LedgerAction<K>>;

/// All records of one planner. `J` is what a task needs; the ledger only keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger<K, J> {
    epoch: u64,
    last_attempt: u64,
    now_us: i64,
    config: LedgerConfig,
    records: BTreeMap<K, TaskRecord<J>>,
    keys_by_attempt: BTreeMap<AttemptId, K>,
    attempts_by_machine: BTreeSet<(usize, AttemptId)>,
    tasks: TaskIndices<K>,
    /// Records that were answered or are over, with the time, the oldest first.
    closed: VecDeque<(i64, K)>,
    open_count: usize,
}

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// An empty ledger of a planner's epoch.
    pub fn new(epoch: u64, now_us: i64, config: LedgerConfig) -> Self {
        Ledger {
            epoch,
            last_attempt: 0,
            now_us,
            config,
            records: BTreeMap::new(),
            keys_by_attempt: BTreeMap::new(),
            attempts_by_machine: BTreeSet::new(),
            tasks: TaskIndices::default(),
            closed: VecDeque::new(),
            open_count: 0,
        }
    }

    /// Sets the time of the calls that follow; it never goes back.
    pub fn set_clock(&mut self, now_us: i64) {
        self.now_us = self.now_us.max(now_us);
    }

    /// The record of a task.
    pub fn record(&self, key: &K) -> Option<&TaskRecord<J>> {
        self.records.get(key)
    }

    /// All records, by key.
    pub fn records(&self) -> impl Iterator<Item = (&K, &TaskRecord<J>)> {
        self.records.iter()
    }

    /// What each task needs, to be changed where it does not matter to the ledger.
    pub fn jobs_mut(&mut self) -> impl Iterator<Item = (&K, &mut J)> {
        self.records.iter_mut().map(|(key, record)| (key, &mut record.job))
    }

    /// The key of a task that the module knows by this index.
    pub fn key_of(&self, task: usize) -> Option<&K> {
        self.tasks.key(task)
    }

    /// The key of the record that an attempt belongs to.
    pub fn key_of_attempt(&self, id: AttemptId) -> Option<&K> {
        self.keys_by_attempt.get(&id)
    }

    /// The module's index for the task that runs under this attempt, for notes about it.
    pub fn task_of_attempt(&self, id: AttemptId) -> Option<usize> {
        self.attempt(id).filter(|attempt| attempt.state == AttemptState::Active)?.task
    }

    /// Open requests: waiting or with an attempt in flight.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Whether no attempt is known on a machine, so that its index may be freed.
    pub fn is_machine_free(&self, machine: usize) -> bool {
        let first = self.attempts_by_machine.range((machine, AttemptId::FIRST)..).next();
        first.is_none_or(|entry| entry.0 != machine)
    }

    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.records.get(self.keys_by_attempt.get(&id)?)?.attempt(id)
    }

    fn idempotency_of(&self, id: AttemptId) -> Option<Idempotency> {
        Some(self.records.get(self.keys_by_attempt.get(&id)?)?.idempotency)
    }

    fn attempts_on(&self, machine: usize) -> Vec<AttemptId> {
        let from = (machine, AttemptId::FIRST);
        let entries = self.attempts_by_machine.range(from..);
        entries.take_while(|entry| entry.0 == machine).map(|entry| entry.1).collect()
    }
}
