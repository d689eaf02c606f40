//! Compares the incremental group closure with sets that are computed from scratch: loading all
//! members, one change, and a look-up. Members are distributed over groups on five levels of ten
//! groups, each of which is nested in two groups of the level above.
use basaltpitch_tenants::group_closure::GroupClosure;
use roaring::RoaringBitmap;
use std::collections::HashSet;

const MEMBERS: [u32; 3] = [1_000, 10_000, 100_000];
/// Number of levels of groups.
const LEVELS: u32 = 5;
/// Number of groups on each level.
const GROUPS_PER_LEVEL: u32 = 10;

fn main() {
    let sets: usize = closure_from_scratch(&direct_members(100_000)).iter().map(|s| s.capacity() * 5).sum();
    println!("bytes at 100,000 members: closure {}, plain sets about {sets}", load(100_000).bytes());
    divan::main();
}

/// Returns the groups directly in the group at index `c` of level `l`.
fn children(l: u32, c: u32) -> [u32; 2] {
    [(l + 1) * GROUPS_PER_LEVEL + c, (l + 1) * GROUPS_PER_LEVEL + (c + 3) % GROUPS_PER_LEVEL]
}

/// Returns the persons directly in each group.
fn direct_members(members: u32) -> Vec<RoaringBitmap> {
    let mut groups = vec![RoaringBitmap::new(); (LEVELS * GROUPS_PER_LEVEL) as usize];
    for person in 0..members {
        groups[(person.wrapping_mul(2_654_435_761) % (LEVELS * GROUPS_PER_LEVEL)) as usize].insert(person);
    }
    groups
}

fn load(members: u32) -> GroupClosure {
    let mut closure = GroupClosure::default();
    for (g, persons) in direct_members(members).into_iter().enumerate() {
        closure.set_persons(g as u32, persons);
    }
    for l in 0..LEVELS - 1 {
        for c in 0..GROUPS_PER_LEVEL {
            closure.set_groups(l * GROUPS_PER_LEVEL + c, children(l, c).into_iter().collect());
        }
    }
    closure
}

/// Computes the transitive members of each group, from the lowest level up.
fn closure_from_scratch(direct: &[RoaringBitmap]) -> Vec<HashSet<u32>> {
    let mut all: Vec<HashSet<u32>> = direct.iter().map(|d| d.iter().collect()).collect();
    for l in (0..LEVELS - 1).rev() {
        for c in 0..GROUPS_PER_LEVEL {
            for b in children(l, c) {
                let more = all[b as usize].clone();
                all[(l * GROUPS_PER_LEVEL + c) as usize].extend(more);
            }
        }
    }
    all
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn load_incremental(members: u32) -> GroupClosure {
    load(members)
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn load_from_scratch(bencher: divan::Bencher, members: u32) {
    let direct = direct_members(members);
    bencher.bench(|| closure_from_scratch(&direct));
}

/// A person joins a group of the lowest level and leaves it again.
#[divan::bench(args = MEMBERS, sample_count = 50)]
fn change_incremental(bencher: divan::Bencher, members: u32) {
    let mut closure = load(members);
    let group = (LEVELS - 1) * GROUPS_PER_LEVEL + 1;
    let without = direct_members(members)[group as usize].clone();
    let mut with = without.clone();
    with.insert(members + 1);
    bencher.bench_local(|| {
        closure.set_persons(group, with.clone());
        closure.set_persons(group, without.clone());
    });
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn change_from_scratch(bencher: divan::Bencher, members: u32) {
    let mut direct = direct_members(members);
    let group = ((LEVELS - 1) * GROUPS_PER_LEVEL + 1) as usize;
    bencher.bench_local(|| {
        direct[group].insert(members + 1);
        divan::black_box(closure_from_scratch(&direct));
        direct[group].remove(members + 1);
        closure_from_scratch(&direct)
    });
}

#[divan::bench(args = MEMBERS)]
fn look_up_incremental(bencher: divan::Bencher, members: u32) {
    let closure = load(members);
    let mut n = 0u32;
    bencher.bench_local(|| {
        n = n.wrapping_add(7919);
        closure.contains(n % GROUPS_PER_LEVEL, n % members)
    });
}

#[divan::bench(args = MEMBERS)]
fn look_up_from_scratch(bencher: divan::Bencher, members: u32) {
    let all = closure_from_scratch(&direct_members(members));
    let mut n = 0u32;
    bencher.bench_local(|| {
        n = n.wrapping_add(7919);
        all[(n % GROUPS_PER_LEVEL) as usize].contains(&(n % members))
    });
}
