//! What a machine as a whole says or loses: links that end, restarts, and inventories that settle what is
//! uncertain.
use crate::attempts::Removal;
use crate::{
    Actions, Attempt, AttemptId, AttemptState, Idempotency, InventoryEntry, Ledger, LedgerAction,
    LifecycleEvent, RequestPhase, TaskRecord,
};
use basaltpitch::host::AttemptOutcome;
use std::collections::BTreeSet;
use std::hash::Hash;

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// The link to a machine ended. `unsent` are attempts of which no byte was handed over: they never ran. Any
    /// other may have run. A repeatable one is given up at once; for the others the machine's next inventory is
    /// waited for, as long as the attempt's timeout lasts.
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

    /// A machine is gone for good, or has restarted: what it held runs no more.
    pub fn machine_lost(&mut self, machine: usize, actions: &mut Actions<K>) {
        for id in self.attempts_on(machine) {
            self.attempt_lost(id, actions);
        }
    }

    fn attempt_lost(&mut self, id: AttemptId, actions: &mut Actions<K>) {
        if let Some(key) = self.keys_by_attempt.get(&id).cloned() {
            self.active_over(&key, id, LifecycleEvent::Lost, actions);
        }
        self.remove(id, Removal::MACHINE_LOST, actions);
    }

    /// All that a machine holds of this planner's, after it put older links out of use. What it does not hold
    /// has never run and never will, unless it was accepted once.
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
                // Nobody of this incarnation has started it: whatever its idempotency, it is the task's attempt.
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

    /// An attempt of an earlier incarnation of this planner, or of a record that was forgotten.
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
        self.count_attempt(id, machine, &key, actions);
        key
    }
}
