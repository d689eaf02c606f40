//! Removal of task indices that the placement module no longer needs, and of old answered records.
use crate::{Ledger, RequestPhase};
use std::hash::Hash;

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Frees and returns the task indices that the placement module no longer needs. Must be called
    /// only after the module received every action so far: until then, a call of the module for
    /// such a task still finds the index, so that the ledger can ignore it.
    pub fn free_task_indices(&mut self) -> Vec<usize> {
        self.tasks.free_unneeded()
    }

    /// Removes answered records that are too old or too many, and returns how many were removed. A
    /// record with an attempt that may still be on a machine stays.
    pub fn expire_records(&mut self) -> usize {
        let mut expired = 0;
        for _ in 0..self.closed.len() {
            let Some((at_us, _)) = self.closed.front() else { break };
            let is_old = *at_us + self.config.retention_us <= self.now_us;
            if !is_old && self.closed.len() <= self.config.max_retained {
                break;
            }
            let Some((at_us, key)) = self.closed.pop_front() else { break };
            let Some(record) = self.records.get_mut(&key) else { continue };
            let is_closed = !record.phase.is_open() && record.phase != RequestPhase::Placed;
            if record.closed_at_us != at_us || !is_closed {
                continue;
            }
            if record.attempts.is_empty() {
                self.records.remove(&key);
                expired += 1;
            } else {
                // An attempt may still be on a machine: check again after the retention time.
                record.closed_at_us = self.now_us;
                self.closed.push_back((self.now_us, key));
            }
        }
        expired
    }
}
