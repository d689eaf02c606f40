//! Compares ways to assign machines to planner slots: the largest, smallest and mean subset, the
//! machines of one zone in a subset, and the links that change when a machine joins or a slot joins
//! or leaves. Run with `cargo run --release --example compare -p basaltpitch-subsetting -- SLOTS
//! MACHINES REPLICAS`.
use basaltpitch_subsetting::assignment::{assign, rendezvous_weight};
use basaltpitch_subsetting::name_hash;
use std::collections::{BTreeMap, BTreeSet};

type Links = BTreeSet<(u64, u64)>;
type Assignment = fn(&[u64], &[(u64, usize)], usize) -> Links;

fn bounded(slots: &[u64], machines: &[(u64, usize)], replicas: usize) -> Links {
    let mut strata: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    machines.iter().for_each(|m| strata.entry(m.1).or_default().push(m.0));
    let mut links = Links::new();
    for (stratum, mut names) in strata {
        names.sort_unstable();
        let assignment = assign(slots, &names, replicas, name_hash(&stratum.to_string()));
        for (name, chosen) in names.iter().zip(assignment) {
            links.extend(chosen.iter().map(|&s| (*name, slots[s as usize])));
        }
    }
    links
}

fn rendezvous(slots: &[u64], machines: &[(u64, usize)], replicas: usize) -> Links {
    let links_of = |m: &(u64, usize)| {
        let mut all: Vec<u64> = slots.to_vec();
        all.sort_unstable_by_key(|&s| std::cmp::Reverse(rendezvous_weight(m.0, s)));
        all.into_iter().take(replicas).map(|s| (m.0, s)).collect::<Vec<_>>()
    };
    machines.iter().flat_map(links_of).collect()
}

fn ring(slots: &[u64], machines: &[(u64, usize)], replicas: usize) -> Links {
    let points: BTreeMap<u64, u64> = slots
        .iter()
        .flat_map(|&s| (0..100).map(move |v| (rendezvous_weight(s, name_hash(&format!("point {v}"))), s)))
        .collect();
    let links_of = |m: &(u64, usize)| {
        let mut found: Vec<u64> = Vec::new();
        for (_, &s) in points.range(m.0..).chain(points.range(..m.0)) {
            if !found.contains(&s) {
                found.push(s);
            }
            if found.len() == replicas {
                break;
            }
        }
        found.into_iter().map(|s| (m.0, s)).collect::<Vec<_>>()
    };
    machines.iter().flat_map(links_of).collect()
}

/// Round-robin assignment: machines in the order of stratum and name hash, to slots in the order of
/// their hashes.
fn round_robin(slots: &[u64], machines: &[(u64, usize)], replicas: usize) -> Links {
    let mut all = machines.to_vec();
    all.sort_unstable_by_key(|m| (m.1, m.0));
    let mut sorted = slots.to_vec();
    sorted.sort_unstable();
    let slot_at = |i: usize| sorted[i % sorted.len()];
    all.iter()
        .enumerate()
        .flat_map(|(i, m)| (0..replicas).map(move |c| (m.0, i * replicas + c)))
        .map(|(m, i)| (m, slot_at(i)))
        .collect()
}

fn main() {
    let args: Vec<usize> = std::env::args().skip(1).filter_map(|x| x.parse().ok()).collect();
    let [slots, machines, replicas] = args[..] else { panic!("expected SLOTS MACHINES REPLICAS") };
    let slots: Vec<u64> = (0..=slots).map(|n| name_hash(&format!("planner-{n}"))).collect();
    // Seven zones; of ten machines, seven are of the first kind, two of the second, one of the
    // third.
    let kind = |n: usize| [0, 0, 0, 0, 0, 0, 0, 1, 1, 2][n / 7 % 10];
    let all: Vec<(u64, usize)> =
        (0..machines + 20).map(|n| (name_hash(&format!("machine-{n}")), n % 7 * 3 + kind(n))).collect();
    let (slot_count, machine_count) = (slots.len() - 1, machines);
    let algorithms: [(&str, Assignment); 4] = [
        ("bounded rendezvous", bounded),
        ("rendezvous", rendezvous),
        ("ring, 100 points", ring),
        ("subsets in turn", round_robin),
    ];
    println!(
        "{slot_count} slots, {machine_count} machines, {replicas} replicas: mean part {:.1}",
        (replicas * machine_count) as f64 / slot_count as f64
    );
    for (name, algorithm) in algorithms {
        let started_at = std::time::Instant::now();
        let base = algorithm(&slots[..slot_count], &all[..machine_count], replicas);
        let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3;
        let mut sizes: BTreeMap<u64, usize> = slots[..slot_count].iter().map(|&s| (s, 0)).collect();
        let mut zones: BTreeMap<(u64, usize), usize> = BTreeMap::new();
        let stratum: BTreeMap<u64, usize> = all.iter().copied().collect();
        for (machine, slot) in &base {
            *sizes.get_mut(slot).expect("links lead to known slots") += 1;
            *zones.entry((*slot, stratum[machine] / 3)).or_default() += 1;
        }
        let changed = |other: &Links| base.symmetric_difference(other).count();
        let joins: Vec<usize> = (1..=20)
            .map(|k| {
                let mut more_machines = all[..machine_count].to_vec();
                more_machines.push(all[machine_count - 1 + k]);
                changed(&algorithm(&slots[..slot_count], &more_machines, replicas))
            })
            .collect();
        let slot_joins = changed(&algorithm(&slots, &all[..machine_count], replicas));
        let leaves: Vec<usize> = (0..20.min(slot_count))
            .map(|k| {
                let mut fewer_slots = slots[..slot_count].to_vec();
                fewer_slots.remove(k);
                changed(&algorithm(&fewer_slots, &all[..machine_count], replicas))
            })
            .collect();
        let mean = (replicas * machine_count) as f64 / slot_count as f64;
        let in_zones = slots[..slot_count]
            .iter()
            .flat_map(|&s| (0..7).map(move |z| (s, z)))
            .map(|k| zones.get(&k).copied().unwrap_or(0));
        let (largest, smallest) = (in_zones.clone().max().unwrap(), in_zones.min().unwrap());
        println!(
            "{name}: part {} to {} ({:.2} of the mean at most), of a zone {smallest} to {largest}; links changed: machine joins {:.1} (most {}), slot joins {slot_joins}, slot leaves {:.1} (most {}); assignment in {elapsed_ms:.1} ms",
            sizes.values().min().unwrap(), sizes.values().max().unwrap(), *sizes.values().max().unwrap() as f64 / mean,
            joins.iter().sum::<usize>() as f64 / 20.0, joins.iter().max().unwrap(),
            leaves.iter().sum::<usize>() as f64 / leaves.len() as f64, leaves.iter().max().unwrap(),
        );
    }
}
