//! Benchmarks of an admission decision, and of merging the threshold by the number of peers.
use basaltpitch_admission::{LocalDemand, PeerSummary, RequestDemand};
use divan::{black_box, Bencher};

const SECOND_US: i64 = 1_000_000;

fn main() {
    divan::main();
}

fn request(time_left_us: i64) -> RequestDemand {
    RequestDemand { priority_weight: 1.0, cores: 2.0, latency_objective_us: SECOND_US, time_left_us }
}

/// Returns the demand of a planner with a thousand waiting requests.
fn local_demand() -> LocalDemand<u64> {
    let mut demand = LocalDemand::new(0, 1);
    demand.set_machines((0..400).map(|i| (36.0, f64::from(i % 40))));
    for key in 0..1000 {
        demand.request_arrived(0, key, &request(i64::MAX));
    }
    demand
}

/// Measures a request that arrives and is placed.
#[divan::bench]
fn arrive_and_place(bencher: Bencher) {
    let (mut demand, mut key) = (local_demand(), 1000);
    demand.set_peer_summaries(SECOND_US, Vec::new());
    bencher.bench_local(|| {
        key += 1;
        let decision = demand.request_arrived(key as i64, key, &request(6 * SECOND_US));
        demand.request_placed(key as i64, &key);
        black_box(decision)
    });
}

#[divan::bench(args = [0, 10, 100, 300])]
fn merge_threshold(bencher: Bencher, peer_count: usize) {
    let mut demand = local_demand();
    let summary = demand.summary(SECOND_US);
    let mut now = SECOND_US;
    bencher.bench_local(|| {
        now += 250_000;
        let peer = || PeerSummary { age_us: 2 * SECOND_US, planners: 1, summary: summary.clone() };
        let peers = (0..peer_count).map(|_| peer()).collect();
        demand.set_peer_summaries(now, peers);
    });
}
