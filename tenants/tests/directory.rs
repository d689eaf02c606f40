//! Entries as a directory gives them, and what becomes of them.
use basaltpitch_tenants::authorization::{authorize, AccessPolicy, AuthorizationBasis, Operation};
use basaltpitch_tenants::change_guard::{ChangeGuard, ChangeReview};
use basaltpitch_tenants::sync_schedule::DirectoryState;
use basaltpitch_tenants::{Change, Entry, EntryKind, Id, Sweep, Tenants, OLD_NAME_SHOWN};
use expect_test::expect;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn entry(id: u128, what: EntryKind, name: &str, members: &[&str], stamp: u32) -> Entry {
    let dn = format!("cn={name}");
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    Entry { id: Id(id), kind: what, name: name.into(), dn, members, stamp: format!("2026{stamp:010}Z") }
}

fn tenant(id: u128, name: &str, members: &[&str], stamp: u32) -> Entry {
    entry(id, EntryKind::Tenant { share: 0.5 }, name, members, stamp)
}

fn person(id: u128, name: &str) -> Entry {
    entry(id, EntryKind::Person, name, &[], 1)
}

fn group(id: u128, name: &str, members: &[&str], stamp: u32) -> Entry {
    entry(id, EntryKind::Group, name, members, stamp)
}

fn small() -> Tenants {
    let mut t = Tenants::default();
    let entries = vec![
        person(1, "asha"),
        person(2, "ravi"),
        person(3, "meera"),
        group(10, "cooks", &["asha", "night"], 1),
        group(11, "night", &["ravi", "cooks"], 1),
        group(12, "keepers", &["meera"], 1),
        tenant(20, "orders", &["cooks"], 1),
        tenant(21, "stores", &["meera", "asha"], 1),
    ];
    t.take(0, entries, &[]);
    t
}

fn members(t: &Tenants, name: &str) -> Vec<&'static str> {
    let all = [(1, "asha"), (2, "ravi"), (3, "meera")];
    let Some(id) = t.find(name, 0) else { return vec!["no such tenant"] };
    all.iter().filter(|p| t.is_member(Id(p.0), id)).map(|p| p.1).collect()
}

#[test]
fn nested_groups_with_a_cycle_and_members_of_several_tenants() {
    let t = small();
    assert_eq!(members(&t, "orders"), ["asha", "ravi"]);
    assert_eq!(members(&t, "stores"), ["asha", "meera"]);
    assert_eq!(t.why(Id(2), Id(20)), ["orders", "cooks", "night"]);
    assert_eq!(t.why(Id(3), Id(20)), [] as [&str; 0]);
}

#[test]
fn a_renamed_tenant_keeps_its_index_and_shows_its_old_name_for_a_while() {
    let mut t = small();
    let index = t.index(Id(20));
    let changes = t.take(1000, vec![tenant(20, "kitchen", &["cooks"], 2)], &[]);
    assert_eq!(changes, [Change::Renamed { id: Id(20), from: "orders".into(), to: "kitchen".into() }]);
    assert_eq!((t.find("orders", 1000 + OLD_NAME_SHOWN), t.index(Id(20))), (None, index));
    assert_eq!(t.find("orders", 2000), Some(Id(20)), "the old name leads to it for a while");
    assert_eq!(t.tenant(Id(20), 2000).unwrap().was.as_deref(), Some("orders"));
    assert_eq!(t.tenant(Id(20), 1000 + OLD_NAME_SHOWN).unwrap().was, None);
}

/// Renamed, and another created under the old name, in one sweep and in either order of entries.
#[test]
fn another_tenant_under_the_old_name_is_another() {
    for swapped in [false, true] {
        let mut t = small();
        let mut entries = vec![tenant(20, "kitchen", &["cooks"], 2), tenant(30, "orders", &["meera"], 2)];
        if swapped {
            entries.reverse();
        }
        t.take(1000, entries, &[]);
        assert_eq!(
            (t.find("orders", 0), t.find("kitchen", 0)),
            (Some(Id(30)), Some(Id(20))),
            "swapped: {swapped}"
        );
        assert_eq!(members(&t, "kitchen"), ["asha", "ravi"]);
        assert_eq!(members(&t, "orders"), ["meera"]);
        assert_ne!(t.index(Id(20)), t.index(Id(30)));
    }
}

#[test]
fn moved_below_another_tenant_and_a_group_renamed_before_its_mentions_are() {
    let mut t = small();
    t.take(1, vec![tenant(21, "stores", &["meera", "asha", "orders"], 2)], &[]);
    assert_eq!(members(&t, "stores"), ["asha", "ravi", "meera"]);
    assert!(t.is_below(Id(20), Id(21)) && !t.is_below(Id(21), Id(20)));
    // The directory has renamed the group, and not yet its mention in the tenant.
    t.take(2, vec![group(10, "chefs", &["asha", "night"], 3)], &[]);
    assert_eq!(members(&t, "orders"), ["asha", "ravi"]);
}

#[test]
fn deleted_and_restored_and_a_late_word_of_before() {
    let mut t = small();
    let index = t.index(Id(20));
    t.take(1, vec![group(12, "keepers", &["meera"], 5)], &[]);
    t.take(2, vec![], &[Id(20)]);
    assert_eq!((t.find("orders", 0), t.index(Id(20))), (None, None));
    t.take(3, vec![tenant(20, "orders", &["meera"], 0)], &[]);
    assert_eq!(t.find("orders", 0), None, "older than what went");
    t.take(4, vec![tenant(20, "orders", &["meera"], 6)], &[]);
    assert_eq!((members(&t, "orders"), t.index(Id(20))), (vec!["meera"], index));
    t.take(5, vec![tenant(20, "orders", &["asha"], 4)], &[]);
    assert_eq!(members(&t, "orders"), ["meera"], "older than what is known");
}

#[test]
fn who_may_do_what() {
    let t = small();
    let terms =
        AccessPolicy { operators: vec!["cn=keepers".into()], place_stale: true, ..AccessPolicy::default() };
    let mut table = String::new();
    for login in ["asha", "ravi", "meera", "nobody"] {
        let asks = [
            ("submit for orders", Operation::Submit { tenant: "orders" }),
            ("submit for stores", Operation::Submit { tenant: "stores" }),
            ("submit for nothing", Operation::Submit { tenant: "nothing" }),
            ("drain", Operation::Drain),
            ("see a task of orders", Operation::See { tenant: t.find("orders", 0) }),
        ];
        for (words, asks) in asks {
            let r = authorize(&t, 0, DirectoryState::Fresh, &terms, login, asks);
            table += &format!(
                "{login:7} {words:21} {:4} {}\n",
                if r.may { "yes" } else { "no" },
                r.basis.description()
            );
        }
    }
    expect![[r#"
        asha    submit for orders     yes  a member of the tenant
        asha    submit for stores     yes  a member of the tenant
        asha    submit for nothing    no   the directory knows no such tenant
        asha    drain                 no   not an operator
        asha    see a task of orders  yes  a member of the tenant
        ravi    submit for orders     yes  a member of the tenant
        ravi    submit for stores     no   not a member of the tenant
        ravi    submit for nothing    no   the directory knows no such tenant
        ravi    drain                 no   not an operator
        ravi    see a task of orders  yes  a member of the tenant
        meera   submit for orders     no   not a member of the tenant
        meera   submit for stores     yes  a member of the tenant
        meera   submit for nothing    no   the directory knows no such tenant
        meera   drain                 yes  an operator
        meera   see a task of orders  yes  an operator
        nobody  submit for orders     no   the directory knows no such person
        nobody  submit for stores     no   the directory knows no such person
        nobody  submit for nothing    no   the directory knows no such person
        nobody  drain                 no   the directory knows no such person
        nobody  see a task of orders  no   the directory knows no such person
    "#]]
    .assert_eq(&table);
}

#[test]
fn what_may_be_decided_in_each_state() {
    let t = small();
    let submit = Operation::Submit { tenant: "orders" };
    for place in [true, false] {
        let terms = AccessPolicy { place_stale: place, place_blind: place, ..AccessPolicy::default() };
        for state in [DirectoryState::Stale, DirectoryState::Recovering] {
            let r = authorize(&t, 0, state, &terms, "asha", submit);
            assert_eq!((r.may, r.stale), (place, true), "{state:?}");
            assert!(
                authorize(&t, 0, state, &terms, "asha", Operation::See { tenant: t.find("orders", 0) }).may,
                "looking goes on"
            );
        }
        let r = authorize(&Tenants::default(), 0, DirectoryState::Blind, &terms, "asha", submit);
        assert_eq!((r.may, r.stale), (place, true));
        assert_eq!(
            authorize(&t, 0, DirectoryState::Blind, &terms, "asha", Operation::Drain).basis,
            AuthorizationBasis::NothingKnown
        );
        let terms = AccessPolicy { always: vec!["watch".into()], ..terms };
        assert_eq!(
            authorize(&t, 0, DirectoryState::Blind, &terms, "watch", Operation::Drain).basis,
            AuthorizationBasis::Always
        );
        assert_eq!(authorize(&t, 0, DirectoryState::Blind, &terms, "watch", submit).may, place);
    }
}

const QUICK: ChangeGuard = ChangeGuard { few: 1, percent: 10, sweeps: 3, over_us: 100 };

fn sweep(entries: Vec<Entry>, complete: bool) -> Sweep {
    Sweep::of(entries, complete)
}

#[test]
fn a_sudden_lack_of_many_tenants_is_held_until_it_is_confirmed() {
    let (t, mut trust) = (small(), ChangeReview::default());
    let mut rest: Vec<Entry> =
        t.ids().map(|x| x.1.clone()).filter(|e| !matches!(e.kind, EntryKind::Tenant { .. })).collect();
    rest.push(person(9, "late"));
    rest.last_mut().unwrap().stamp = format!("2026{:010}Z", 9);
    for (at, sweeps) in [(0, 1), (50, 2), (99, 3)] {
        assert_eq!(trust.judge(at, &t, sweep(rest.clone(), true), QUICK).gone, [], "sweep {sweeps}");
        assert_eq!(trust.held().unwrap().sweeps, sweeps);
    }
    assert_eq!(trust.judge(100, &t, sweep(rest.clone(), true), QUICK).gone, [Id(20), Id(21)]);
    assert_eq!(trust.held(), None);
    // An operator's word is enough.
    trust.judge(0, &t, sweep(rest.clone(), true), QUICK);
    assert!(trust.accept());
    assert_eq!(trust.judge(1, &t, sweep(rest, true), QUICK).gone, [Id(20), Id(21)]);
    assert!(!trust.accept(), "nothing is held any more");
}

#[test]
fn a_held_removal_that_comes_back_is_forgotten() {
    let (t, mut trust) = (small(), ChangeReview::default());
    let all: Vec<Entry> = t.ids().map(|x| x.1.clone()).collect();
    let rest: Vec<Entry> =
        all.iter().filter(|e| !matches!(e.kind, EntryKind::Tenant { .. })).cloned().collect();
    trust.judge(0, &t, sweep(rest.clone(), true), QUICK);
    trust.judge(50, &t, sweep(all, true), QUICK);
    assert_eq!(trust.held(), None);
    assert_eq!(trust.judge(200, &t, sweep(rest, true), QUICK).gone, []);
}

#[test]
fn the_newest_entry_can_be_deleted_and_a_server_that_lacks_it_may_only_lag() {
    let (t, mut trust) = (small(), ChangeReview::default());
    let mut all: Vec<Entry> = t.ids().map(|x| x.1.clone()).collect();
    let newest = all.iter().map(|e| e.stamp.clone()).max().unwrap();
    all[0].stamp = format!("{newest}Z");
    let id = all[0].id;
    let mut t = t;
    t.take(0, vec![all[0].clone()], &[]);
    let rest = all.split_off(1);
    // Without a mark it is held, and believed in time.
    assert_eq!(trust.judge(0, &t, sweep(rest.clone(), true), QUICK).gone, []);
    assert_eq!(trust.held().unwrap().ids, [id].into());
    trust.judge(50, &t, sweep(rest.clone(), true), QUICK);
    assert_eq!(trust.judge(100, &t, sweep(rest.clone(), true), QUICK).gone, [id]);
    // A mark tells at once which it is.
    let marked = |n: &str| {
        let mark = [("001".to_owned(), n.to_owned())].into();
        Sweep { mark, ..sweep(rest.clone(), true) }
    };
    let mut trust = ChangeReview::default();
    trust.judge(0, &t, Sweep { mark: marked("5").mark, ..sweep(all, false) }, QUICK);
    trust.remember(marked("5").mark);
    let behind = trust.judge(1, &t, marked("4"), QUICK);
    assert!(behind.older && behind.gone.is_empty() && trust.is_behind());
    assert_eq!(trust.judge(2, &t, marked("6"), QUICK).gone, [id]);
}

#[test]
fn a_directory_that_was_set_back_is_believed_by_an_operators_word_alone() {
    let (mut t, mut trust) = (small(), ChangeReview::default());
    let all: Vec<Entry> = t.ids().map(|x| x.1.clone()).collect();
    let later: Vec<Entry> = all.iter().cloned().map(|e| Entry { stamp: "2027".into(), ..e }).collect();
    t.take(0, later, &[]);
    for now in [1, 1_000, 1_000_000] {
        assert!(trust.judge(now, &t, sweep(all.clone(), true), QUICK).older);
    }
    assert!(trust.accept());
    let believed = trust.judge(2_000_000, &t, sweep(all, true), QUICK);
    assert!(believed.as_is && !believed.older && !trust.is_behind());
}

/// A random directory beside a plain one that is worked out anew each time.
#[derive(Clone, Debug)]
enum Edit {
    Members(u8, Vec<u8>),
    Rename(u8, u8),
    Delete(u8),
    Restore(u8),
    Sweep,
    /// A sweep that lost all after so many entries.
    Cut(u8),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        5 => (0u8..8, proptest::collection::vec(0u8..16, 0..6)).prop_map(|(g, m)| Edit::Members(g, m)),
        2 => (0u8..16, 0u8..4).prop_map(|(e, n)| Edit::Rename(e, n)),
        1 => (0u8..16).prop_map(Edit::Delete),
        1 => (0u8..16).prop_map(Edit::Restore),
        4 => Just(Edit::Sweep),
        3 => (0u8..16).prop_map(Edit::Cut),
    ]
}

/// Entries 0 to 3 are tenants, 4 to 7 groups, 8 to 15 persons.
struct Reference {
    entries: BTreeMap<u8, (u8, BTreeSet<u8>, u32)>,
    stamp: u32,
}

impl Reference {
    fn new() -> Self {
        Reference { entries: (0..16).map(|e| (e, (0, BTreeSet::new(), 1))).collect(), stamp: 1 }
    }

    fn dn(&self, e: u8) -> String {
        self.entries.get(&e).map_or_else(|| format!("cn=gone{e}"), |x| format!("cn=e{e}v{}", x.0))
    }

    /// The directory mends mentions of a renamed entry in the same change.
    fn all(&self) -> Vec<Entry> {
        let of = |(&e, (version, members, stamp)): (&u8, &(u8, BTreeSet<u8>, u32))| Entry {
            id: Id(u128::from(e)),
            kind: match e {
                0..4 => EntryKind::Tenant { share: 0.1 },
                4..8 => EntryKind::Group,
                _ => EntryKind::Person,
            },
            name: format!("e{e}v{version}"),
            dn: self.dn(e),
            members: members.iter().filter(|m| self.entries.contains_key(m)).map(|&m| self.dn(m)).collect(),
            stamp: format!("{stamp:010}"),
        };
        self.entries.iter().map(of).collect()
    }

    fn touch(&mut self, e: u8) {
        self.stamp += 1;
        let stamp = self.stamp;
        let mentions = self.entries.iter_mut().filter(|(k, x)| **k == e || x.1.contains(&e));
        mentions.for_each(|(_, x)| x.2 = stamp);
    }

    fn holds(&self, g: u8, person: u8) -> bool {
        let mut seen = BTreeSet::from([g]);
        let mut open = vec![g];
        while let Some(at) = open.pop() {
            let Some((_, members, _)) = self.entries.get(&at) else { continue };
            for &m in members.iter().filter(|m| self.entries.contains_key(m)) {
                if m == person {
                    return true;
                }
                if m < 8 && seen.insert(m) {
                    open.push(m);
                }
            }
        }
        false
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn after_a_full_sweep_both_agree_and_a_cut_one_loses_nobody(edits in proptest::collection::vec(edit(), 1..60)) {
        let (mut there, mut ours, mut trust) = (Reference::new(), Tenants::default(), ChangeReview::default());
        let bold = ChangeGuard { few: 100, percent: 100, sweeps: 1, over_us: 0 };
        for (now, edit) in edits.into_iter().chain([Edit::Sweep]).enumerate() {
            let now = now as i64;
            match edit {
                Edit::Members(g, m) => {
                    if let Some(x) = there.entries.get_mut(&g) {
                        x.1 = m.into_iter().collect();
                        there.touch(g);
                    }
                }
                Edit::Rename(e, n) => {
                    if let Some(x) = there.entries.get_mut(&e) {
                        x.0 = n;
                        there.touch(e);
                    }
                }
                Edit::Delete(e) => {
                    there.entries.remove(&e);
                }
                Edit::Restore(e) => {
                    let stamp = there.stamp + 1;
                    there.entries.entry(e).or_insert((0, BTreeSet::new(), stamp));
                    there.touch(e);
                }
                Edit::Cut(n) => {
                    let entries: Vec<Entry> = there.all().into_iter().take(n as usize).collect();
                    let before: BTreeSet<Id> = ours.ids().map(|x| x.0).collect();
                    let believed = trust.judge(now, &ours, Sweep::of(entries, false), bold);
                    prop_assert!(believed.gone.is_empty());
                    ours.take(now, believed.entries, &believed.gone);
                    let after: BTreeSet<Id> = ours.ids().map(|x| x.0).collect();
                    prop_assert!(before.is_subset(&after));
                }
                Edit::Sweep => {
                    let believed = trust.judge(now, &ours, Sweep::of(there.all(), true), bold);
                    prop_assert!(!believed.older);
                    ours.take(now, believed.entries, &believed.gone);
                    let ids: BTreeSet<u128> = ours.ids().map(|x| x.0 .0).collect();
                    prop_assert_eq!(&ids, &there.entries.keys().map(|&e| u128::from(e)).collect::<BTreeSet<_>>());
                    for g in (0..8).filter(|g| there.entries.contains_key(g)) {
                        for p in (8..16).filter(|p| there.entries.contains_key(p)) {
                            let (want, got) = (there.holds(g, p), ours.is_member(Id(u128::from(p)), Id(u128::from(g))));
                            prop_assert_eq!(got, want, "person {} in group {}", p, g);
                        }
                    }
                }
            }
        }
    }
}
