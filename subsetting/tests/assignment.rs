//! Properties of the assignment on random fleets, and of one planner's subset and its growth.
use basaltpitch_subsetting::assignment::{assign, slot_capacities};
use basaltpitch_subsetting::{name_hash, LinkRole, Subset, SubsetConfig, SubsetGrowth, TaskRequirement};
use std::collections::BTreeMap;

const SECOND_US: i64 = 1_000_000;

/// A random fleet by stratum: zones and kinds of uneven size, names in ascending order of their
/// hashes.
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

/// Every machine is in exactly `replicas` subsets, no slot exceeds its capacity in any stratum, the
/// largest subset is near the mean, and one machine or slot more or less changes few links. Guards
/// against an assignment that overloads single planners or moves many links at each change.
#[test]
fn keeps_subsets_even_and_changes_few_links() {
    for (slots, replicas, max_over_mean) in [(84, 3, 1.3), (300, 3, 1.6), (16, 3, 1.3), (2, 3, 1.0)] {
        for seed in 0..3 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let names: Vec<u64> = (0..slots + 1).map(|s| name_hash(&format!("planner-{s}"))).collect();
            let mut fleet = fleet(&mut rng, 2100);
            let base = links(&names[..slots], &fleet, replicas);
            let expected = replicas.min(slots);
            assert!(base.values().all(|chosen| chosen.len() == expected), "{slots} slots, seed {seed}");
            let mut subsets: BTreeMap<u64, usize> = names[..slots].iter().map(|s| (*s, 0)).collect();
            base.values().flatten().for_each(|s| *subsets.get_mut(s).unwrap() += 1);
            let mean = (expected * 2100) as f64 / slots as f64;
            let largest = *subsets.values().max().unwrap() as f64;
            assert!(
                largest <= max_over_mean * mean,
                "{slots} slots, seed {seed}: largest subset {largest}, mean {mean}"
            );
            for (stratum, members) in fleet.iter().filter(|_| slots > replicas) {
                let bound = slot_capacities(&names[..slots], members.len(), replicas, *stratum);
                for (s, bound) in names[..slots].iter().zip(bound) {
                    let assigned = members.iter().filter(|m| base[*m].contains(s)).count();
                    let share = (replicas * members.len()) as f64 / slots as f64;
                    assert!(
                        assigned <= bound && bound as f64 <= 1.25 * share * 1.2 + 1.2,
                        "a slot has {assigned} machines of a stratum, capacity {bound}, even share {share}"
                    );
                }
            }
            // When a slot leaves, its own links go and at least as many move to other slots; the
            // bound is three times that.
            let leaves = changed(&base, &links(&names[1..slots], &fleet, replicas));
            let joins = changed(&base, &links(&names, &fleet, replicas));
            let bound = 3.0 * 2.0 * 1.3 * mean;
            assert!(
                slots <= replicas || (leaves.max(joins) as f64) < bound,
                "{slots} slots: {leaves}, {joins} links changed"
            );
            let members = fleet.values_mut().next().unwrap();
            members.pop();
            let moved = changed(&base, &links(&names[..slots], &fleet, replicas));
            assert!(moved <= 12 * replicas, "{slots} slots, seed {seed}: {moved} links changed");
        }
    }
}

fn subset(own_slot: usize, slots: usize) -> Subset {
    let names = (0..slots).map(|s| name_hash(&format!("planner-{s}"))).collect();
    let mut subset = Subset::new(0, SubsetConfig::from_lease_duration(2, names, own_slot, SECOND_US));
    for m in 0..60 {
        subset.machine_listed(m, name_hash(&format!("m{m}")), m % 3, m / 3 % 2);
    }
    subset.advance(0, |_| false);
    subset
}

/// Advances the subset in steps of 100 ms from `from` to `until`, with the given slots held.
fn advance_until(subset: &mut Subset, from: i64, until: i64, held: &[usize], busy: impl Fn(usize) -> bool) {
    for now in (from / 100_000..=until / 100_000).map(|x| x * 100_000) {
        (0..subset.slot_count()).for_each(|s| subset.set_slot_held(s, held.contains(&s)));
        subset.advance(now, &busy);
    }
}

#[test]
fn takes_over_machines_of_a_vacant_slot_and_releases_them_after_a_delay() {
    let mut all: Vec<Subset> = (0..4).map(|own_slot| subset(own_slot, 4)).collect();
    let in_subset =
        |subset: &Subset| (0..60).filter(|m| subset.role(*m) == LinkRole::InSubset).collect::<Vec<_>>();
    let own: Vec<Vec<usize>> = all.iter().map(in_subset).collect();
    assert!((0..60).all(|m| own.iter().filter(|of| of.contains(&m)).count() == 2));
    all.iter_mut().for_each(|p| advance_until(p, 0, 4 * SECOND_US, &[0, 1, 2], |_| false));
    let covered =
        |all: &[Subset]| (0..60).all(|m| all[..3].iter().filter(|p| p.is_offered_work(m)).count() >= 2);
    assert!(covered(&all), "the three live slots cover each machine twice");
    all.iter_mut().for_each(|p| advance_until(p, 4 * SECOND_US, 21 * SECOND_US, &[0, 1, 2, 3], |m| m == 7));
    for (p, own) in all.iter().zip(&own) {
        assert_eq!(in_subset(p), *own, "restored once the slot was held long enough");
        assert!(p.role(7) != LinkRole::Outside, "a machine that runs tasks of the planner stays linked");
    }
}

/// A planner that was suspended while a slot was vacant counts only the time in which it ran.
/// Guards against a planner that resumes and at once takes over the machines of a slot whose
/// vacancy it could not observe.
#[test]
fn does_not_count_time_in_which_the_planner_was_suspended() {
    let mut subset = subset(0, 20);
    let all: Vec<usize> = (0..20).collect();
    advance_until(&mut subset, 0, 5 * SECOND_US, &all, |_| false);
    let before = subset.assigned_count();
    subset.set_slot_held(1, false);
    subset.advance(500 * SECOND_US, |_| false);
    assert_eq!((subset.assigned_count(), subset.live_slot_count()), (before, 20));
    advance_until(&mut subset, 500 * SECOND_US, 504 * SECOND_US, &[1], |_| false);
    assert_eq!(subset.live_slot_count(), 2, "its own slot and slot 1");
}

#[test]
fn links_to_each_machine_until_its_inventory_and_drops_idle_extra_links() {
    let mut subset = subset(0, 20);
    assert!((0..60).all(|m| subset.wants_link(m)), "an earlier epoch may have used any machine");
    (0..60).for_each(|m| subset.inventory_known(m));
    let outside = (0..60).find(|m| subset.role(*m) == LinkRole::Outside).unwrap();
    assert!(!subset.wants_link(outside));
    assert!(subset.add_extra_link(outside) && subset.is_offered_work(outside) && subset.wants_link(outside));
    let all: Vec<usize> = (0..20).collect();
    advance_until(&mut subset, 0, 9 * SECOND_US, &all, |m| m == outside);
    assert_eq!(subset.role(outside), LinkRole::Extra);
    advance_until(&mut subset, 9 * SECOND_US, 14 * SECOND_US, &all, |_| false);
    assert_eq!(subset.role(outside), LinkRole::Outside);
    let many = (0..60).filter(|m| subset.add_extra_link(*m) && subset.role(*m) == LinkRole::Extra).count();
    assert_eq!(many, 32, "the limit of extra links");
}

/// A machine that left the list is reported by as many planners as there are replicas. Guards
/// against a failed zone that no planner reports because its machines have left every subset.
#[test]
fn unlisted_machine_is_reported_by_as_many_planners_as_replicas() {
    let all: Vec<Subset> = (0..12).map(|own_slot| subset(own_slot, 12)).collect();
    for name in (0..60).map(|m| name_hash(&format!("m{m}"))) {
        assert_eq!(all.iter().filter(|p| p.reports_unlisted(name)).count(), 2);
    }
}

#[test]
fn queries_registry_at_once_for_unplaceable_task_and_after_a_delay_for_waiting_task() {
    let mut growth = SubsetGrowth::new(0);
    let requirement = TaskRequirement { cores: 4.0, memory: 8.0, ..TaskRequirement::default() };
    growth.task_pending(0, 1, requirement, 8 * SECOND_US, true);
    assert_eq!(growth.poll(0), None);
    assert_eq!(growth.next_at(), SECOND_US);
    let gpu = TaskRequirement { kind: Some(1), ..requirement };
    growth.task_pending(0, 2, gpu, 8 * SECOND_US, false);
    let first = growth.poll(0).expect("a task that fits no linked machine is queried for at once");
    assert_eq!((first.task, first.requirement), (2, gpu));
    assert!(growth.query_answered(first.number, 2) && !growth.query_answered(first.number, 2));
    growth.task_settled(2);
    assert_eq!(growth.poll(SECOND_US).map(|query| query.task), Some(1));
    assert_eq!(growth.poll(SECOND_US + 1), None, "one query at a time");
    assert!(growth.poll(2 * SECOND_US).is_some(), "an unanswered query times out");
    growth.task_settled(1);
    assert!(growth.next_at() > 3 * SECOND_US && growth.poll(4 * SECOND_US).is_none());
}

/// While tasks wait and machines outside have capacity, the subset widens up to its maximum, and
/// narrows step by step after the shortage. Without capacity outside, it keeps its width.
#[test]
fn widens_while_machines_outside_have_capacity_and_narrows_step_by_step() {
    for has_capacity in [true, false] {
        let (mut growth, mut now) = (SubsetGrowth::new(0), 0);
        for task in 0..100 {
            growth.task_pending(now, task, TaskRequirement::default(), 0, false);
            if let Some(query) = growth.poll(now) {
                growth.query_answered(query.number, usize::from(has_capacity));
            }
            now += SECOND_US;
        }
        assert_eq!(growth.width_percent(), if has_capacity { 300 } else { 100 });
        assert_eq!(growth.widened_because().is_some(), has_capacity);
        (0..100).for_each(|task| growth.task_settled(task));
        let mut widths = Vec::new();
        for _ in 0..600 {
            growth.poll(now);
            widths.push(growth.width_percent());
            now += SECOND_US;
        }
        widths.dedup();
        let expected: &[u32] = if has_capacity { &[300, 240, 192, 153, 122, 100] } else { &[100] };
        assert_eq!(widths, expected);
    }
}

#[test]
fn wider_subset_has_more_machines_of_every_zone_and_kind() {
    let mut subset = subset(0, 20);
    let count_by_stratum = |subset: &Subset| {
        let mut all = BTreeMap::new();
        (0..60)
            .filter(|m| subset.is_offered_work(*m))
            .for_each(|m| *all.entry((m % 3, m / 3 % 2)).or_insert(0) += 1);
        all
    };
    let before = count_by_stratum(&subset);
    subset.set_width_percent(300);
    subset.advance(1, |_| false);
    let wide = count_by_stratum(&subset);
    assert!(
        (0..3).all(|z| (0..2).all(|k| wide[&(z, k)] >= before.get(&(z, k)).unwrap_or(&0) + 2)),
        "{wide:?}"
    );
}
