//! What the door costs an asking, and what drawing the line costs, by the planners that are heard.
use basaltpitch_admission::{Other, Own};
use divan::{black_box, Bencher};

const S: i64 = 1_000_000;

fn main() {
    divan::main();
}

/// A planner with a thousand askings that wait.
fn own() -> Own<u64> {
    let mut own = Own::new(0, 1);
    own.fleet((0..400).map(|n| (36.0, f64::from(n % 40))));
    for n in 0..1000 {
        own.asked(0, n, 1.0, 2.0, S, i64::MAX);
    }
    own
}

/// Asked, and placed.
#[divan::bench]
fn asking(bencher: Bencher) {
    let (mut own, mut n) = (own(), 1000);
    own.others(S, Vec::new());
    bencher.bench_local(|| {
        n += 1;
        let verdict = own.asked(n as i64, n, 1.0, 2.0, S, 6 * S);
        own.placed(n as i64, &n);
        black_box(verdict)
    });
}

#[divan::bench(args = [0, 10, 100, 300])]
fn line(bencher: Bencher, heard: usize) {
    let mut own = own();
    let share = own.share(S);
    let mut now = S;
    bencher.bench_local(|| {
        now += 250_000;
        let other = || Other { age: 2 * S, planners: 1, share: share.clone() };
        let others = (0..heard).map(|_| other()).collect();
        own.others(now, others);
    });
}
