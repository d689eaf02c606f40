//! Changes of directory entries: nested membership, renaming, removal, authorization, and removals
//! that are held. A property test compares them with a reference directory.
use basaltpitch_tenants::authorization::{authorize, AccessPolicy, AuthorizationBasis, Operation};
use basaltpitch_tenants::change_guard::{ChangeGuard, ChangeReview};
use basaltpitch_tenants::sync_schedule::DirectoryState;
use basaltpitch_tenants::{Change, DirectoryUpdate, Entry, EntryKind, Id, Tenants, OLD_NAME_VALID_US};
use expect_test::expect;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn entry(id: u128, kind: EntryKind, name: &str, members: &[&str], stamp: u32) -> Entry {
    let dn = format!("cn={name}");
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    Entry { id: Id(id), kind, name: name.into(), dn, members, stamp: format!("2026{stamp:010}Z") }
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

/// Three persons, three groups (two of which contain each other) and two tenants.
fn example_directory() -> Tenants {
    let mut tenants = Tenants::default();
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
    tenants.apply(0, entries, &[]);
    tenants
}

fn members(tenants: &Tenants, name: &str) -> Vec<&'static str> {
    let all = [(1, "asha"), (2, "ravi"), (3, "meera")];
    let Some(id) = tenants.find(name, 0) else { return vec!["no such tenant"] };
    all.iter().filter(|p| tenants.is_member(Id(p.0), id)).map(|p| p.1).collect()
}

#[test]
fn resolves_members_of_nested_and_cyclic_groups() {
    let tenants = example_directory();
    assert_eq!(members(&tenants, "orders"), ["asha", "ravi"]);
    assert_eq!(members(&tenants, "stores"), ["asha", "meera"]);
    assert_eq!(tenants.path(Id(2), Id(20)), ["orders", "cooks", "night"]);
    assert_eq!(tenants.path(Id(3), Id(20)), [] as [&str; 0]);
}

#[test]
fn renamed_tenant_keeps_its_index_and_is_found_by_its_old_name_until_it_expires() {
    let mut tenants = example_directory();
    let index = tenants.index(Id(20));
    let changes = tenants.apply(1000, vec![tenant(20, "kitchen", &["cooks"], 2)], &[]);
    assert_eq!(changes, [Change::Renamed { id: Id(20), from: "orders".into(), to: "kitchen".into() }]);
    assert_eq!((tenants.find("orders", 1000 + OLD_NAME_VALID_US), tenants.index(Id(20))), (None, index));
    assert_eq!(tenants.find("orders", 2000), Some(Id(20)), "the old name is still valid");
    assert_eq!(tenants.tenant(Id(20), 2000).unwrap().previous_name.as_deref(), Some("orders"));
    assert_eq!(tenants.tenant(Id(20), 1000 + OLD_NAME_VALID_US).unwrap().previous_name, None);
}

/// One synchronization renames a tenant and creates another one under the old name, with the
/// entries in either order. Guards against the new tenant being taken for the renamed one.
#[test]
fn new_tenant_with_an_old_name_is_kept_apart_from_the_renamed_one() {
    for swapped in [false, true] {
        let mut tenants = example_directory();
        let mut entries = vec![tenant(20, "kitchen", &["cooks"], 2), tenant(30, "orders", &["meera"], 2)];
        if swapped {
            entries.reverse();
        }
        tenants.apply(1000, entries, &[]);
        assert_eq!(
            (tenants.find("orders", 0), tenants.find("kitchen", 0)),
            (Some(Id(30)), Some(Id(20))),
            "swapped: {swapped}"
        );
        assert_eq!(members(&tenants, "kitchen"), ["asha", "ravi"]);
        assert_eq!(members(&tenants, "orders"), ["meera"]);
        assert_ne!(tenants.index(Id(20)), tenants.index(Id(30)));
    }
}

#[test]
fn resolves_nested_tenants_and_members_listed_by_an_old_distinguished_name() {
    let mut tenants = example_directory();
    tenants.apply(1, vec![tenant(21, "stores", &["meera", "asha", "orders"], 2)], &[]);
    assert_eq!(members(&tenants, "stores"), ["asha", "ravi", "meera"]);
    assert!(tenants.is_below(Id(20), Id(21)) && !tenants.is_below(Id(21), Id(20)));
    // The directory has renamed the group, but the tenant still lists it by its old name.
    tenants.apply(2, vec![group(10, "chefs", &["asha", "night"], 3)], &[]);
    assert_eq!(members(&tenants, "orders"), ["asha", "ravi"]);
}

#[test]
fn ignores_entries_older_than_a_removal_or_the_known_version() {
    let mut tenants = example_directory();
    let index = tenants.index(Id(20));
    tenants.apply(1, vec![group(12, "keepers", &["meera"], 5)], &[]);
    tenants.apply(2, vec![], &[Id(20)]);
    assert_eq!((tenants.find("orders", 0), tenants.index(Id(20))), (None, None));
    tenants.apply(3, vec![tenant(20, "orders", &["meera"], 0)], &[]);
    assert_eq!(tenants.find("orders", 0), None, "older than the removed entry");
    tenants.apply(4, vec![tenant(20, "orders", &["meera"], 6)], &[]);
    assert_eq!((members(&tenants, "orders"), tenants.index(Id(20))), (vec!["meera"], index));
    tenants.apply(5, vec![tenant(20, "orders", &["asha"], 4)], &[]);
    assert_eq!(members(&tenants, "orders"), ["meera"], "older than the known entry");
}

#[test]
fn authorizes_members_and_operators_of_a_fresh_directory() {
    let tenants = example_directory();
    let policy =
        AccessPolicy { operators: vec!["cn=keepers".into()], place_stale: true, ..AccessPolicy::default() };
    let mut table = String::new();
    for login in ["asha", "ravi", "meera", "nobody"] {
        let operations = [
            ("submit for orders", Operation::Submit { tenant: "orders" }),
            ("submit for stores", Operation::Submit { tenant: "stores" }),
            ("submit for nothing", Operation::Submit { tenant: "nothing" }),
            ("drain", Operation::Drain),
            ("see a task of orders", Operation::See { tenant: tenants.find("orders", 0) }),
        ];
        for (name, operation) in operations {
            let decision = authorize(&tenants, 0, DirectoryState::Fresh, &policy, login, operation);
            table += &format!(
                "{login:7} {name:21} {:4} {}\n",
                if decision.allowed { "yes" } else { "no" },
                decision.basis.description()
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
fn authorizes_by_policy_while_the_directory_is_stale_or_unknown() {
    let tenants = example_directory();
    let submit = Operation::Submit { tenant: "orders" };
    for place in [true, false] {
        let policy = AccessPolicy { place_stale: place, place_blind: place, ..AccessPolicy::default() };
        for state in [DirectoryState::Stale, DirectoryState::Recovering] {
            let decision = authorize(&tenants, 0, state, &policy, "asha", submit);
            assert_eq!((decision.allowed, decision.stale), (place, true), "{state:?}");
            assert!(
                authorize(
                    &tenants,
                    0,
                    state,
                    &policy,
                    "asha",
                    Operation::See { tenant: tenants.find("orders", 0) }
                )
                .allowed,
                "members may see tasks in any case"
            );
        }
        let decision = authorize(&Tenants::default(), 0, DirectoryState::Blind, &policy, "asha", submit);
        assert_eq!((decision.allowed, decision.stale), (place, true));
        assert_eq!(
            authorize(&tenants, 0, DirectoryState::Blind, &policy, "asha", Operation::Drain).basis,
            AuthorizationBasis::NothingKnown
        );
        let policy = AccessPolicy { always: vec!["watch".into()], ..policy };
        assert_eq!(
            authorize(&tenants, 0, DirectoryState::Blind, &policy, "watch", Operation::Drain).basis,
            AuthorizationBasis::Always
        );
        assert_eq!(authorize(&tenants, 0, DirectoryState::Blind, &policy, "watch", submit).allowed, place);
    }
}

const QUICK_GUARD: ChangeGuard = ChangeGuard {
    max_removed_count: 1,
    max_removed_percent: 10,
    confirming_syncs: 3,
    confirming_time_us: 100,
};

fn update(entries: Vec<Entry>, complete: bool) -> DirectoryUpdate {
    DirectoryUpdate::new(entries, complete)
}

#[test]
fn holds_removal_of_many_tenants_until_confirmed_or_accepted() {
    let (tenants, mut review) = (example_directory(), ChangeReview::default());
    let mut rest: Vec<Entry> = tenants
        .entries()
        .map(|x| x.1.clone())
        .filter(|e| !matches!(e.kind, EntryKind::Tenant { .. }))
        .collect();
    rest.push(person(9, "late"));
    rest.last_mut().unwrap().stamp = format!("2026{:010}Z", 9);
    for (at, syncs) in [(0, 1), (50, 2), (99, 3)] {
        assert_eq!(
            review.review(at, &tenants, update(rest.clone(), true), QUICK_GUARD).removed,
            [],
            "synchronization {syncs}"
        );
        assert_eq!(review.held_removal().unwrap().syncs, syncs);
    }
    assert_eq!(
        review.review(100, &tenants, update(rest.clone(), true), QUICK_GUARD).removed,
        [Id(20), Id(21)]
    );
    assert_eq!(review.held_removal(), None);
    // An operator's order takes effect without further confirmation.
    review.review(0, &tenants, update(rest.clone(), true), QUICK_GUARD);
    assert!(review.accept());
    assert_eq!(review.review(1, &tenants, update(rest, true), QUICK_GUARD).removed, [Id(20), Id(21)]);
    assert!(!review.accept(), "no removal is held");
}

#[test]
fn drops_held_removal_when_the_entries_are_back() {
    let (tenants, mut review) = (example_directory(), ChangeReview::default());
    let all: Vec<Entry> = tenants.entries().map(|x| x.1.clone()).collect();
    let rest: Vec<Entry> =
        all.iter().filter(|e| !matches!(e.kind, EntryKind::Tenant { .. })).cloned().collect();
    review.review(0, &tenants, update(rest.clone(), true), QUICK_GUARD);
    review.review(50, &tenants, update(all, true), QUICK_GUARD);
    assert_eq!(review.held_removal(), None);
    assert_eq!(review.review(200, &tenants, update(rest, true), QUICK_GUARD).removed, []);
}

#[test]
fn holds_removal_of_the_newest_entry_unless_sequence_numbers_prove_it() {
    let (tenants, mut review) = (example_directory(), ChangeReview::default());
    let mut all: Vec<Entry> = tenants.entries().map(|x| x.1.clone()).collect();
    let newest = all.iter().map(|e| e.stamp.clone()).max().unwrap();
    all[0].stamp = format!("{newest}Z");
    let id = all[0].id;
    let mut tenants = tenants;
    tenants.apply(0, vec![all[0].clone()], &[]);
    let rest = all.split_off(1);
    // Without sequence numbers the removal is held until it is confirmed.
    assert_eq!(review.review(0, &tenants, update(rest.clone(), true), QUICK_GUARD).removed, []);
    assert_eq!(review.held_removal().unwrap().ids, [id].into());
    review.review(50, &tenants, update(rest.clone(), true), QUICK_GUARD);
    assert_eq!(review.review(100, &tenants, update(rest.clone(), true), QUICK_GUARD).removed, [id]);
    // With sequence numbers a lagging server and a removal are told apart at once.
    let marked = |n: &str| {
        let mark = [("001".to_owned(), n.to_owned())].into();
        DirectoryUpdate { mark, ..update(rest.clone(), true) }
    };
    let mut review = ChangeReview::default();
    review.review(0, &tenants, DirectoryUpdate { mark: marked("5").mark, ..update(all, false) }, QUICK_GUARD);
    review.restore_mark(marked("5").mark);
    let lagging = review.review(1, &tenants, marked("4"), QUICK_GUARD);
    assert!(lagging.server_lags && lagging.removed.is_empty() && review.is_behind());
    assert_eq!(review.review(2, &tenants, marked("6"), QUICK_GUARD).removed, [id]);
}

#[test]
fn accepts_a_directory_restored_to_an_earlier_state_only_on_an_operators_order() {
    let (mut tenants, mut review) = (example_directory(), ChangeReview::default());
    let all: Vec<Entry> = tenants.entries().map(|x| x.1.clone()).collect();
    let later: Vec<Entry> = all.iter().cloned().map(|e| Entry { stamp: "2027".into(), ..e }).collect();
    tenants.apply(0, later, &[]);
    for now in [1, 1_000, 1_000_000] {
        assert!(review.review(now, &tenants, update(all.clone(), true), QUICK_GUARD).server_lags);
    }
    assert!(review.accept());
    let accepted = review.review(2_000_000, &tenants, update(all, true), QUICK_GUARD);
    assert!(accepted.forced && !accepted.server_lags && !review.is_behind());
}

/// A change of the reference directory, or a synchronization with it.
#[derive(Clone, Debug)]
enum Edit {
    Members(u8, Vec<u8>),
    Rename(u8, u8),
    Delete(u8),
    Restore(u8),
    FullSync,
    /// A synchronization that ends after this number of entries.
    PartialSync(u8),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        5 => (0u8..8, proptest::collection::vec(0u8..16, 0..6)).prop_map(|(g, m)| Edit::Members(g, m)),
        2 => (0u8..16, 0u8..4).prop_map(|(e, n)| Edit::Rename(e, n)),
        1 => (0u8..16).prop_map(Edit::Delete),
        1 => (0u8..16).prop_map(Edit::Restore),
        4 => Just(Edit::FullSync),
        3 => (0u8..16).prop_map(Edit::PartialSync),
    ]
}

/// The directory that is synchronized. Entries 0 to 3 are tenants, 4 to 7 groups, 8 to 15 persons;
/// each has the version of its name, its direct members and its stamp. Membership is computed from
/// scratch.
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

    /// Returns all entries. Members are listed by their current names.
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

    /// Gives a new stamp to a changed entry and to all entries that list it as a member.
    fn touch(&mut self, e: u8) {
        self.stamp += 1;
        let stamp = self.stamp;
        let mentions = self.entries.iter_mut().filter(|(k, x)| **k == e || x.1.contains(&e));
        mentions.for_each(|(_, x)| x.2 = stamp);
    }

    /// Returns whether a person is a member of a group, directly or through nested groups.
    fn contains(&self, group: u8, person: u8) -> bool {
        let mut seen = BTreeSet::from([group]);
        let mut open = vec![group];
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
    fn full_synchronization_matches_reference_and_partial_one_removes_nothing(edits in proptest::collection::vec(edit(), 1..60)) {
        let (mut reference, mut tested, mut review) = (Reference::new(), Tenants::default(), ChangeReview::default());
        let permissive = ChangeGuard { max_removed_count: 100, max_removed_percent: 100, confirming_syncs: 1, confirming_time_us: 0 };
        for (now, edit) in edits.into_iter().chain([Edit::FullSync]).enumerate() {
            let now = now as i64;
            match edit {
                Edit::Members(g, m) => {
                    if let Some(x) = reference.entries.get_mut(&g) {
                        x.1 = m.into_iter().collect();
                        reference.touch(g);
                    }
                }
                Edit::Rename(e, n) => {
                    if let Some(x) = reference.entries.get_mut(&e) {
                        x.0 = n;
                        reference.touch(e);
                    }
                }
                Edit::Delete(e) => {
                    reference.entries.remove(&e);
                }
                Edit::Restore(e) => {
                    let stamp = reference.stamp + 1;
                    reference.entries.entry(e).or_insert((0, BTreeSet::new(), stamp));
                    reference.touch(e);
                }
                Edit::PartialSync(n) => {
                    let entries: Vec<Entry> = reference.all().into_iter().take(n as usize).collect();
                    let before: BTreeSet<Id> = tested.entries().map(|x| x.0).collect();
                    let accepted = review.review(now, &tested, DirectoryUpdate::new(entries, false), permissive);
                    prop_assert!(accepted.removed.is_empty());
                    tested.apply(now, accepted.entries, &accepted.removed);
                    let after: BTreeSet<Id> = tested.entries().map(|x| x.0).collect();
                    prop_assert!(before.is_subset(&after));
                }
                Edit::FullSync => {
                    let accepted = review.review(now, &tested, DirectoryUpdate::new(reference.all(), true), permissive);
                    prop_assert!(!accepted.server_lags);
                    tested.apply(now, accepted.entries, &accepted.removed);
                    let ids: BTreeSet<u128> = tested.entries().map(|x| x.0 .0).collect();
                    prop_assert_eq!(&ids, &reference.entries.keys().map(|&e| u128::from(e)).collect::<BTreeSet<_>>());
                    for g in (0..8).filter(|g| reference.entries.contains_key(g)) {
                        for p in (8..16).filter(|p| reference.entries.contains_key(p)) {
                            let (want, got) = (reference.contains(g, p), tested.is_member(Id(u128::from(p)), Id(u128::from(g))));
                            prop_assert_eq!(got, want, "person {} in group {}", p, g);
                        }
                    }
                }
            }
        }
    }
}
