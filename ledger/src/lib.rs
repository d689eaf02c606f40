//! The ledger of one planner's tasks: one record for each task, by the client's key.
//!
//! The ledger decides which attempt is in flight, what a late answer means, what a broken link
//! proves, and that each request gets exactly one final answer. The placement module decides where
//! a task runs; the ledger carries out its calls and reports the outcomes to it.
//!
//! The ledger does no I/O and has no clock of its own: events come in as calls, and effects go out
//! as [`LedgerAction`]s in the order in which they must be carried out. Times are whole
//! microseconds; tasks and machines are the placement module's small indices.
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

/// List to which a call appends its effects.
type Actions<K> = Vec<LedgerAction<K>>;

/// All task records of one planner. `J` is the description of a task, which the ledger stores
/// without reading it.
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
    /// Keys of records whose request was answered or is over, with the closing time, oldest first.
    closed: VecDeque<(i64, K)>,
    open_count: usize,
}

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Creates an empty ledger for an epoch of the planner.
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

    /// Sets the time of the calls that follow; a time before the current one is ignored.
    pub fn set_clock(&mut self, now_us: i64) {
        self.now_us = self.now_us.max(now_us);
    }

    /// Returns the record of a task.
    pub fn record(&self, key: &K) -> Option<&TaskRecord<J>> {
        self.records.get(key)
    }

    /// Returns all records, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = (&K, &TaskRecord<J>)> {
        self.records.iter()
    }

    /// Returns the descriptions of all tasks, so that the caller can change them; the ledger does
    /// not depend on them.
    pub fn jobs_mut(&mut self) -> impl Iterator<Item = (&K, &mut J)> {
        self.records.iter_mut().map(|(key, record)| (key, &mut record.job))
    }

    /// Returns the key of the task that the placement module knows by this index.
    pub fn key_of(&self, task: usize) -> Option<&K> {
        self.tasks.key(task)
    }

    /// Returns the key of the task that an attempt belongs to.
    pub fn key_of_attempt(&self, id: AttemptId) -> Option<&K> {
        self.keys_by_attempt.get(&id)
    }

    /// Returns the placement module's index of the task whose accepted attempt this is, to pass on
    /// the machine's notes about the task.
    pub fn task_of_attempt(&self, id: AttemptId) -> Option<usize> {
        self.attempt(id).filter(|attempt| attempt.state == AttemptState::Active)?.task
    }

    /// Returns the number of open requests: those that wait or have an attempt in flight.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns whether the ledger knows no attempt on a machine, so that the machine's index may be
    /// reused.
    pub fn has_no_attempts_on(&self, machine: usize) -> bool {
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
