//! One task's record: its asking, its copies, what may have run.
use crate::{Answer, Kind, Launch, Life};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No launch is out; the module looks for a place.
    Waiting,
    /// One launch is out.
    Out,
    Placed,
    /// Declined or aborted.
    Answered,
    /// It was placed, or given up by its owner, and is no more.
    Over(Life),
}

impl Phase {
    pub fn is_open(self) -> bool {
        matches!(self, Phase::Waiting | Phase::Out)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyState {
    /// Launched; the module waits for the outcome.
    Out,
    /// Given up without proof that it did not run.
    Doubt,
    /// Accepted by its machine, and the task's copy.
    Held,
    /// Told to stop; its end was not heard yet.
    Stopping,
}

/// A launch that may be on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Copy {
    pub launch: Launch,
    pub machine: usize,
    pub state: CopyState,
    /// The module's index of the task, while it waits for this launch's outcome.
    pub task: Option<usize>,
    /// When it came to this state of doubt.
    pub since: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record<J> {
    pub kind: Kind,
    pub job: J,
    pub ask: u64,
    pub owner: u64,
    pub phase: Phase,
    pub answer: Option<Answer>,
    pub task: Option<usize>,
    pub copies: Vec<Copy>,
    /// Launches ever made for it in this life of the planner.
    pub launches: u32,
    /// When a launch ended of which it was never learnt whether it ran.
    pub ran_at: Option<i64>,
    /// When its placed copy was lost with a machine.
    pub lost_at: Option<i64>,
    pub born_at: i64,
    pub closed_at: i64,
}

impl<J> Record<J> {
    pub(crate) fn new(kind: Kind, job: J, born_at: i64) -> Self {
        Record {
            kind,
            job,
            ask: 0,
            owner: 0,
            phase: Phase::Waiting,
            answer: None,
            task: None,
            copies: Vec::new(),
            launches: 0,
            ran_at: None,
            lost_at: None,
            born_at,
            closed_at: born_at,
        }
    }

    pub(crate) fn reopen(&mut self, kind: Kind, job: J, ask: u64, owner: u64, task: usize, now: i64) {
        (self.kind, self.job, self.ask, self.owner) = (kind, job, ask, owner);
        (self.phase, self.answer, self.task, self.born_at) = (Phase::Waiting, None, Some(task), now);
    }

    pub(crate) fn close(&mut self, phase: Phase, answer: Option<Answer>, now: i64) {
        (self.phase, self.answer, self.task, self.closed_at) = (phase, answer, None, now);
    }

    pub fn copy(&self, launch: Launch) -> Option<&Copy> {
        self.copies.iter().find(|c| c.launch == launch)
    }

    pub(crate) fn copy_mut(&mut self, launch: Launch) -> Option<&mut Copy> {
        self.copies.iter_mut().find(|c| c.launch == launch)
    }

    /// The task's copy, where it runs.
    pub fn held(&self) -> Option<&Copy> {
        self.copies.iter().find(|c| c.state == CopyState::Held)
    }

    pub(crate) fn back_to_waiting(&mut self) {
        if self.phase == Phase::Out {
            self.phase = Phase::Waiting;
        }
    }

    /// Until when a new asking waits for what earlier launches did: a copy in doubt or stopping may still
    /// turn up, and one that failed or was lost may have left something behind.
    pub fn unsettled_until(&self, settle_us: i64) -> i64 {
        let copies = self.copies.iter().map(|c| c.since);
        let past = copies.chain(self.ran_at).chain(self.lost_at).max();
        past.map_or(i64::MIN / 2, |at| at + settle_us)
    }

    /// Whether a launch was given up, or lost, of which it is not known whether it ran.
    pub fn may_have_run(&self) -> bool {
        self.ran_at.is_some() || self.copies.iter().any(|c| c.state != CopyState::Held)
    }
}
