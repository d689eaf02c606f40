//! Explores all states that synchronizations with two servers can reach within bounds: servers
//! fail, time out, send a part, lag behind or lose many entries, while entries of the directory
//! change. Guards against an entry being removed for any other reason than that a complete
//! synchronization with an up-to-date server lacked it.
use basaltpitch_tenants::change_guard::{ChangeGuard, ChangeReview};
use basaltpitch_tenants::sync_schedule::{DirectoryState, SyncOutcome, SyncSchedule, SyncScheduler};
use basaltpitch_tenants::{DirectoryUpdate, Entry, EntryKind, Id, Tenants};
use pathfinding::prelude::bfs_reach;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const SCHEDULE: SyncSchedule = SyncSchedule {
    interval_us: 10,
    timeout_us: 30,
    stale_after_us: 25,
    initial_backoff_us: 4,
    max_backoff_us: 16,
    max_slowdown: 4,
};
const GUARD: ChangeGuard =
    ChangeGuard { max_removed_count: 1, max_removed_percent: 0, confirming_syncs: 2, confirming_time_us: 12 };
/// End of the exploration, in microseconds.
const UNTIL: i64 = 56;

#[derive(Clone, Debug)]
struct World {
    now: i64,
    scheduler: SyncScheduler,
    review: ChangeReview,
    tenants: Tenants,
    /// Server 0, on which changes are made: ids of its entries, and the number of its last change.
    primary: (BTreeSet<u128>, u32),
    /// Server 1, a replica that may lag, in the same form.
    replica: (BTreeSet<u128>, u32),
    /// Server of the running synchronization.
    running: Option<usize>,
    edits: u8,
    /// Whether servers report change sequence numbers. If not, entry 0 has a new stamp after each
    /// change.
    marks: bool,
    /// The first check that failed, if any.
    violation: Option<&'static str>,
}

impl World {
    fn key(&self) -> impl Hash + Eq + '_ {
        let ids: Vec<Id> = self.tenants.entries().map(|x| x.0).collect();
        (self.now, &self.scheduler, &self.review, ids, &self.primary, &self.replica, self.running, self.edits)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

/// Returns a server's entries: tenants 1 to 3 as far as present, and entry 0, which stands for the
/// directory itself.
fn entries(server: &(BTreeSet<u128>, u32), marks: bool) -> Vec<Entry> {
    let entry = |id: u128, stamp: u32| Entry {
        id: Id(id),
        kind: if id == 0 { EntryKind::Group } else { EntryKind::Tenant { share: 0.3 } },
        name: format!("t{id}"),
        dn: format!("cn=t{id}"),
        members: Vec::new(),
        stamp: format!("{stamp:04}"),
    };
    server.0.iter().map(|&id| entry(id, 1)).chain([entry(0, if marks { 1 } else { server.1 })]).collect()
}

impl World {
    fn new(marks: bool) -> Self {
        let primary = (BTreeSet::from([1, 2, 3]), 1);
        World {
            now: 0,
            scheduler: SyncScheduler::new(1, 0, 2, None, SCHEDULE),
            review: ChangeReview::default(),
            tenants: Tenants::default(),
            replica: primary.clone(),
            primary,
            running: None,
            edits: 0,
            marks,
            violation: None,
        }
    }

    /// Ends the running synchronization. A partial one receives the first `count` entries.
    fn sync_ended(&mut self, outcome: SyncOutcome, count: usize) {
        let Some(server) = self.running.take() else { return };
        let source = if server == 0 { self.primary.clone() } else { self.replica.clone() };
        let mut outcome = outcome;
        if outcome != SyncOutcome::Failed {
            let mut all = entries(&source, self.marks);
            if outcome == SyncOutcome::Partial {
                all.truncate(count);
            }
            let before: BTreeSet<Id> = self.tenants.entries().map(|x| x.0).collect();
            let mut sync = DirectoryUpdate::new(all, outcome == SyncOutcome::Full);
            if self.marks {
                sync.mark.insert("001".into(), format!("{:04}", source.1));
            }
            let accepted = self.review.review(self.now, &self.tenants, sync, GUARD);
            if accepted.server_lags {
                outcome = SyncOutcome::Partial;
            }
            let many = before.iter().filter(|id| id.0 > 0 && !source.0.contains(&id.0)).count()
                > GUARD.max_removed_count;
            self.tenants.apply(self.now, accepted.entries, &accepted.removed);
            let after: BTreeSet<Id> = self.tenants.entries().map(|x| x.0).collect();
            for id in before.difference(&after) {
                if outcome != SyncOutcome::Full {
                    self.violation =
                        Some("an entry was removed by a partial synchronization or a lagging replica");
                }
                if source.0.contains(&id.0) {
                    self.violation = Some("an entry was removed that the server has");
                }
                if many && accepted.removed.len() > 1 && self.now < GUARD.confirming_time_us {
                    self.violation = Some("many entries were removed before the removal was confirmed");
                }
            }
        }
        self.scheduler.ended(self.now, outcome);
    }

    /// Returns the states that follow by one step.
    fn next(&self) -> Vec<World> {
        let mut successors = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            successors.push(next);
        };
        if self.now < UNTIL {
            add(&|w| {
                w.now += 8;
                if let Some(server) = w.scheduler.next(w.now) {
                    w.running = Some(server);
                }
            });
        }
        if self.running.is_some() {
            add(&|w| w.scheduler.first_page_received());
            add(&|w| w.sync_ended(SyncOutcome::Full, 0));
            add(&|w| w.sync_ended(SyncOutcome::Partial, 1));
            add(&|w| w.sync_ended(SyncOutcome::Failed, 0));
        }
        if self.edits < 2 {
            add(&|w| {
                w.edits += 1;
                w.primary.0.pop_first();
                w.primary.1 += 1;
            });
            add(&|w| {
                w.edits += 1;
                w.primary.0.clear();
                w.primary.1 += 1;
            });
        }
        if self.replica != self.primary {
            add(&|w| w.replica = w.primary.clone());
        }
        successors
    }
}

#[test]
fn entries_are_removed_only_by_complete_synchronizations_with_up_to_date_servers() {
    [false, true].into_iter().for_each(explore_states);
}

fn explore_states(marks: bool) {
    let (mut explored, mut states) = (0usize, BTreeSet::new());
    for world in bfs_reach(World::new(marks), World::next) {
        explored += 1;
        assert_eq!(world.violation, None, "state {explored}: {world:#?}");
        states.insert(format!("{:?}", world.scheduler.state(world.now)));
        let known = world.tenants.entries().next().is_some();
        // A partial synchronization can add entries before the first full one: the state stays
        // `Blind`.
        assert!(
            known
                || matches!(
                    world.scheduler.state(world.now),
                    DirectoryState::Blind
                        | DirectoryState::Fresh
                        | DirectoryState::Stale
                        | DirectoryState::Recovering
                )
        );
    }
    println!("{explored} states");
    assert_eq!(states.into_iter().collect::<Vec<_>>(), ["Blind", "Fresh", "Recovering", "Stale"]);
}
