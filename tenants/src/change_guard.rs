//! What of a sweep is believed. A sweep that is not complete, or from an older replica, is never read as a
//! deletion. A sweep in which much is missing at once is held: what it adds counts, what it lacks does not,
//! until sweeps over some time agree, or an operator says so. No I/O; times are whole microseconds.
//!
//! A server lags where it gives an entry older than it is known, or says so itself by its mark
//! (`contextCSN`). Where it gives no mark and lacks an entry newer than all that it has, it may lag or the
//! entry may have been deleted: that removal is held as well.
use crate::{Entry, EntryKind, Id, Mark, Sweep, Tenants};
use std::collections::BTreeSet;

/// When a removal is held, and what confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeGuard {
    /// So many tenants may go in one sweep, or such a share of them (in a hundred), whichever is more.
    pub few: usize,
    /// The share, in a hundred.
    pub percent: usize,
    /// A held removal is believed once so many sweeps in a row, over so long, lacked the same.
    pub sweeps: u32,
    /// The least time, in microseconds, from the first of those sweeps to the last.
    pub over_us: i64,
}

/// The guard where settings say nothing else.
pub const DEFAULT_CHANGE_GUARD: ChangeGuard =
    ChangeGuard { few: 2, percent: 10, sweeps: 3, over_us: 600_000_000 };

/// A removal that is not believed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldChanges {
    /// The entries that sweeps lack.
    pub ids: BTreeSet<Id>,
    /// When the first of the sweeps in a row lacked them, in microseconds.
    pub since: i64,
    /// How many sweeps in a row lacked them.
    pub sweeps: u32,
}

/// What to take in of a sweep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedChanges {
    /// Entries that are there.
    pub entries: Vec<Entry>,
    /// Entries that were removed.
    pub gone: Vec<Id>,
    /// The sweep came from a server that lags behind what was seen before.
    pub older: bool,
    /// The server names entries as unchanged that are not known: all of it must be read anew.
    pub unknown: bool,
    /// An operator's word: entries count however old they are.
    pub as_is: bool,
}

/// Decides what of each sweep is accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeReview {
    held: Option<HeldChanges>,
    /// The last complete sweep came from a server that lags.
    behind: bool,
    accepted: bool,
    mark: Mark,
}

impl ChangeReview {
    /// The removal that is held, if one is.
    pub fn held(&self) -> Option<&HeldChanges> {
        self.held.as_ref()
    }

    /// Whether the last complete sweep came from a server that lags.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// How far any server ever said that it was.
    pub fn mark(&self) -> &Mark {
        &self.mark
    }

    /// Sets the mark that was stored before a restart.
    pub fn remember(&mut self, mark: Mark) {
        self.mark = mark;
    }

    /// An operator's word: the next complete sweep is believed as it is, with what it lacks and, where the
    /// directory was set back to an earlier state, with entries that are older than they were known. False:
    /// nothing is held and no server lags.
    pub fn accept(&mut self) -> bool {
        self.accepted = self.held.is_some() || self.behind;
        self.accepted
    }

    /// Whether a sweep proves that its server lags.
    fn lags(&self, known: &Tenants, sweep: &Sweep) -> bool {
        let behind = |(from, seen): (&String, &String)| sweep.mark.get(from).is_none_or(|m| m < seen);
        let old = |e: &Entry| known.entry(e.id).is_some_and(|k| e.stamp < k.stamp);
        !sweep.mark.is_empty() && self.mark.iter().any(behind) || sweep.entries.iter().any(old)
    }

    /// Decides what of a sweep is accepted, and what is held.
    pub fn judge(
        &mut self,
        now: i64,
        known: &Tenants,
        sweep: Sweep,
        caution: ChangeGuard,
    ) -> AcceptedChanges {
        let older = self.lags(known, &sweep);
        let unknown = sweep.present.iter().any(|&id| known.entry(id).is_none());
        let mut believed = AcceptedChanges { older, unknown, ..AcceptedChanges::default() };
        if !sweep.complete || older && !self.accepted {
            self.behind |= older;
            believed.entries = sweep.entries;
            return believed;
        }
        self.behind = false;
        let there: BTreeSet<Id> = sweep.entries.iter().map(|e| e.id).chain(sweep.present).collect();
        let named = sweep.gone.is_some();
        let missing: BTreeSet<Id> = match sweep.gone {
            Some(gone) => {
                gone.into_iter().filter(|id| known.entry(*id).is_some() && !there.contains(id)).collect()
            }
            None => known.ids().map(|x| x.0).filter(|id| !there.contains(id)).collect(),
        };
        believed.entries = sweep.entries;
        if self.accepted {
            // The mark starts anew: the directory may have been set back.
            (self.held, self.accepted, self.mark) = (None, false, sweep.mark);
            (believed.gone, believed.older, believed.as_is) = (missing.into_iter().collect(), false, true);
            return believed;
        }
        let held = if much_is_missing(known, &missing, caution) {
            missing.clone()
        } else if sweep.mark.is_empty() && !named {
            newer_than_all(known, &there, &believed.entries, &missing)
        } else {
            BTreeSet::new()
        };
        self.mark.extend(sweep.mark);
        believed.gone = missing.difference(&held).copied().collect();
        if held.is_empty() {
            self.held = None;
            return believed;
        }
        // The same removal again, or more of it: the count goes on. Anything that came back starts it anew.
        let held = match self.held.take() {
            Some(h) if h.ids.is_subset(&missing) => {
                HeldChanges { ids: held, since: h.since, sweeps: h.sweeps + 1 }
            }
            _ => HeldChanges { ids: held, since: now, sweeps: 1 },
        };
        if held.sweeps >= caution.sweeps && now >= held.since + caution.over_us {
            believed.gone.extend(held.ids);
        } else {
            self.held = Some(held);
        }
        believed
    }
}

/// So many tenants or people are missing at once that it is not believed.
fn much_is_missing(known: &Tenants, missing: &BTreeSet<Id>, caution: ChangeGuard) -> bool {
    let much = |is: &dyn Fn(&EntryKind) -> bool| {
        let of = known.ids().filter(|x| is(&x.1.kind)).count();
        let went = missing.iter().filter(|&&id| known.entry(id).is_some_and(|e| is(&e.kind))).count();
        went > caution.few.max(of * caution.percent / 100)
    };
    !missing.is_empty()
        && (much(&|w| matches!(w, EntryKind::Tenant { .. })) || much(&|w| *w == EntryKind::Person))
}

/// Missing entries that are newer than all that the server has: deleted, or not yet heard of there.
fn newer_than_all(
    known: &Tenants,
    there: &BTreeSet<Id>,
    entries: &[Entry],
    missing: &BTreeSet<Id>,
) -> BTreeSet<Id> {
    let stamp = |id: &Id| known.entry(*id).map(|e| &e.stamp);
    let newest = there.iter().filter_map(stamp).chain(entries.iter().map(|e| &e.stamp)).max();
    missing.iter().copied().filter(|id| stamp(id) > newest).collect()
}
