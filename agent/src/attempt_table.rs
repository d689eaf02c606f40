//! The attempts known to a machine, by planner: their states, and the reply to a repeated launch
//! frame. Does no I/O.
//!
//! An attempt takes effect once, however often its launch frame is received. Links of older epochs
//! of a planner are fenced off. An outcome is sent on every new link until the planner has
//! acknowledged it. An inventory lists every attempt that may still run.
use std::collections::BTreeMap;

/// Identifies an attempt of a planner: the planner's epoch and the number of the attempt in it.
pub type AttemptId = (u64, u64);

/// Maximum number of unacknowledged outcomes kept for each planner; the oldest are dropped.
pub const MAX_UNACKNOWLEDGED: usize = 20_000;

/// State of an attempt on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// Waits for the machine's decision; no reply was sent to the planner yet.
    Queued,
    /// The machine has accepted the attempt; the task does not run yet.
    Accepted,
    /// The task runs.
    Running,
    /// The task could not be started.
    Failed,
    /// The task ended; the number is the caller's code for the way it ended.
    Ended(u8),
}

/// Reply to a planner about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptReply {
    /// No reply yet: the attempt is queued.
    Nothing,
    /// The machine has accepted the attempt, and the task may run.
    Accepted,
    /// The task never ran here under this attempt and never will.
    NotHere,
    /// The task could not be started.
    Failed,
    /// The task ended; the number is the caller's code for the way it ended.
    Ended(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlannerAttempts<D> {
    epoch: u64,
    link: u64,
    attempts: BTreeMap<AttemptId, (AttemptState, D)>,
}

/// Inventory of one planner: the unacknowledged outcomes, then the attempts that have not ended.
pub type Inventory<D> = (Vec<(AttemptId, AttemptReply)>, Vec<(AttemptId, AttemptState, D)>);

/// The attempts known to a machine. `P` identifies a planner, `D` is the payload of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptTable<P, D> {
    planners: BTreeMap<P, PlannerAttempts<D>>,
}

impl<P, D> Default for AttemptTable<P, D> {
    fn default() -> Self {
        AttemptTable { planners: BTreeMap::new() }
    }
}

fn reply_for(state: AttemptState) -> AttemptReply {
    match state {
        AttemptState::Queued => AttemptReply::Nothing,
        AttemptState::Accepted | AttemptState::Running => AttemptReply::Accepted,
        AttemptState::Failed => AttemptReply::Failed,
        AttemptState::Ended(how) => AttemptReply::Ended(how),
    }
}

impl<P: Ord + Clone, D: Clone> AttemptTable<P, D> {
    /// Admits a new link of a planner. Returns false if a link of a later epoch, or a later link of
    /// the same epoch, was admitted before. On true, frames of older links no longer count, and a
    /// new epoch drops the attempts that earlier epochs left queued.
    pub fn admit_link(&mut self, planner: &P, epoch: u64, link: u64) -> bool {
        let new = || PlannerAttempts { epoch, link, attempts: BTreeMap::new() };
        let held = self.planners.entry(planner.clone()).or_insert_with(new);
        if (epoch, link) < (held.epoch, held.link) {
            return false;
        }
        if epoch > held.epoch {
            held.attempts.retain(|_, (state, _)| *state != AttemptState::Queued);
        }
        (held.epoch, held.link) = (epoch, link);
        true
    }

    /// Returns whether this link is the planner's latest one, so that its frames still count.
    pub fn is_current(&self, planner: &P, epoch: u64, link: u64) -> bool {
        self.planners.get(planner).is_some_and(|held| (held.epoch, held.link) == (epoch, link))
    }

    /// Records a launch frame. Returns the reply, and whether the attempt is new and was queued.
    /// The reply is `Nothing` for an attempt that is queued, now or already before.
    pub fn launch(&mut self, planner: &P, id: AttemptId, payload: D) -> (AttemptReply, bool) {
        let Some(held) = self.planners.get_mut(planner) else { return (AttemptReply::NotHere, false) };
        if let Some((state, _)) = held.attempts.get(&id) {
            return (reply_for(*state), false);
        }
        if id.0 != held.epoch {
            return (AttemptReply::NotHere, false);
        }
        held.attempts.insert(id, (AttemptState::Queued, payload));
        (AttemptReply::Nothing, true)
    }

    /// Drops the attempt if it is still queued, because the planner no longer waits for it. Returns
    /// the reply that tells the planner the attempt's state.
    pub fn cancel(&mut self, planner: &P, id: AttemptId) -> AttemptReply {
        match self.state(planner, id) {
            None => AttemptReply::NotHere,
            Some(AttemptState::Queued) => {
                self.forget(planner, id);
                AttemptReply::NotHere
            }
            Some(state) => reply_for(state),
        }
    }

    /// Returns the state of an attempt, or `None` if it is unknown here.
    pub fn state(&self, planner: &P, id: AttemptId) -> Option<AttemptState> {
        Some(self.planners.get(planner)?.attempts.get(&id)?.0)
    }

    /// Returns the payload of an attempt, or `None` if it is unknown here.
    pub fn payload(&self, planner: &P, id: AttemptId) -> Option<&D> {
        Some(&self.planners.get(planner)?.attempts.get(&id)?.1)
    }

    /// Sets the state of an attempt. With more than `MAX_UNACKNOWLEDGED` unacknowledged outcomes of
    /// the planner, drops the oldest one.
    pub fn set_state(&mut self, planner: &P, id: AttemptId, state: AttemptState) {
        let Some(held) = self.planners.get_mut(planner) else { return };
        if let Some(entry) = held.attempts.get_mut(&id) {
            entry.0 = state;
        }
        let unacknowledged = |(_, (state, _)): &(&AttemptId, &(AttemptState, D))| {
            matches!(state, AttemptState::Failed | AttemptState::Ended(_))
        };
        if held.attempts.len() > MAX_UNACKNOWLEDGED
            && held.attempts.iter().filter(unacknowledged).count() > MAX_UNACKNOWLEDGED
        {
            if let Some(oldest) = held.attempts.iter().find(unacknowledged).map(|(id, _)| *id) {
                held.attempts.remove(&oldest);
            }
        }
    }

    /// Removes an attempt. A refused attempt need not be kept, since an attempt that is unknown
    /// here never ran.
    pub fn forget(&mut self, planner: &P, id: AttemptId) {
        if let Some(held) = self.planners.get_mut(planner) {
            held.attempts.remove(&id);
        }
    }

    /// Removes an attempt whose outcome the planner has acknowledged.
    pub fn acknowledge(&mut self, planner: &P, id: AttemptId) {
        if matches!(self.state(planner, id), Some(AttemptState::Failed | AttemptState::Ended(_))) {
            self.forget(planner, id);
        }
    }

    /// Returns the inventory to send first on a new link of the planner: the unacknowledged
    /// outcomes, then every attempt that has not ended.
    pub fn inventory(&self, planner: &P) -> Inventory<D> {
        let (mut endings, mut active) = (Vec::new(), Vec::new());
        for (&id, (state, payload)) in self.planners.get(planner).iter().flat_map(|held| &held.attempts) {
            match state {
                AttemptState::Failed | AttemptState::Ended(_) => endings.push((id, reply_for(*state))),
                _ => active.push((id, *state, payload.clone())),
            }
        }
        (endings, active)
    }

    /// Returns the number of attempts of all planners that have not ended.
    pub fn active_count(&self) -> usize {
        let active = |held: &PlannerAttempts<D>| {
            held.attempts
                .values()
                .filter(|attempt| !matches!(attempt.0, AttemptState::Failed | AttemptState::Ended(_)))
                .count()
        };
        self.planners.values().map(active).sum()
    }
}
