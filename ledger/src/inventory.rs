//! Events that concern all attempts on a machine: ended links, lost machines, and inventories,
//! which settle attempts that are in doubt.
use crate::attempts::Removal;
use crate::{
    Actions, Attempt, AttemptId, AttemptState, Idempotency, InventoryEntry, Ledger, LedgerAction,
    LifecycleEvent, RequestPhase, TaskRecord,
};
use basaltpitch::host::AttemptOutcome;
use std::collections::BTreeSet;
use std::hash::Hash;

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Records that the link to a machine ended. The attempts numbered in `unsent` were never
    /// handed to the link, so they never ran; any other attempt in flight may have run. A
    /// repeatable task's attempt is given up at once. For other tasks the machine's next inventory
    /// decides, unless the attempt times out first.
    pub fn link_cut(&mut self, machine: usize, unsent: &[u64], actions: &mut Actions<K>) {
        for id in self.attempts_on(machine) {
            let Some(attempt) = self.attempt(id) else { continue };
            let state = attempt.state;
            let never_sent = id.epoch == self.epoch && unsent.contains(&id.number);
            if never_sent && matches!(state, AttemptState::InFlight | AttemptState::InDoubt) {
                self.remove(id, Removal::UNSENT, actions);
            } else if state == AttemptState::InFlight
                && self.idempotency_of(id) == Some(Idempotency::Repeatable)
            {
                self.give_up(id, AttemptOutcome::Reset, actions);
            }
        }
    }

    /// Records that a machine is gone for good or has restarted: none of its attempts runs any
    /// more.
    pub fn machine_lost(&mut self, machine: usize, actions: &mut Actions<K>) {
        for id in self.attempts_on(machine) {
            self.attempt_lost(id, actions);
        }
    }

    fn attempt_lost(&mut self, id: AttemptId, actions: &mut Actions<K>) {
        if let Some(key) = self.keys_by_attempt.get(&id).cloned() {
            self.close_active(&key, id, LifecycleEvent::Lost, actions);
        }
        self.remove(id, Removal::MACHINE_LOST, actions);
    }

    /// Records a machine's inventory: all attempts of this planner that the machine holds, listed
    /// after it began to ignore the planner's older links. An attempt that is missing from the list
    /// never ran and never will, unless it was accepted before.
    pub fn inventory(
        &mut self,
        machine: usize,
        entries: Vec<InventoryEntry<K, J>>,
        actions: &mut Actions<K>,
    ) {
        let present: BTreeSet<AttemptId> = entries.iter().map(|entry| entry.attempt).collect();
        for id in self.attempts_on(machine).into_iter().filter(|id| !present.contains(id)) {
            let Some(attempt) = self.attempt(id) else { continue };
            if attempt.state == AttemptState::Active {
                self.attempt_lost(id, actions);
            } else {
                self.remove(id, Removal::ABSENT, actions);
            }
        }
        for entry in entries {
            self.inventory_entry(machine, entry, actions);
        }
    }

    fn inventory_entry(&mut self, machine: usize, entry: InventoryEntry<K, J>, actions: &mut Actions<K>) {
        let (id, accepted) = (entry.attempt, entry.accepted);
        if !self.keys_by_attempt.contains_key(&id) {
            let key = self.record_unknown_attempt(machine, entry, actions);
            let record = &self.records[&key];
            if accepted && record.phase != RequestPhase::Placed && record.launch_count == 0 {
                // This epoch of the planner launched no attempt of the task, so that the listed
                // attempt becomes its placement, whatever the task's idempotency.
                return self.adopt(&key, id, actions);
            }
        }
        if accepted {
            self.accepted(id, actions);
            if self.attempt(id).is_some_and(|attempt| attempt.state == AttemptState::Stopping) {
                actions.push(LedgerAction::Stop { attempt: id, machine });
            }
        }
    }

    /// Records an attempt of an earlier epoch of this planner, or one whose record has expired.
    fn record_unknown_attempt(
        &mut self,
        machine: usize,
        entry: InventoryEntry<K, J>,
        actions: &mut Actions<K>,
    ) -> K {
        let (now_us, key) = (self.now_us, entry.key);
        let known = self.records.contains_key(&key);
        let new_record = || TaskRecord::new(entry.idempotency, entry.job, now_us);
        let record = self.records.entry(key.clone()).or_insert_with(new_record);
        if !known {
            (record.request_id, record.phase) = (entry.request_id, RequestPhase::Answered);
            self.closed.push_back((now_us, key.clone()));
        }
        let (id, state) = (entry.attempt, AttemptState::InDoubt);
        record.attempts.push(Attempt { id, machine, state, task: None, since_us: now_us });
        self.index_attempt(id, machine, &key, actions);
        key
    }
}
