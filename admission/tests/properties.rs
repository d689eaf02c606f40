//! Properties of the admission threshold over random summaries; a failing case prints its seed.
use basaltpitch_admission::{
    AdmissionDecision, AdmissionThreshold, DemandSummary, LocalDemand, PeerSummary, RequestDemand,
    PRIORITY_BANDS,
};
use fastrand::Rng;

const S: i64 = 1_000_000;

fn random_summary(random: &mut Rng, with_waiting: bool) -> DemandSummary {
    let mut summary = DemandSummary::default();
    let mut some = |most: f64| if random.f64() < 0.5 { random.f64() * most } else { 0.0 };
    summary.offered = [(); PRIORITY_BANDS].map(|()| some(200.0));
    summary.placed = [(); PRIORITY_BANDS].map(|()| some(60.0));
    summary.latency_counts = [(); 8].map(|()| some(20.0 * PRIORITY_BANDS as f64));
    if with_waiting {
        summary.waiting = [(); PRIORITY_BANDS].map(|()| some(200.0));
    }
    summary.free_cores = [some(400.0), some(200.0), some(100.0)];
    summary.total_cores = 400.0;
    summary
}

/// What one planner told a second ago.
fn from_one(summary: DemandSummary) -> PeerSummary {
    PeerSummary { age_us: S, planners: 1, summary }
}

fn check_cases(property: impl Fn(&mut Rng) + std::panic::RefUnwindSafe) {
    for seed in 0..3000 {
        let outcome = std::panic::catch_unwind(|| property(&mut Rng::with_seed(seed)));
        assert!(outcome.is_ok(), "seed {seed}");
    }
}

fn request(priority_weight: f64, cores: f64, latency_objective_us: i64, time_left_us: i64) -> RequestDemand {
    RequestDemand { priority_weight, cores, latency_objective_us, time_left_us }
}

fn rejects(decision: &AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Reject { .. })
}

/// With the same threshold: whoever rejects a request rejects all of lower priority or with less time left.
#[test]
fn nobody_starts_a_lower_priority_where_another_rejects_a_higher_one() {
    check_cases(|random| {
        let peers: Vec<PeerSummary> = (0..4).map(|_| from_one(random_summary(random, true))).collect();
        let threshold = AdmissionThreshold::merge(&random_summary(random, true), &peers);
        let (weight, cores) = (random.f64() * 8.0, random.f64() * 20.0);
        let (objective, left) = (random.i64(0..3 * S), random.i64(0..9 * S));
        if rejects(&threshold.decide(&request(weight, cores, objective, left))) {
            let less = weight * random.f64();
            assert!(
                rejects(&threshold.decide(&request(less, cores, objective, left))),
                "worth {less} for {weight}"
            );
            let sooner = random.i64(0..=left);
            assert!(
                rejects(&threshold.decide(&request(weight, cores, objective.min(sooner), sooner))),
                "{sooner} us for {left}"
            );
        }
    });
}

#[test]
fn with_everything_idle_nothing_is_rejected() {
    check_cases(|random| {
        let quiet = |random: &mut Rng| DemandSummary {
            free_cores: [400.0; 3],
            latency_counts: Default::default(),
            ..random_summary(random, false)
        };
        let peers: Vec<PeerSummary> = (0..4).map(|_| from_one(quiet(random))).collect();
        let threshold = AdmissionThreshold::merge(&quiet(random), &peers);
        let request = request(random.f64(), random.f64() * 20.0, 0, random.i64(0..9 * S));
        assert_eq!(threshold.decide(&request), AdmissionDecision::Start);
    });
    // One that has seen nothing at all, and has no peers.
    let mut demand = LocalDemand::new(0, 1);
    demand.set_peer_summaries(0, Vec::new());
    assert!(!rejects(&demand.request_arrived(1, "books", &request(0.1, 50.0, 1, 1))));
}

/// One planner's summary, whatever it holds, at most doubles the sums, and moves the median of the estimates
/// by one place.
#[test]
fn one_wild_summary_moves_the_threshold_by_a_bounded_amount() {
    check_cases(|random| {
        let own = random_summary(random, true);
        let peers: Vec<PeerSummary> = (0..5).map(|_| from_one(random_summary(random, true))).collect();
        let mut wild = random_summary(random, true);
        let times = 10f64.powi(random.i32(-3..9));
        wild.waiting.iter_mut().chain(&mut wild.free_cores).for_each(|x| *x *= times);
        wild.offered.iter_mut().for_each(|x| *x *= times);
        let before = AdmissionThreshold::merge(&own, &peers);
        let after = AdmissionThreshold::merge(&own, &[&peers[..], &[from_one(wild.clone())]].concat());
        let sum = |x: &[f64]| x.iter().sum::<f64>();
        let part = 400.0 / 7.0;
        for (before, after) in [(before.waiting(), after.waiting()), (before.offered(), after.offered())] {
            // Without it, the even part that each may say differs a little, and so may what the others count.
            let most = 2.0 * sum(before).max(part) + 7.0 * part;
            assert!(sum(after) <= most, "{} of {} with {times} times", sum(after), sum(before));
        }
        for fit in 0..3 {
            let mut all: Vec<f64> =
                peers.iter().map(|o| o.summary.free_cores[fit]).chain([own.free_cores[fit]]).collect();
            all.sort_by(f64::total_cmp);
            let free = after.free_cores()[fit];
            assert!((all[2]..=all[3]).contains(&free), "{free} of {all:?}");
        }
    });
}

/// A zone's summary, in which its planners' demand is summed and their estimates are merged, moves the threshold
/// as theirs would one by one. Summing estimates would make many fleets of one, merging demand one queue of many.
#[test]
fn a_zone_counts_as_all_of_its_planners() {
    check_cases(|random| {
        let (own, planners) = (random_summary(random, true), random.usize(2..9));
        let summaries: Vec<DemandSummary> = (0..planners).map(|_| random_summary(random, true)).collect();
        let mut zone = DemandSummary {
            free_cores: own.free_cores,
            total_cores: own.total_cores,
            ..DemandSummary::default()
        };
        let summed = |into: &mut [f64], from: &[f64]| into.iter_mut().zip(from).for_each(|(a, b)| *a += b);
        for summary in &summaries {
            summed(&mut zone.offered, &summary.offered);
            summed(&mut zone.waiting, &summary.waiting);
            summed(&mut zone.placed, &summary.placed);
            summed(&mut zone.latency_counts, &summary.latency_counts);
        }
        // All estimate the same of machines, and nobody is asked for more than all the others together.
        let same_fleet = |s| DemandSummary { free_cores: own.free_cores, total_cores: own.total_cores, ..s };
        let mut all: Vec<PeerSummary> =
            summaries.into_iter().map(|summary| from_one(same_fleet(summary))).collect();
        all.push(from_one(DemandSummary {
            offered: [9e3; PRIORITY_BANDS],
            waiting: [9e3; PRIORITY_BANDS],
            placed: [9e3; PRIORITY_BANDS],
            ..own.clone()
        }));
        let apart = AdmissionThreshold::merge(&own, &all);
        let rest = all[planners].clone();
        let whole =
            AdmissionThreshold::merge(&own, &[PeerSummary { age_us: S, planners, summary: zone }, rest]);
        assert_eq!((apart.free_cores(), apart.peer_count), (whole.free_cores(), whole.peer_count));
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(1.0);
        for (apart, whole) in [(apart.offered(), whole.offered()), (apart.waiting(), whole.waiting())] {
            assert!(apart.iter().zip(whole).all(|(a, b)| near(*a, *b)), "{apart:?} and {whole:?}");
        }
        assert!(near(apart.placed(), whole.placed()));
    });
}

#[test]
fn values_are_read_as_they_were_written() {
    check_cases(|random| {
        let summary = random_summary(random, true);
        let values = summary.to_values();
        assert_eq!(values.len(), DemandSummary::LEN);
        assert_eq!(DemandSummary::from_values(&values).as_ref(), Some(&summary));
        let mut wrong = values.clone();
        let at = random.usize(0..wrong.len());
        wrong[at] = [f64::NAN, f64::INFINITY, -1.0][random.usize(0..3)];
        assert_eq!(DemandSummary::from_values(&wrong), None);
        assert_eq!(DemandSummary::from_values(&values[1..]), None);
    });
}

/// A client may send any time left, and it affects no request but its own.
#[test]
fn absurd_times_affect_nothing_else() {
    let mut demand = LocalDemand::new(0, 1);
    demand.set_machines([(100.0, 0.0)].into_iter());
    for (n, left) in [i64::MAX, i64::MIN, -1, 0].into_iter().enumerate() {
        demand.request_arrived(S, n, &request(1.0, 1.0, S, left));
        demand.request_placed(S, &n);
        demand.request_arrived(S, n, &request(1.0, 1.0, S, left));
        demand.set_peer_summaries(2 * S, Vec::new());
    }
    let waiting: f64 = demand.summary(3 * S).waiting.iter().sum();
    assert!(waiting.is_finite());
    demand.set_peer_summaries(100 * S, Vec::new());
    assert_eq!(demand.waiting_count(), 1, "only the one without a deadline still waits");
}

/// Clients that are rejected in one moment are not told to come back in one.
#[test]
fn rejected_requests_may_be_retried_at_spread_times() {
    let mut demand = LocalDemand::new(0, 7);
    demand.set_machines([(100.0, 0.0)].into_iter());
    for n in 0..40u64 {
        demand.request_arrived(n as i64, n, &request(1.0, 1.0, S, 60 * S));
        demand.request_placed(n as i64, &n);
    }
    for n in 100..200u64 {
        demand.request_arrived(50, n, &request(1.0, 1.0, S, 60 * S));
    }
    demand.set_peer_summaries(S, Vec::new());
    let mut times: Vec<i64> = Vec::new();
    for n in 200..300u64 {
        if let AdmissionDecision::Reject { retry_after_us, expected_us, cores_ahead, .. } =
            demand.request_arrived(S, n, &request(1.0, 1.0, S, S))
        {
            assert!(cores_ahead >= 100.0 && expected_us.is_none_or(|x| x > S));
            times.push(retry_after_us);
        }
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 90, "{} different times", times.len());
    assert!(times[times.len() - 1] > times[0] * 3 / 2, "{} to {}", times[0], times[times.len() - 1]);
}
