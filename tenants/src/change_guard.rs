//! Decides which changes of a directory synchronization are accepted. No I/O; times are
//! microseconds.
//!
//! Entries that are missing from an incomplete synchronization, or from one of a lagging replica,
//! are never treated as deleted. If many entries are missing at once, their removal is held while
//! the other changes are accepted, until further synchronizations over some time confirm the
//! removal, or an operator accepts it.
//!
//! A server lags if it returns an older version of a known entry, or if its change sequence numbers
//! (`contextCSN`) are behind. If a server without such numbers lacks an entry that is newer than
//! all its own, it may lag or the entry may have been deleted: that removal is held as well.
use crate::{DirectoryUpdate, Entry, EntryKind, Id, Mark, Tenants};
use std::collections::BTreeSet;

/// Limits above which a removal is held, and what confirms a held removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeGuard {
    /// Number of tenants, or of persons, that may be missing from one synchronization without their
    /// removal being held. The greater of this and `max_removed_percent` applies.
    pub max_removed_count: usize,
    /// Percentage of the tenants, or of the persons, that may be missing in the same way.
    pub max_removed_percent: usize,
    /// Number of consecutive synchronizations that must lack the entries to confirm their removal.
    pub confirming_syncs: u32,
    /// Minimum time from the first of those synchronizations to the last, in microseconds.
    pub confirming_time_us: i64,
}

/// The default limits.
pub const DEFAULT_CHANGE_GUARD: ChangeGuard = ChangeGuard {
    max_removed_count: 2,
    max_removed_percent: 10,
    confirming_syncs: 3,
    confirming_time_us: 600_000_000,
};

/// A removal that waits for confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldRemoval {
    /// The entries that would be removed.
    pub ids: BTreeSet<Id>,
    /// When the first of the consecutive synchronizations lacked the entries, in microseconds.
    pub since: i64,
    /// Number of consecutive synchronizations that lacked the entries.
    pub syncs: u32,
}

/// The changes of a synchronization that are to be applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedChanges {
    /// Entries to add or update.
    pub entries: Vec<Entry>,
    /// Ids of the entries to remove.
    pub removed: Vec<Id>,
    /// Whether the server lags behind what was received before.
    pub server_lags: bool,
    /// Whether the server reports entries as unchanged that are not known, so that the next
    /// synchronization with it must be a full one.
    pub has_unknown_entries: bool,
    /// Whether an operator accepted the synchronization, so that its entries replace newer ones.
    pub forced: bool,
}

/// Decides which changes of each synchronization are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeReview {
    held: Option<HeldRemoval>,
    /// Whether a server lagged, and no complete and up-to-date synchronization has followed.
    behind: bool,
    /// Whether an operator has accepted the next complete synchronization.
    accepted: bool,
    /// The highest change sequence numbers that any server reported.
    mark: Mark,
}

impl ChangeReview {
    /// Returns the removal that waits for confirmation, if any.
    pub fn held_removal(&self) -> Option<&HeldRemoval> {
        self.held.as_ref()
    }

    /// Returns whether a server lagged, and no complete and up-to-date synchronization has
    /// followed.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// Returns the highest change sequence numbers that any server reported.
    pub fn mark(&self) -> &Mark {
        &self.mark
    }

    /// Restores the change sequence numbers that were stored before a restart.
    pub fn restore_mark(&mut self, mark: Mark) {
        self.mark = mark;
    }

    /// Records an operator's order to accept the next complete synchronization as it is: its
    /// removals and, if the directory was restored to an earlier state, entries that are older than
    /// the known ones. Returns `false` without effect if no removal is held and no server lags.
    pub fn accept(&mut self) -> bool {
        self.accepted = self.held.is_some() || self.behind;
        self.accepted
    }

    /// Returns whether a synchronization proves that its server lags.
    fn lags(&self, known: &Tenants, sync: &DirectoryUpdate) -> bool {
        let behind = |(from, seen): (&String, &String)| sync.mark.get(from).is_none_or(|m| m < seen);
        let old = |e: &Entry| known.entry(e.id).is_some_and(|k| e.stamp < k.stamp);
        !sync.mark.is_empty() && self.mark.iter().any(behind) || sync.entries.iter().any(old)
    }

    /// Decides which changes of a synchronization are accepted and which removals are held.
    pub fn review(
        &mut self,
        now: i64,
        known: &Tenants,
        sync: DirectoryUpdate,
        guard: ChangeGuard,
    ) -> AcceptedChanges {
        let server_lags = self.lags(known, &sync);
        let has_unknown_entries = sync.present.iter().any(|&id| known.entry(id).is_none());
        let mut accepted = AcceptedChanges { server_lags, has_unknown_entries, ..AcceptedChanges::default() };
        if !sync.complete || server_lags && !self.accepted {
            self.behind |= server_lags;
            accepted.entries = sync.entries;
            return accepted;
        }
        self.behind = false;
        let present: BTreeSet<Id> = sync.entries.iter().map(|e| e.id).chain(sync.present).collect();
        let lists_removals = sync.deleted.is_some();
        let missing: BTreeSet<Id> = match sync.deleted {
            Some(gone) => {
                gone.into_iter().filter(|id| known.entry(*id).is_some() && !present.contains(id)).collect()
            }
            None => known.entries().map(|x| x.0).filter(|id| !present.contains(id)).collect(),
        };
        accepted.entries = sync.entries;
        if self.accepted {
            // The numbers are replaced rather than merged, as a directory that was restored from a
            // backup starts with lower ones.
            (self.held, self.accepted, self.mark) = (None, false, sync.mark);
            (accepted.removed, accepted.server_lags, accepted.forced) =
                (missing.into_iter().collect(), false, true);
            return accepted;
        }
        let held = if exceeds_limits(known, &missing, guard) {
            missing.clone()
        } else if sync.mark.is_empty() && !lists_removals {
            newer_than_all(known, &present, &accepted.entries, &missing)
        } else {
            BTreeSet::new()
        };
        self.mark.extend(sync.mark);
        accepted.removed = missing.difference(&held).copied().collect();
        if held.is_empty() {
            self.held = None;
            return accepted;
        }
        // The count continues while all entries of the held removal are still missing, and restarts
        // once one of them has come back.
        let held = match self.held.take() {
            Some(h) if h.ids.is_subset(&missing) => {
                HeldRemoval { ids: held, since: h.since, syncs: h.syncs + 1 }
            }
            _ => HeldRemoval { ids: held, since: now, syncs: 1 },
        };
        if held.syncs >= guard.confirming_syncs && now >= held.since + guard.confirming_time_us {
            accepted.removed.extend(held.ids);
        } else {
            self.held = Some(held);
        }
        accepted
    }
}

/// Returns whether more tenants, or more persons, are missing than the guard allows at once.
fn exceeds_limits(known: &Tenants, missing: &BTreeSet<Id>, guard: ChangeGuard) -> bool {
    let exceeds = |is: &dyn Fn(&EntryKind) -> bool| {
        let all = known.entries().filter(|x| is(&x.1.kind)).count();
        let removed = missing.iter().filter(|&&id| known.entry(id).is_some_and(|e| is(&e.kind))).count();
        removed > guard.max_removed_count.max(all * guard.max_removed_percent / 100)
    };
    !missing.is_empty()
        && (exceeds(&|kind| matches!(kind, EntryKind::Tenant { .. }))
            || exceeds(&|kind| *kind == EntryKind::Person))
}

/// Returns the missing entries that are newer than all entries of the server: they were deleted, or
/// the server lags and has not received them yet.
fn newer_than_all(
    known: &Tenants,
    present: &BTreeSet<Id>,
    entries: &[Entry],
    missing: &BTreeSet<Id>,
) -> BTreeSet<Id> {
    let stamp = |id: &Id| known.entry(*id).map(|e| &e.stamp);
    let newest = present.iter().filter_map(stamp).chain(entries.iter().map(|e| &e.stamp)).max();
    missing.iter().copied().filter(|id| stamp(id) > newest).collect()
}
