//! The attempts that a machine holds, by planner: their states, and the reply when one is asked for again. No
//! I/O. An attempt takes effect once however often its frame comes; older incarnations of a planner are
//! fenced off; an ending is repeated until the planner has acknowledged it; an inventory holds everything
//! that could still run.
use std::collections::BTreeMap;

/// A planner's epoch and the number of an attempt in it.
pub type AttemptId = (u64, u64);

/// Endings that no planner acknowledged are kept up to this number a planner, the newest ones.
pub const MAX_UNACKNOWLEDGED: usize = 20_000;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// It waits to be considered; the planner has no reply yet.
    Queued,
    /// The machine takes it.
    Accepted,
    /// It runs.
    Running,
    /// It could not be started.
    Failed,
    /// It ended; how is the caller's number.
    Ended(u8),
}

/// What to reply about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptReply {
    /// Nothing yet.
    Nothing,
    /// The machine took it.
    Accepted,
    /// It never ran here and never will.
    NotHere,
    /// It could not be started.
    Failed,
    /// It ended; how is the caller's number.
    Ended(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlannerAttempts<D> {
    epoch: u64,
    link: u64,
    attempts: BTreeMap<AttemptId, (AttemptState, D)>,
}

/// Endings that were not acknowledged, and the attempts that have not ended.
pub type Inventory<D> = (Vec<(AttemptId, AttemptReply)>, Vec<(AttemptId, AttemptState, D)>);

/// A machine's attempts. `P` identifies planners, `D` is what came with an attempt.
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
    /// A planner opens a link. False: it is an older incarnation, or an older link, of one that was here since.
    /// On true every older link is out of use, and what an earlier incarnation left queued is dropped.
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

    /// Whether frames of this link still count.
    pub fn is_current(&self, planner: &P, epoch: u64, link: u64) -> bool {
        self.planners.get(planner).is_some_and(|held| (held.epoch, held.link) == (epoch, link))
    }

    /// An attempt came: the reply, and whether it is new. `Nothing`: it is queued now, or was already.
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

    /// The planner waits no longer: what is still queued is dropped; the reply says what became of the rest.
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

    /// The state of an attempt; none where it is not known here.
    pub fn state(&self, planner: &P, id: AttemptId) -> Option<AttemptState> {
        Some(self.planners.get(planner)?.attempts.get(&id)?.0)
    }

    /// What came with an attempt; none where it is not known here.
    pub fn payload(&self, planner: &P, id: AttemptId) -> Option<&D> {
        Some(&self.planners.get(planner)?.attempts.get(&id)?.1)
    }

    /// An attempt came to a new state. Endings that nobody acknowledges are bounded: the oldest one goes.
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

    /// Removes an attempt. A refusal needs no memory: what is not known here never ran.
    pub fn forget(&mut self, planner: &P, id: AttemptId) {
        if let Some(held) = self.planners.get_mut(planner) {
            held.attempts.remove(&id);
        }
    }

    /// The planner has acknowledged an ending.
    pub fn acknowledge(&mut self, planner: &P, id: AttemptId) {
        if matches!(self.state(planner, id), Some(AttemptState::Failed | AttemptState::Ended(_))) {
            self.forget(planner, id);
        }
    }

    /// What a new link begins with: endings that were not acknowledged, to be sent first, then every attempt
    /// that has not ended.
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

    /// Attempts of all planners that have not ended.
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
