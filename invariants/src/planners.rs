//! Planners whose process was killed or stopped owe no answer in time.
use crate::{Incarnation, InvariantChecker};
use std::collections::{HashMap, HashSet};

/// What became of planners' processes.
#[derive(Default)]
pub(crate) struct Planners {
    killed: HashMap<Incarnation, i64>,
    /// Incarnations whose process is stopped: it cannot answer, so it need not in time.
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
    /// A planner's process was killed.
    pub fn planner_killed(&mut self, at_us: i64, name: &str, epoch: u64) {
        let planner = (name.to_owned(), epoch);
        self.excuse(at_us, &planner);
        self.planners.killed.insert(planner, at_us);
    }

    /// A planner's process is stopped: requests that it has, or gets until it resumes, may be answered late.
    pub fn planner_stopped(&mut self, at_us: i64, name: &str, epoch: u64) {
        let planner = (name.to_owned(), epoch);
        self.excuse(at_us, &planner);
        self.planners.stopped.insert(planner);
    }

    /// A planner's process that was stopped runs again.
    pub fn planner_resumed(&mut self, name: &str, epoch: u64) {
        self.planners.stopped.remove(&(name.to_owned(), epoch));
    }

    /// A planner's requests that are not overdue need not be answered in time any more.
    fn excuse(&mut self, at_us: i64, planner: &Incarnation) {
        let open = |(id, request): &(&crate::RequestId, &mut crate::RequestRecord)| {
            id.0 == *planner && request.answers.is_empty()
        };
        for (_, request) in self.requests.iter_mut().filter(open) {
            request.excused |= request.deadline + self.config.answer_grace_us >= at_us;
        }
    }
}
