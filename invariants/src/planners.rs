//! Killed and stopped planner processes, whose open requests are not required to be answered in
//! time.
use crate::{Incarnation, InvariantChecker};
use std::collections::{HashMap, HashSet};

/// The planner processes that were killed or are stopped.
#[derive(Default)]
pub(crate) struct Planners {
    /// When each killed process was killed, in microseconds.
    killed: HashMap<Incarnation, i64>,
    /// Processes that are stopped (SIGSTOP): requests that reach them may be answered late.
    stopped: HashSet<Incarnation>,
}

impl Planners {
    pub(crate) fn killed_at(&self, planner: &Incarnation) -> Option<i64> {
        self.killed.get(planner).copied()
    }

    pub(crate) fn is_stopped(&self, planner: &Incarnation) -> bool {
        self.stopped.contains(planner)
    }
}

impl InvariantChecker {
    /// Records that a planner's process was killed.
    pub fn planner_killed(&mut self, at_us: i64, name: &str, epoch: u64) {
        let planner = (name.to_owned(), epoch);
        self.excuse(at_us, &planner);
        self.planners.killed.insert(planner, at_us);
    }

    /// Records that a planner's process was stopped: its open requests, and those that it gets
    /// until it resumes, may be answered late.
    pub fn planner_stopped(&mut self, at_us: i64, name: &str, epoch: u64) {
        let planner = (name.to_owned(), epoch);
        self.excuse(at_us, &planner);
        self.planners.stopped.insert(planner);
    }

    /// Records that a stopped planner process resumed.
    pub fn planner_resumed(&mut self, name: &str, epoch: u64) {
        self.planners.stopped.remove(&(name.to_owned(), epoch));
    }

    /// Excuses a planner's open requests that are not overdue from being answered in time.
    fn excuse(&mut self, at_us: i64, planner: &Incarnation) {
        let open = |(id, request): &(&crate::RequestId, &mut crate::RequestRecord)| {
            id.0 == *planner && request.answers.is_empty()
        };
        for (_, request) in self.requests.iter_mut().filter(open) {
            request.excused |= request.deadline + self.config.answer_grace_us >= at_us;
        }
    }
}
