//! The machine's end of the launches: what it knows of each planner's, and what it says when it is asked
//! twice. No I/O. A launch has one effect however often its frame comes; an older life of a planner is fenced
//! off; an ending is said until the planner has noted it; an inventory holds everything that could still run.
use std::collections::BTreeMap;

/// A planner's epoch and the number of a launch in it.
pub type AttemptId = (u64, u64);

/// Endings that no planner noted are kept up to this number a planner, the newest ones.
pub const MOST_UNNOTED: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// In the line of offers; nothing was said.
    Queued,
    Accepted,
    Running,
    Failed,
    /// It ended; how is the caller's number.
    Ended(u8),
}

/// What to say of a launch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptReply {
    Nothing,
    Accepted,
    /// It never ran here and never will.
    NotHere,
    Failed,
    Ended(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlannerAttempts<D> {
    epoch: u64,
    link: u64,
    launches: BTreeMap<AttemptId, (AttemptState, D)>,
}

/// Endings that were not noted, and what is held.
pub type Inventory<D> = (Vec<(AttemptId, AttemptReply)>, Vec<(AttemptId, AttemptState, D)>);

/// What a machine holds, by planner. `P` names planners, `D` is what came with a launch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptTable<P, D> {
    sides: BTreeMap<P, PlannerAttempts<D>>,
}

impl<P, D> Default for AttemptTable<P, D> {
    fn default() -> Self {
        AttemptTable { sides: BTreeMap::new() }
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
    /// A planner says hello. False: it is an older life, or an older link, of one that was here since. On
    /// true every older link is out of use, and what its earlier life left in the line of offers is dropped.
    pub fn admit_link(&mut self, planner: &P, epoch: u64, link: u64) -> bool {
        let new = || PlannerAttempts { epoch, link, launches: BTreeMap::new() };
        let side = self.sides.entry(planner.clone()).or_insert_with(new);
        if (epoch, link) < (side.epoch, side.link) {
            return false;
        }
        if epoch > side.epoch {
            side.launches.retain(|_, (state, _)| *state != AttemptState::Queued);
        }
        (side.epoch, side.link) = (epoch, link);
        true
    }

    /// Whether frames of this link still count.
    pub fn is_current(&self, planner: &P, epoch: u64, link: u64) -> bool {
        self.sides.get(planner).is_some_and(|s| (s.epoch, s.link) == (epoch, link))
    }

    /// A launch came. `Nothing`: it is new and now in line, or it is in line already.
    pub fn launch(&mut self, planner: &P, id: AttemptId, with: D) -> (AttemptReply, bool) {
        let Some(side) = self.sides.get_mut(planner) else { return (AttemptReply::NotHere, false) };
        if let Some((state, _)) = side.launches.get(&id) {
            return (reply_for(*state), false);
        }
        if id.0 != side.epoch {
            return (AttemptReply::NotHere, false);
        }
        side.launches.insert(id, (AttemptState::Queued, with));
        (AttemptReply::Nothing, true)
    }

    /// The planner waits no longer: what is still in line is dropped, and the rest is said.
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

    pub fn state(&self, planner: &P, id: AttemptId) -> Option<AttemptState> {
        Some(self.sides.get(planner)?.launches.get(&id)?.0)
    }

    pub fn payload(&self, planner: &P, id: AttemptId) -> Option<&D> {
        Some(&self.sides.get(planner)?.launches.get(&id)?.1)
    }

    /// A launch came to a new state; endings that nobody notes are bounded.
    pub fn set_state(&mut self, planner: &P, id: AttemptId, state: AttemptState) {
        let Some(side) = self.sides.get_mut(planner) else { return };
        if let Some(entry) = side.launches.get_mut(&id) {
            entry.0 = state;
        }
        let unnoted = |(_, (s, _)): &(&AttemptId, &(AttemptState, D))| {
            matches!(s, AttemptState::Failed | AttemptState::Ended(_))
        };
        if side.launches.len() > MOST_UNNOTED && side.launches.iter().filter(unnoted).count() > MOST_UNNOTED {
            if let Some(oldest) = side.launches.iter().find(unnoted).map(|(id, _)| *id) {
                side.launches.remove(&oldest);
            }
        }
    }

    /// A refusal needs no memory: what is not known here never ran.
    pub fn forget(&mut self, planner: &P, id: AttemptId) {
        if let Some(side) = self.sides.get_mut(planner) {
            side.launches.remove(&id);
        }
    }

    /// The planner has taken note of an ending.
    pub fn acknowledge(&mut self, planner: &P, id: AttemptId) {
        if matches!(self.state(planner, id), Some(AttemptState::Failed | AttemptState::Ended(_))) {
            self.forget(planner, id);
        }
    }

    /// What a new link begins with: endings that were not noted, to be said first, then all that is held.
    pub fn inventory(&self, planner: &P) -> Inventory<D> {
        let (mut endings, mut held) = (Vec::new(), Vec::new());
        for (&id, (state, with)) in self.sides.get(planner).iter().flat_map(|s| &s.launches) {
            match state {
                AttemptState::Failed | AttemptState::Ended(_) => endings.push((id, reply_for(*state))),
                _ => held.push((id, *state, with.clone())),
            }
        }
        (endings, held)
    }

    /// Launches of all planners that are not ended.
    pub fn active_count(&self) -> usize {
        let of = |s: &PlannerAttempts<D>| {
            s.launches
                .values()
                .filter(|x| !matches!(x.0, AttemptState::Failed | AttemptState::Ended(_)))
                .count()
        };
        self.sides.values().map(of).sum()
    }
}
