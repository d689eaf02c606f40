//! The wheel beside a plain heap under the load of a planner: one timer a launch (3 s), one a waiting task (6
//! s), a tick of 100 ms, with so many timers waiting.
use basaltpitch_timers::Wheel;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const WAITING: [usize; 3] = [1_000, 30_000, 300_000];
const STEPS: i64 = 20_000;

fn main() {
    divan::main();
}

fn after(chance: &mut StdRng) -> i64 {
    match chance.random_range(0..10) {
        0 => 100_000,
        1..=4 => 6_000_000,
        _ => 3_000_000,
    }
}

#[divan::bench(args = WAITING, sample_count = 20)]
fn wheel(bencher: divan::Bencher, waiting: usize) {
    bencher
        .with_inputs(|| {
            let (mut chance, mut wheel) = (StdRng::seed_from_u64(1), Wheel::new(0));
            (0..waiting).for_each(|i| wheel.set(chance.random_range(0..6_000_000), i));
            (chance, wheel)
        })
        .bench_values(|(mut chance, mut wheel)| {
            let mut now = 0;
            for step in 0..STEPS {
                now += 6_000_000 / waiting as i64;
                wheel.set(now + after(&mut chance), step as usize);
                while let Some(due) = wheel.next_due(now) {
                    divan::black_box(due);
                }
            }
        });
}

#[divan::bench(args = WAITING, sample_count = 20)]
fn heap(bencher: divan::Bencher, waiting: usize) {
    bencher
        .with_inputs(|| {
            let (mut chance, mut heap) = (StdRng::seed_from_u64(1), BinaryHeap::new());
            (0..waiting).for_each(|i| heap.push(Reverse((chance.random_range(0..6_000_000i64), 0u64, i))));
            (chance, heap)
        })
        .bench_values(|(mut chance, mut heap)| {
            let mut now = 0;
            for step in 0..STEPS {
                now += 6_000_000 / waiting as i64;
                heap.push(Reverse((now + after(&mut chance), step as u64, step as usize)));
                while heap.peek().is_some_and(|first| first.0 .0 <= now) {
                    divan::black_box(heap.pop());
                }
            }
        });
}
