//! Laws of the assignment on drawn fleets, and of one planner's part and its shortage, under a made-up clock.
use basaltpitch_subsetting::deal::{bounds, deal};
use basaltpitch_subsetting::{hash, Need, Part, Role, Shortage, Terms};
use std::collections::BTreeMap;

const S: i64 = 1_000_000;

/// A drawn fleet by stratum: uneven zones and kinds, names in rising order of their hashes.
fn fleet(rng: &mut fastrand::Rng, machines: usize) -> BTreeMap<u64, Vec<u64>> {
    let mut strata: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for n in 0..machines {
        let (zone, kind) = (rng.u64(0..7).min(rng.u64(0..9)), [0, 0, 0, 0, 1, 1, 2][rng.usize(0..7)]);
        strata.entry(zone * 3 + kind).or_default().push(hash(&format!("m{n} of {}", rng.u32(..))));
    }
    strata.values_mut().for_each(|names| names.sort_unstable());
    strata
}

type Links = BTreeMap<u64, Vec<u64>>;

fn links(seats: &[u64], fleet: &BTreeMap<u64, Vec<u64>>, copies: usize) -> Links {
    let mut all = Links::new();
    for (stratum, names) in fleet {
        let dealt = deal(seats, names, copies, *stratum);
        for (name, taken) in names.iter().zip(dealt) {
            let mut taken: Vec<u64> = taken.into_iter().map(|s| seats[s as usize]).collect();
            taken.sort_unstable();
            all.insert(*name, taken);
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

/// Each machine in exactly `copies` parts; no part over its share of any zone and kind by more than the bound;
/// the largest part near the mean; a machine or a seat more or less changes few links.
#[test]
fn parts_are_even_and_change_little() {
    for (seats, copies, over) in [(84, 3, 1.3), (300, 3, 1.6), (16, 3, 1.3), (2, 3, 1.0)] {
        for seed in 0..3 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let names: Vec<u64> = (0..seats + 1).map(|s| hash(&format!("planner-{s}"))).collect();
            let mut fleet = fleet(&mut rng, 2100);
            let base = links(&names[..seats], &fleet, copies);
            let each = copies.min(seats);
            assert!(base.values().all(|of| of.len() == each), "{seats} seats, seed {seed}");
            let mut parts: BTreeMap<u64, usize> = names[..seats].iter().map(|s| (*s, 0)).collect();
            base.values().flatten().for_each(|s| *parts.get_mut(s).unwrap() += 1);
            let mean = (each * 2100) as f64 / seats as f64;
            let most = *parts.values().max().unwrap() as f64;
            assert!(most <= over * mean, "{seats} seats, seed {seed}: {most} of {mean}");
            for (stratum, members) in fleet.iter().filter(|_| seats > copies) {
                let bound = bounds(&names[..seats], members.len(), copies, *stratum);
                for (s, bound) in names[..seats].iter().zip(bound) {
                    let has = members.iter().filter(|m| base[*m].contains(s)).count();
                    let share = (copies * members.len()) as f64 / seats as f64;
                    assert!(
                        has <= bound && bound as f64 <= 1.25 * share * 1.2 + 1.2,
                        "{has} of {bound}, {share}"
                    );
                }
            }
            // A seat's part and as much again moves at the least when it goes: at most three times that.
            let leaves = changed(&base, &links(&names[1..seats], &fleet, copies));
            let joins = changed(&base, &links(&names, &fleet, copies));
            let bound = 3.0 * 2.0 * 1.3 * mean;
            assert!(seats <= copies || (leaves.max(joins) as f64) < bound, "{seats}: {leaves}, {joins}");
            let members = fleet.values_mut().next().unwrap();
            members.pop();
            let less = changed(&base, &links(&names[..seats], &fleet, copies));
            assert!(less <= 12 * copies, "{seats} seats, seed {seed}: {less} links for one machine");
        }
    }
}

fn part(me: usize, seats: usize) -> Part {
    let names = (0..seats).map(|s| hash(&format!("planner-{s}"))).collect();
    let mut part = Part::new(0, Terms::of_term(2, names, me, S));
    for m in 0..60 {
        part.listed(m, hash(&format!("m{m}")), m % 3, m / 3 % 2);
    }
    part.clock(0, |_| false);
    part
}

/// Lets time pass in steps, with these seats held.
fn pass(part: &mut Part, from: i64, until: i64, held: &[usize], busy: impl Fn(usize) -> bool) {
    for now in (from / 100_000..=until / 100_000).map(|x| x * 100_000) {
        (0..part.seats()).for_each(|s| part.seat(s, held.contains(&s)));
        part.clock(now, &busy);
    }
}

#[test]
fn a_vacant_seats_machines_are_taken_over_and_given_back_late() {
    let mut all: Vec<Part> = (0..4).map(|me| part(me, 4)).collect();
    let works = |part: &Part| (0..60).filter(|m| part.role(*m) == Role::Worked).collect::<Vec<_>>();
    let own: Vec<Vec<usize>> = all.iter().map(works).collect();
    assert!((0..60).all(|m| own.iter().filter(|of| of.contains(&m)).count() == 2));
    all.iter_mut().for_each(|p| pass(p, 0, 4 * S, &[0, 1, 2], |_| false));
    let covered = |all: &[Part]| (0..60).all(|m| all[..3].iter().filter(|p| p.offers(m)).count() >= 2);
    assert!(covered(&all), "the other three have each machine twice");
    all.iter_mut().for_each(|p| pass(p, 4 * S, 21 * S, &[0, 1, 2, 3], |m| m == 7));
    for (p, own) in all.iter().zip(&own) {
        assert_eq!(works(p), *own, "as before, once it is held again for long enough");
        assert!(p.role(7) != Role::Outside, "what runs on a machine keeps it");
    }
}

/// A planner that was stopped while a seat was vacant counts only time in which it ran.
#[test]
fn who_wakes_counts_no_time_in_which_it_did_not_run() {
    let mut part = part(0, 20);
    let all: Vec<usize> = (0..20).collect();
    pass(&mut part, 0, 5 * S, &all, |_| false);
    let before = part.mine();
    part.seat(1, false);
    part.clock(500 * S, |_| false);
    assert_eq!((part.mine(), part.live()), (before, 20));
    pass(&mut part, 500 * S, 504 * S, &[1], |_| false);
    assert_eq!(part.live(), 2, "it and one other");
}

#[test]
fn each_machine_is_visited_once_and_guests_go_when_idle() {
    let mut part = part(0, 20);
    assert!((0..60).all(|m| part.links(m)), "an earlier life may have launched anywhere");
    (0..60).for_each(|m| part.visited(m));
    let outside = (0..60).find(|m| part.role(*m) == Role::Outside).unwrap();
    assert!(!part.links(outside));
    assert!(part.invite(outside) && part.offers(outside) && part.links(outside));
    let all: Vec<usize> = (0..20).collect();
    pass(&mut part, 0, 9 * S, &all, |m| m == outside);
    assert_eq!(part.role(outside), Role::Guest);
    pass(&mut part, 9 * S, 14 * S, &all, |_| false);
    assert_eq!(part.role(outside), Role::Outside);
    let many = (0..60).filter(|m| part.invite(*m) && part.role(*m) == Role::Guest).count();
    assert_eq!(many, 32, "no more guests than may be");
}

/// A hall that is lost leaves the list; planners that have no machine of it any more would not call it lost.
#[test]
fn of_a_machine_that_is_gone_as_many_planners_speak_as_had_it() {
    let all: Vec<Part> = (0..12).map(|me| part(me, 12)).collect();
    for name in (0..60).map(|m| hash(&format!("m{m}"))) {
        assert_eq!(all.iter().filter(|p| p.speaks_for(name)).count(), 2);
    }
}

#[test]
fn the_register_is_asked_at_once_for_what_fits_nowhere_and_early_in_the_limit_for_what_waits() {
    let mut shortage = Shortage::new(0);
    let need = Need { cores: 4.0, memory: 8.0, ..Need::default() };
    shortage.waits(0, 1, need, 8 * S, true);
    assert_eq!(shortage.clock(0), None);
    assert_eq!(shortage.next_at(), S);
    let gpu = Need { kind: Some(1), ..need };
    shortage.waits(0, 2, gpu, 8 * S, false);
    let first = shortage.clock(0).expect("at once");
    assert_eq!((first.task, first.need), (2, gpu));
    assert!(shortage.answered(first.number, 2) && !shortage.answered(first.number, 2));
    shortage.over(2);
    assert_eq!(shortage.clock(S).map(|a| a.task), Some(1));
    assert_eq!(shortage.clock(S + 1), None, "one question at a time");
    assert!(shortage.clock(2 * S).is_some(), "an answer that does not come is not waited for");
    shortage.over(1);
    assert!(shortage.next_at() > 3 * S && shortage.clock(4 * S).is_none());
}

/// The part widens while tasks wait and others have room, up to its most, and narrows slowly; where nobody
/// has room it stays.
#[test]
fn a_part_widens_where_others_have_room_and_narrows_slowly() {
    for room in [true, false] {
        let (mut shortage, mut now) = (Shortage::new(0), 0);
        for task in 0..100 {
            shortage.waits(now, task, Need::default(), 0, false);
            if let Some(ask) = shortage.clock(now) {
                shortage.answered(ask.number, usize::from(room));
            }
            now += S;
        }
        assert_eq!(shortage.width(), if room { 300 } else { 100 });
        assert_eq!(shortage.why().is_some(), room);
        (0..100).for_each(|task| shortage.over(task));
        let mut widths = Vec::new();
        for _ in 0..600 {
            shortage.clock(now);
            widths.push(shortage.width());
            now += S;
        }
        widths.dedup();
        let want: &[u32] = if room { &[300, 240, 192, 153, 122, 100] } else { &[100] };
        assert_eq!(widths, want);
    }
}

#[test]
fn a_wider_part_holds_more_of_every_zone_and_kind() {
    let mut part = part(0, 20);
    let of = |part: &Part| {
        let mut all = BTreeMap::new();
        (0..60).filter(|m| part.offers(*m)).for_each(|m| *all.entry((m % 3, m / 3 % 2)).or_insert(0) += 1);
        all
    };
    let before = of(&part);
    part.widen(300);
    part.clock(1, |_| false);
    let wide = of(&part);
    assert!(
        (0..3).all(|z| (0..2).all(|k| wide[&(z, k)] >= before.get(&(z, k)).unwrap_or(&0) + 2)),
        "{wide:?}"
    );
}
