//! What leaves the ledger: indices that the module needs no more, and answered records.
use crate::{Ledger, RequestPhase};
use std::hash::Hash;

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// To be called when the module was told every action so far: indices that it needs no more are freed and
    /// named. Until then a call of the module for one of them still finds it, so that it can be turned off.
    pub fn free_task_indices(&mut self) -> Vec<usize> {
        self.tasks.free_unneeded()
    }

    /// Forgets answered records by age and by count. A record with an attempt anywhere stays. Returns how many
    /// were forgotten.
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
                // Still in doubt: looked at again later.
                record.closed_at_us = self.now_us;
                self.closed.push_back((self.now_us, key));
            }
        }
        expired
    }
}
