//! Every state that sweeps of two servers can bring about within bounds: servers fail, hang, answer in part,
//! lag behind, or lose much; entries come and go in the directory. In none does an entry leave for any reason
//! but that a complete sweep of a server that is not behind lacked it.
use basaltpitch_tenants::change_guard::{ChangeGuard, ChangeReview};
use basaltpitch_tenants::sync_schedule::{DirectoryState, SyncOutcome, SyncSchedule, SyncScheduler};
use basaltpitch_tenants::{Entry, EntryKind, Id, Sweep, Tenants};
use pathfinding::prelude::bfs_reach;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const PACE: SyncSchedule = SyncSchedule {
    every_us: 10,
    patience_us: 30,
    fresh_us: 25,
    first_wait_us: 4,
    most_wait_us: 16,
    slower: 4,
};
const CAUTION: ChangeGuard = ChangeGuard { few: 1, percent: 0, sweeps: 2, over_us: 12 };
const UNTIL: i64 = 56;

#[derive(Clone, Debug)]
struct World {
    now: i64,
    health: SyncScheduler,
    trust: ChangeReview,
    ours: Tenants,
    /// Entries of the directory, and those of the second server, which may lag: ids, and how often something
    /// changed.
    there: (BTreeSet<u128>, u32),
    replica: (BTreeSet<u128>, u32),
    under: Option<usize>,
    edits: u8,
    /// Servers say how far they are; else an entry of the directory's own changes with every change.
    marks: bool,
    wrong: Option<&'static str>,
}

impl World {
    fn key(&self) -> impl Hash + Eq + '_ {
        let ours: Vec<Id> = self.ours.ids().map(|x| x.0).collect();
        (self.now, &self.health, &self.trust, ours, &self.there, &self.replica, self.under, self.edits)
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

/// Tenants 1 to 3; entry 0 is the directory's own, which changes with every change.
fn entries(of: &(BTreeSet<u128>, u32), marks: bool) -> Vec<Entry> {
    let entry = |id: u128, stamp: u32| Entry {
        id: Id(id),
        kind: if id == 0 { EntryKind::Group } else { EntryKind::Tenant { share: 0.3 } },
        name: format!("t{id}"),
        dn: format!("cn=t{id}"),
        members: Vec::new(),
        stamp: format!("{stamp:04}"),
    };
    of.0.iter().map(|&id| entry(id, 1)).chain([entry(0, if marks { 1 } else { of.1 })]).collect()
}

impl World {
    fn new(marks: bool) -> Self {
        let there = (BTreeSet::from([1, 2, 3]), 1);
        World {
            now: 0,
            health: SyncScheduler::new(1, 0, 2, None, PACE),
            trust: ChangeReview::default(),
            ours: Tenants::default(),
            replica: there.clone(),
            there,
            under: None,
            edits: 0,
            marks,
            wrong: None,
        }
    }

    fn sweep_ends(&mut self, how: SyncOutcome, only: usize) {
        let Some(server) = self.under.take() else { return };
        let source = if server == 0 { self.there.clone() } else { self.replica.clone() };
        let mut how = how;
        if how != SyncOutcome::Failed {
            let mut all = entries(&source, self.marks);
            if how == SyncOutcome::Partial {
                all.truncate(only);
            }
            let before: BTreeSet<Id> = self.ours.ids().map(|x| x.0).collect();
            let mut sweep = Sweep::of(all, how == SyncOutcome::Full);
            if self.marks {
                sweep.mark.insert("001".into(), format!("{:04}", source.1));
            }
            let believed = self.trust.judge(self.now, &self.ours, sweep, CAUTION);
            if believed.older {
                how = SyncOutcome::Partial;
            }
            let many = before.iter().filter(|id| id.0 > 0 && !source.0.contains(&id.0)).count() > CAUTION.few;
            self.ours.take(self.now, believed.entries, &believed.gone);
            let after: BTreeSet<Id> = self.ours.ids().map(|x| x.0).collect();
            for id in before.difference(&after) {
                if how != SyncOutcome::Full {
                    self.wrong = Some("an entry left by a partial answer or an older replica");
                }
                if source.0.contains(&id.0) {
                    self.wrong = Some("an entry left that the directory has");
                }
                if many && believed.gone.len() > 1 && self.now < CAUTION.over_us {
                    self.wrong = Some("many entries left before that was confirmed");
                }
            }
        }
        self.health.ended(self.now, how);
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        let mut with = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            all.push(next);
        };
        if self.now < UNTIL {
            with(&|w| {
                w.now += 8;
                if let Some(server) = w.health.next(w.now) {
                    w.under = Some(server);
                }
            });
        }
        if self.under.is_some() {
            with(&|w| w.health.answered());
            with(&|w| w.sweep_ends(SyncOutcome::Full, 0));
            with(&|w| w.sweep_ends(SyncOutcome::Partial, 1));
            with(&|w| w.sweep_ends(SyncOutcome::Failed, 0));
        }
        if self.edits < 2 {
            with(&|w| {
                w.edits += 1;
                w.there.0.pop_first();
                w.there.1 += 1;
            });
            with(&|w| {
                w.edits += 1;
                w.there.0.clear();
                w.there.1 += 1;
            });
        }
        if self.replica != self.there {
            with(&|w| w.replica = w.there.clone());
        }
        all
    }
}

#[test]
fn nothing_leaves_by_a_partial_answer() {
    [false, true].into_iter().for_each(every_state);
}

fn every_state(marks: bool) {
    let (mut seen, mut states) = (0usize, BTreeSet::new());
    for world in bfs_reach(World::new(marks), World::next) {
        seen += 1;
        assert_eq!(world.wrong, None, "state {seen}: {world:#?}");
        states.insert(format!("{:?}", world.health.state(world.now)));
        let known = world.ours.ids().next().is_some();
        // A partial answer can make entries known before all was heard: that is still blind, and said so.
        assert!(
            known
                || matches!(
                    world.health.state(world.now),
                    DirectoryState::Blind
                        | DirectoryState::Fresh
                        | DirectoryState::Stale
                        | DirectoryState::Recovering
                )
        );
    }
    println!("{seen} states");
    assert_eq!(states.into_iter().collect::<Vec<_>>(), ["Blind", "Fresh", "Recovering", "Stale"]);
}
