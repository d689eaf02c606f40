//! What of a sweep is believed. A sweep that is not complete, or from an older replica, is never read as a deletion.
//! A sweep in which much is missing at once is held: what it adds counts, what it lacks does not, until sweeps over
//! some time agree, or an operator says so. No I/O; times are whole microseconds.
use crate::{Entry, Id, Sweep, Tenants, What};
use std::collections::BTreeSet;

/// When a removal is held, and what confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caution {
    /// So many tenants may go in one sweep, or such a share of them (in a hundred), whichever is more.
    pub few: usize,
    pub percent: usize,
    /// A held removal is believed once so many sweeps in a row, over so long, lacked the same.
    pub sweeps: u32,
    pub over_us: i64,
}

pub const CAUTION: Caution = Caution { few: 2, percent: 10, sweeps: 3, over_us: 600_000_000 };

/// A removal that is not believed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub ids: BTreeSet<Id>,
    pub since: i64,
    pub sweeps: u32,
}

/// What to take in of a sweep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Believed {
    pub entries: Vec<Entry>,
    pub gone: Vec<Id>,
    /// The sweep came from a server that lags behind what was seen before.
    pub older: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Trust {
    held: Option<Held>,
    accepted: bool,
}

impl Trust {
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// An operator's word: what is held is believed with the next complete sweep that still lacks it. False: nothing is.
    pub fn accept(&mut self) -> bool {
        self.accepted = self.held.is_some();
        self.accepted
    }

    pub fn judge(&mut self, now: i64, known: &Tenants, sweep: Sweep, caution: Caution) -> Believed {
        let newest = sweep.entries.iter().map(|e| &e.stamp).max();
        let older = newest.is_some_and(|n| n < known.newest());
        if !sweep.complete || older {
            return Believed { entries: sweep.entries, gone: Vec::new(), older };
        }
        let there: BTreeSet<Id> = sweep.entries.iter().map(|e| e.id).collect();
        let missing: BTreeSet<Id> = known.ids().map(|x| x.0).filter(|id| !there.contains(id)).collect();
        let is_tenant = |e: &Entry| matches!(e.what, What::Tenant { .. });
        let tenants = known.ids().filter(|x| is_tenant(x.1)).count();
        let went = known.ids().filter(|x| is_tenant(x.1) && missing.contains(&x.0)).count();
        let persons = known.ids().filter(|x| x.1.what == What::Person).count();
        let left = known.ids().filter(|x| x.1.what == What::Person && missing.contains(&x.0)).count();
        let much = |went: usize, of: usize| went > caution.few.max(of * caution.percent / 100);
        if !much(went, tenants) && !much(left, persons) {
            (self.held, self.accepted) = (None, false);
            return Believed { entries: sweep.entries, gone: missing.into_iter().collect(), older };
        }
        // The same removal again, or more of it: the count goes on. Anything that came back starts it anew.
        let held = match self.held.take() {
            Some(h) if h.ids.is_subset(&missing) => {
                Held { ids: missing, since: h.since, sweeps: h.sweeps + 1 }
            }
            _ => Held { ids: missing, since: now, sweeps: 1 },
        };
        if self.accepted || (held.sweeps >= caution.sweeps && now >= held.since + caution.over_us) {
            self.accepted = false;
            return Believed { entries: sweep.entries, gone: held.ids.into_iter().collect(), older };
        }
        self.held = Some(held);
        Believed { entries: sweep.entries, gone: Vec::new(), older }
    }
}
