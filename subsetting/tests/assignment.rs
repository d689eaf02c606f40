//! Properties of the assignment on random fleets, and of one planner's subset and its growth.
use basaltpitch_subsetting::assignment::{assign, slot_capacities};
use basaltpitch_subsetting::{name_hash, LinkRole, Subset, SubsetConfig, SubsetGrowth, TaskRequirement};
use std::collections::BTreeMap;

const S: i64 = 1_000_000;

/// A drawn fleet by stratum: uneven zones and kinds, names in rising order of their hashes.
fn fleet(rng: &mut fastrand::Rng, machines: usize) -> BTreeMap<u64, Vec<u64>> {
    let mut strata: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for n in 0..machines {
        let (zone, kind) = (rng.u64(0..7).min(rng.u64(0..9)), [0, 0, 0, 0, 1, 1, 2][rng.usize(0..7)]);
        strata.entry(zone * 3 + kind).or_default().push(name_hash(&format!("m{n} of {}", rng.u32(..))));
    }
    strata.values_mut().for_each(|names| names.sort_unstable());
    strata
}

type Links = BTreeMap<u64, Vec<u64>>;

fn links(slots: &[u64], fleet: &BTreeMap<u64, Vec<u64>>, replicas: usize) -> Links {
    let mut all = Links::new();
    for (stratum, names) in fleet {
        let assignment = assign(slots, names, replicas, *stratum);
        for (name, chosen) in names.iter().zip(assignment) {
            let mut chosen: Vec<u64> = chosen.into_iter().map(|s| slots[s as usize]).collect();
            chosen.sort_unstable();
            all.insert(*name, chosen);
        }
    }
    all
}

fn changed(a: &Links, b: &Links) -> usize {
    let gone = |from: &Links, to: &Links| -> usize {
        let none = Vec::new();
        from.iter().map(|(m, of)| of.iter().filter(|s| !to.get(m).unwrap_or(&none).contains(s)).count()).sum()
    };
    gone(a, b) + gone(b, a)
}

/// Each machine in exactly `replicas` subsets; no subset over its share of any zone and kind by more than the bound;
/// the largest subset near the mean; a machine or a seat more or less changes few links.
#[test]
fn parts_are_even_and_change_little() {
    for (slots, replicas, over) in [(84, 3, 1.3), (300, 3, 1.6), (16, 3, 1.3), (2, 3, 1.0)] {
        for seed in 0..3 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let names: Vec<u64> = (0..slots + 1).map(|s| name_hash(&format!("planner-{s}"))).collect();
            let mut fleet = fleet(&mut rng, 2100);
            let base = links(&names[..slots], &fleet, replicas);
            let each = replicas.min(slots);
            assert!(base.values().all(|of| of.len() == each), "{slots} slots, seed {seed}");
            let mut subsets: BTreeMap<u64, usize> = names[..slots].iter().map(|s| (*s, 0)).collect();
            base.values().flatten().for_each(|s| *subsets.get_mut(s).unwrap() += 1);
            let mean = (each * 2100) as f64 / slots as f64;
            let most = *subsets.values().max().unwrap() as f64;
            assert!(most <= over * mean, "{slots} slots, seed {seed}: {most} of {mean}");
            for (stratum, members) in fleet.iter().filter(|_| slots > replicas) {
                let bound = slot_capacities(&names[..slots], members.len(), replicas, *stratum);
                for (s, bound) in names[..slots].iter().zip(bound) {
                    let has = members.iter().filter(|m| base[*m].contains(s)).count();
                    let share = (replicas * members.len()) as f64 / slots as f64;
                    assert!(
                        has <= bound && bound as f64 <= 1.25 * share * 1.2 + 1.2,
                        "{has} of {bound}, {share}"
                    );
                }
            }
            // A seat's subset and as much again moves at the least when it goes: at most three times that.
            let leaves = changed(&base, &links(&names[1..slots], &fleet, replicas));
            let joins = changed(&base, &links(&names, &fleet, replicas));
            let bound = 3.0 * 2.0 * 1.3 * mean;
            assert!(slots <= replicas || (leaves.max(joins) as f64) < bound, "{slots}: {leaves}, {joins}");
            let members = fleet.values_mut().next().unwrap();
            members.pop();
            let less = changed(&base, &links(&names[..slots], &fleet, replicas));
            assert!(less <= 12 * replicas, "{slots} slots, seed {seed}: {less} links for one machine");
        }
    }
}

fn subset(me: usize, slots: usize) -> Subset {
    let names = (0..slots).map(|s| name_hash(&format!("planner-{s}"))).collect();
    let mut subset = Subset::new(0, SubsetConfig::from_lease_duration(2, names, me, S));
    for m in 0..60 {
        subset.machine_listed(m, name_hash(&format!("m{m}")), m % 3, m / 3 % 2);
    }
    subset.advance(0, |_| false);
    subset
}

/// Lets time pass in steps, with these slots held.
fn pass(subset: &mut Subset, from: i64, until: i64, held: &[usize], busy: impl Fn(usize) -> bool) {
    for now in (from / 100_000..=until / 100_000).map(|x| x * 100_000) {
        (0..subset.slot_count()).for_each(|s| subset.set_slot_held(s, held.contains(&s)));
        subset.advance(now, &busy);
    }
}

#[test]
fn a_vacant_slots_machines_are_taken_over_and_given_back_late() {
    let mut all: Vec<Subset> = (0..4).map(|me| subset(me, 4)).collect();
    let works =
        |subset: &Subset| (0..60).filter(|m| subset.role(*m) == LinkRole::InSubset).collect::<Vec<_>>();
    let own: Vec<Vec<usize>> = all.iter().map(works).collect();
    assert!((0..60).all(|m| own.iter().filter(|of| of.contains(&m)).count() == 2));
    all.iter_mut().for_each(|p| pass(p, 0, 4 * S, &[0, 1, 2], |_| false));
    let covered =
        |all: &[Subset]| (0..60).all(|m| all[..3].iter().filter(|p| p.is_offered_work(m)).count() >= 2);
    assert!(covered(&all), "the other three have each machine twice");
    all.iter_mut().for_each(|p| pass(p, 4 * S, 21 * S, &[0, 1, 2, 3], |m| m == 7));
    for (p, own) in all.iter().zip(&own) {
        assert_eq!(works(p), *own, "as before, once it is held again for long enough");
        assert!(p.role(7) != LinkRole::Outside, "what runs on a machine keeps it");
    }
}

/// A planner that was stopped while a seat was vacant counts only time in which it ran.
#[test]
fn a_planner_that_wakes_counts_no_time_in_which_it_did_not_run() {
    let mut subset = subset(0, 20);
    let all: Vec<usize> = (0..20).collect();
    pass(&mut subset, 0, 5 * S, &all, |_| false);
    let before = subset.assigned_count();
    subset.set_slot_held(1, false);
    subset.advance(500 * S, |_| false);
    assert_eq!((subset.assigned_count(), subset.live_slot_count()), (before, 20));
    pass(&mut subset, 500 * S, 504 * S, &[1], |_| false);
    assert_eq!(subset.live_slot_count(), 2, "it and one other");
}

#[test]
fn each_inventory_is_read_once_and_extra_links_go_when_idle() {
    let mut subset = subset(0, 20);
    assert!((0..60).all(|m| subset.wants_link(m)), "an earlier incarnation may have launched anywhere");
    (0..60).for_each(|m| subset.inventory_known(m));
    let outside = (0..60).find(|m| subset.role(*m) == LinkRole::Outside).unwrap();
    assert!(!subset.wants_link(outside));
    assert!(subset.add_extra_link(outside) && subset.is_offered_work(outside) && subset.wants_link(outside));
    let all: Vec<usize> = (0..20).collect();
    pass(&mut subset, 0, 9 * S, &all, |m| m == outside);
    assert_eq!(subset.role(outside), LinkRole::Extra);
    pass(&mut subset, 9 * S, 14 * S, &all, |_| false);
    assert_eq!(subset.role(outside), LinkRole::Outside);
    let many = (0..60).filter(|m| subset.add_extra_link(*m) && subset.role(*m) == LinkRole::Extra).count();
    assert_eq!(many, 32, "no more extra links than may be");
}

/// A zone that failed leaves the list; planners that have no machine of it any more would not call it lost.
#[test]
fn a_machine_that_is_gone_is_reported_by_as_many_planners_as_had_it() {
    let all: Vec<Subset> = (0..12).map(|me| subset(me, 12)).collect();
    for name in (0..60).map(|m| name_hash(&format!("m{m}"))) {
        assert_eq!(all.iter().filter(|p| p.reports_unlisted(name)).count(), 2);
    }
}

#[test]
fn the_registry_is_queried_at_once_for_what_fits_nowhere_and_early_in_the_limit_for_what_waits() {
    let mut growth = SubsetGrowth::new(0);
    let need = TaskRequirement { cores: 4.0, memory: 8.0, ..TaskRequirement::default() };
    growth.task_pending(0, 1, need, 8 * S, true);
    assert_eq!(growth.poll(0), None);
    assert_eq!(growth.next_at(), S);
    let gpu = TaskRequirement { kind: Some(1), ..need };
    growth.task_pending(0, 2, gpu, 8 * S, false);
    let first = growth.poll(0).expect("at once");
    assert_eq!((first.task, first.requirement), (2, gpu));
    assert!(growth.query_answered(first.number, 2) && !growth.query_answered(first.number, 2));
    growth.task_settled(2);
    assert_eq!(growth.poll(S).map(|a| a.task), Some(1));
    assert_eq!(growth.poll(S + 1), None, "one query at a time");
    assert!(growth.poll(2 * S).is_some(), "an answer that does not come is not waited for");
    growth.task_settled(1);
    assert!(growth.next_at() > 3 * S && growth.poll(4 * S).is_none());
}

/// The subset widens while tasks wait and others have room, up to its most, and narrows slowly; where nobody
/// has room it stays.
#[test]
fn a_part_widens_where_others_have_room_and_narrows_slowly() {
    for room in [true, false] {
        let (mut growth, mut now) = (SubsetGrowth::new(0), 0);
        for task in 0..100 {
            growth.task_pending(now, task, TaskRequirement::default(), 0, false);
            if let Some(ask) = growth.poll(now) {
                growth.query_answered(ask.number, usize::from(room));
            }
            now += S;
        }
        assert_eq!(growth.width_percent(), if room { 300 } else { 100 });
        assert_eq!(growth.widened_because().is_some(), room);
        (0..100).for_each(|task| growth.task_settled(task));
        let mut widths = Vec::new();
        for _ in 0..600 {
            growth.poll(now);
            widths.push(growth.width_percent());
            now += S;
        }
        widths.dedup();
        let want: &[u32] = if room { &[300, 240, 192, 153, 122, 100] } else { &[100] };
        assert_eq!(widths, want);
    }
}

#[test]
fn a_wider_part_holds_more_of_every_zone_and_kind() {
    let mut subset = subset(0, 20);
    let of = |subset: &Subset| {
        let mut all = BTreeMap::new();
        (0..60)
            .filter(|m| subset.is_offered_work(*m))
            .for_each(|m| *all.entry((m % 3, m / 3 % 2)).or_insert(0) += 1);
        all
    };
    let before = of(&subset);
    subset.set_width_percent(300);
    subset.advance(1, |_| false);
    let wide = of(&subset);
    assert!(
        (0..3).all(|z| (0..2).all(|k| wide[&(z, k)] >= before.get(&(z, k)).unwrap_or(&0) + 2)),
        "{wide:?}"
    );
}
