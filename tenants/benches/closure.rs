//! The closure that is mended beside plain sets that are worked out anew: a full load, one change, a look-up.
//! Members spread over groups nested five deep, ten groups a level, each in two of the level above.
use basaltpitch_tenants::group_closure::GroupClosure;
use roaring::RoaringBitmap;
use std::collections::HashSet;

const MEMBERS: [u32; 3] = [1_000, 10_000, 100_000];
const DEEP: u32 = 5;
const WIDE: u32 = 10;

fn main() {
    let plain: usize = plain_closure(&directs(100_000)).iter().map(|s| s.capacity() * 5).sum();
    println!("bytes at 100,000 members: closure {}, plain sets about {plain}", load(100_000).bytes());
    divan::main();
}

/// Groups directly below a group of level `l`, column `c`.
fn below(l: u32, c: u32) -> [u32; 2] {
    [(l + 1) * WIDE + c, (l + 1) * WIDE + (c + 3) % WIDE]
}

fn directs(members: u32) -> Vec<RoaringBitmap> {
    let mut groups = vec![RoaringBitmap::new(); (DEEP * WIDE) as usize];
    for person in 0..members {
        groups[(person.wrapping_mul(2_654_435_761) % (DEEP * WIDE)) as usize].insert(person);
    }
    groups
}

fn load(members: u32) -> GroupClosure {
    let mut closure = GroupClosure::default();
    for (g, persons) in directs(members).into_iter().enumerate() {
        closure.set_persons(g as u32, persons);
    }
    for l in 0..DEEP - 1 {
        for c in 0..WIDE {
            closure.set_groups(l * WIDE + c, below(l, c).into_iter().collect());
        }
    }
    closure
}

/// For each group the set of all persons below it, worked out from the bottom.
fn plain_closure(directs: &[RoaringBitmap]) -> Vec<HashSet<u32>> {
    let mut all: Vec<HashSet<u32>> = directs.iter().map(|d| d.iter().collect()).collect();
    for l in (0..DEEP - 1).rev() {
        for c in 0..WIDE {
            for b in below(l, c) {
                let more = all[b as usize].clone();
                all[(l * WIDE + c) as usize].extend(more);
            }
        }
    }
    all
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn load_mended(members: u32) -> GroupClosure {
    load(members)
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn load_plain(bencher: divan::Bencher, members: u32) {
    let directs = directs(members);
    bencher.bench(|| plain_closure(&directs));
}

/// A person joins a group of the lowest level and leaves it again.
#[divan::bench(args = MEMBERS, sample_count = 50)]
fn change_mended(bencher: divan::Bencher, members: u32) {
    let mut closure = load(members);
    let group = (DEEP - 1) * WIDE + 1;
    let without = directs(members)[group as usize].clone();
    let mut with = without.clone();
    with.insert(members + 1);
    bencher.bench_local(|| {
        closure.set_persons(group, with.clone());
        closure.set_persons(group, without.clone());
    });
}

#[divan::bench(args = MEMBERS, sample_count = 5)]
fn change_plain(bencher: divan::Bencher, members: u32) {
    let mut directs = directs(members);
    let group = ((DEEP - 1) * WIDE + 1) as usize;
    bencher.bench_local(|| {
        directs[group].insert(members + 1);
        divan::black_box(plain_closure(&directs));
        directs[group].remove(members + 1);
        plain_closure(&directs)
    });
}

#[divan::bench(args = MEMBERS)]
fn look_up_mended(bencher: divan::Bencher, members: u32) {
    let closure = load(members);
    let mut n = 0u32;
    bencher.bench_local(|| {
        n = n.wrapping_add(7919);
        closure.contains(n % WIDE, n % members)
    });
}

#[divan::bench(args = MEMBERS)]
fn look_up_plain(bencher: divan::Bencher, members: u32) {
    let all = plain_closure(&directs(members));
    let mut n = 0u32;
    bencher.bench_local(|| {
        n = n.wrapping_add(7919);
        all[(n % WIDE) as usize].contains(&(n % members))
    });
}
