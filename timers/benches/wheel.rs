//! Compares the timer wheel with a binary heap under the load of a planner, for several numbers of
//! pending timers. The load consists of attempt timeouts (3 s), deadlines of waiting tasks (6 s)
//! and the periodic timer (100 ms).
use basaltpitch_timers::Wheel;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Numbers of pending timers to measure with.
const PENDING_TIMERS: [usize; 3] = [1_000, 30_000, 300_000];
/// Number of timers set per sample.
const STEPS: i64 = 20_000;

fn main() {
    divan::main();
}

/// Returns the delay of a random timer, in microseconds.
fn random_delay_us(rng: &mut StdRng) -> i64 {
    match rng.random_range(0..10) {
        0 => 100_000,
        1..=4 => 6_000_000,
        _ => 3_000_000,
    }
}

#[divan::bench(args = PENDING_TIMERS, sample_count = 20)]
fn wheel(bencher: divan::Bencher, pending: usize) {
    bencher
        .with_inputs(|| {
            let (mut rng, mut wheel) = (StdRng::seed_from_u64(1), Wheel::new(0));
            (0..pending).for_each(|id| wheel.set(rng.random_range(0..6_000_000), id));
            (rng, wheel)
        })
        .bench_values(|(mut rng, mut wheel)| {
            let mut now = 0;
            for step in 0..STEPS {
                now += 6_000_000 / pending as i64;
                wheel.set(now + random_delay_us(&mut rng), step as usize);
                while let Some(due) = wheel.next_due(now) {
                    divan::black_box(due);
                }
            }
        });
}

#[divan::bench(args = PENDING_TIMERS, sample_count = 20)]
fn heap(bencher: divan::Bencher, pending: usize) {
    bencher
        .with_inputs(|| {
            let (mut rng, mut heap) = (StdRng::seed_from_u64(1), BinaryHeap::new());
            (0..pending).for_each(|id| heap.push(Reverse((rng.random_range(0..6_000_000i64), 0u64, id))));
            (rng, heap)
        })
        .bench_values(|(mut rng, mut heap)| {
            let mut now = 0;
            for step in 0..STEPS {
                now += 6_000_000 / pending as i64;
                heap.push(Reverse((now + random_delay_us(&mut rng), step as u64, step as usize)));
                while heap.peek().is_some_and(|first| first.0 .0 <= now) {
                    divan::black_box(heap.pop());
                }
            }
        });
}
