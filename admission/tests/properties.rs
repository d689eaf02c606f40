//! Properties of the admission threshold over random summaries; a failing case prints its seed.
use basaltpitch_admission::{
    AdmissionDecision, AdmissionThreshold, DemandSummary, LocalDemand, PeerSummary, RequestDemand,
    PRIORITY_BANDS,
};
use fastrand::Rng;

const SECOND_US: i64 = 1_000_000;

fn random_summary(random: &mut Rng, with_waiting: bool) -> DemandSummary {
    let mut summary = DemandSummary::default();
    let mut sometimes = |max: f64| if random.f64() < 0.5 { random.f64() * max } else { 0.0 };
    summary.offered = [(); PRIORITY_BANDS].map(|()| sometimes(200.0));
    summary.placed = [(); PRIORITY_BANDS].map(|()| sometimes(60.0));
    summary.latency_counts = [(); 8].map(|()| sometimes(20.0 * PRIORITY_BANDS as f64));
    if with_waiting {
        summary.waiting = [(); PRIORITY_BANDS].map(|()| sometimes(200.0));
    }
    summary.free_cores = [sometimes(400.0), sometimes(200.0), sometimes(100.0)];
    summary.total_cores = 400.0;
    summary
}

/// Returns the summary of one planner, one second old.
fn from_one_planner(summary: DemandSummary) -> PeerSummary {
    PeerSummary { age_us: SECOND_US, planners: 1, summary }
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

/// With the same threshold, a planner that rejects a request also rejects any request of lower
/// priority or with less time left. Guards against a low priority that is admitted on one planner
/// while another rejects a higher one.
#[test]
fn rejects_every_request_of_lower_priority_or_less_time_than_a_rejected_one() {
    check_cases(|random| {
        let peers: Vec<PeerSummary> =
            (0..4).map(|_| from_one_planner(random_summary(random, true))).collect();
        let threshold = AdmissionThreshold::merge(&random_summary(random, true), &peers);
        let (weight, cores) = (random.f64() * 8.0, random.f64() * 20.0);
        let (objective, left) = (random.i64(0..3 * SECOND_US), random.i64(0..9 * SECOND_US));
        if rejects(&threshold.decide(&request(weight, cores, objective, left))) {
            let lower = weight * random.f64();
            assert!(
                rejects(&threshold.decide(&request(lower, cores, objective, left))),
                "priority weight {lower} admitted, {weight} rejected"
            );
            let sooner = random.i64(0..=left);
            assert!(
                rejects(&threshold.decide(&request(weight, cores, objective.min(sooner), sooner))),
                "{sooner} us left admitted, {left} us rejected"
            );
        }
    });
}

#[test]
fn admits_all_requests_on_an_idle_fleet() {
    check_cases(|random| {
        let idle_summary = |random: &mut Rng| DemandSummary {
            free_cores: [400.0; 3],
            latency_counts: Default::default(),
            ..random_summary(random, false)
        };
        let peers: Vec<PeerSummary> = (0..4).map(|_| from_one_planner(idle_summary(random))).collect();
        let threshold = AdmissionThreshold::merge(&idle_summary(random), &peers);
        let request = request(random.f64(), random.f64() * 20.0, 0, random.i64(0..9 * SECOND_US));
        assert_eq!(threshold.decide(&request), AdmissionDecision::Start);
    });
    // A planner without any observation and without peers admits every request.
    let mut demand = LocalDemand::new(0, 1);
    demand.set_peer_summaries(0, Vec::new());
    assert!(!rejects(&demand.request_arrived(1, "books", &request(0.1, 50.0, 1, 1))));
}

/// One planner's summary, whatever its values, at most doubles the sums of demand and moves the
/// median of the estimates by one position. Guards against a faulty planner that makes all others
/// reject or admit everything.
#[test]
fn one_faulty_summary_moves_the_threshold_by_a_bounded_amount() {
    check_cases(|random| {
        let own = random_summary(random, true);
        let peers: Vec<PeerSummary> =
            (0..5).map(|_| from_one_planner(random_summary(random, true))).collect();
        let mut faulty = random_summary(random, true);
        let factor = 10f64.powi(random.i32(-3..9));
        faulty.waiting.iter_mut().chain(&mut faulty.free_cores).for_each(|x| *x *= factor);
        faulty.offered.iter_mut().for_each(|x| *x *= factor);
        let before = AdmissionThreshold::merge(&own, &peers);
        let after =
            AdmissionThreshold::merge(&own, &[&peers[..], &[from_one_planner(faulty.clone())]].concat());
        let sum = |x: &[f64]| x.iter().sum::<f64>();
        let even_share = 400.0 / 7.0;
        for (before, after) in [(before.waiting(), after.waiting()), (before.offered(), after.offered())] {
            // The additional planner also lowers the even share, so that the limits of the other
            // peers' demand differ slightly.
            let max_sum = 2.0 * sum(before).max(even_share) + 7.0 * even_share;
            assert!(
                sum(after) <= max_sum,
                "sum {} after, {} before, values scaled by {factor}",
                sum(after),
                sum(before)
            );
        }
        for class in 0..3 {
            let mut all: Vec<f64> = peers
                .iter()
                .map(|peer| peer.summary.free_cores[class])
                .chain([own.free_cores[class]])
                .collect();
            all.sort_by(f64::total_cmp);
            let free = after.free_cores()[class];
            assert!((all[2]..=all[3]).contains(&free), "{free} free cores, estimates {all:?}");
        }
    });
}

/// A zone's summary, in which the demands of its planners are summed and their estimates merged,
/// moves the threshold like the planners' own summaries. Guards against sums of estimates, which
/// count one fleet many times, and merged demands, which count many queues as one.
#[test]
fn zone_summary_has_the_same_effect_as_its_planners_summaries() {
    check_cases(|random| {
        let (own, planners) = (random_summary(random, true), random.usize(2..9));
        let summaries: Vec<DemandSummary> = (0..planners).map(|_| random_summary(random, true)).collect();
        let mut zone = DemandSummary {
            free_cores: own.free_cores,
            total_cores: own.total_cores,
            ..DemandSummary::default()
        };
        let add_to = |into: &mut [f64], from: &[f64]| into.iter_mut().zip(from).for_each(|(a, b)| *a += b);
        for summary in &summaries {
            add_to(&mut zone.offered, &summary.offered);
            add_to(&mut zone.waiting, &summary.waiting);
            add_to(&mut zone.placed, &summary.placed);
            add_to(&mut zone.latency_counts, &summary.latency_counts);
        }
        // All planners have the same estimate of the machines, and no peer exceeds the demand of
        // all other planners together, which would limit it.
        let same_fleet = |s| DemandSummary { free_cores: own.free_cores, total_cores: own.total_cores, ..s };
        let mut all: Vec<PeerSummary> =
            summaries.into_iter().map(|summary| from_one_planner(same_fleet(summary))).collect();
        all.push(from_one_planner(DemandSummary {
            offered: [9e3; PRIORITY_BANDS],
            waiting: [9e3; PRIORITY_BANDS],
            placed: [9e3; PRIORITY_BANDS],
            ..own.clone()
        }));
        let split = AdmissionThreshold::merge(&own, &all);
        let last_peer = all[planners].clone();
        let merged = AdmissionThreshold::merge(
            &own,
            &[PeerSummary { age_us: SECOND_US, planners, summary: zone }, last_peer],
        );
        assert_eq!((split.free_cores(), split.peer_count), (merged.free_cores(), merged.peer_count));
        let is_close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(1.0);
        for (split, merged) in [(split.offered(), merged.offered()), (split.waiting(), merged.waiting())] {
            assert!(
                split.iter().zip(merged).all(|(a, b)| is_close(*a, *b)),
                "{split:?} split, {merged:?} merged"
            );
        }
        assert!(is_close(split.placed(), merged.placed()));
    });
}

#[test]
fn decodes_encoded_values_and_rejects_invalid_ones() {
    check_cases(|random| {
        let summary = random_summary(random, true);
        let values = summary.to_values();
        assert_eq!(values.len(), DemandSummary::LEN);
        assert_eq!(DemandSummary::from_values(&values).as_ref(), Some(&summary));
        let mut invalid = values.clone();
        let at = random.usize(0..invalid.len());
        invalid[at] = [f64::NAN, f64::INFINITY, -1.0][random.usize(0..3)];
        assert_eq!(DemandSummary::from_values(&invalid), None);
        assert_eq!(DemandSummary::from_values(&values[1..]), None);
    });
}

/// A client may send any time left, which must affect no request but its own. Guards against
/// overflow and against waiting cores that never expire.
#[test]
fn extreme_time_left_affects_no_other_request() {
    let mut demand = LocalDemand::new(0, 1);
    demand.set_machines([(100.0, 0.0)].into_iter());
    for (n, left) in [i64::MAX, i64::MIN, -1, 0].into_iter().enumerate() {
        demand.request_arrived(SECOND_US, n, &request(1.0, 1.0, SECOND_US, left));
        demand.request_placed(SECOND_US, &n);
        demand.request_arrived(SECOND_US, n, &request(1.0, 1.0, SECOND_US, left));
        demand.set_peer_summaries(2 * SECOND_US, Vec::new());
    }
    let waiting: f64 = demand.summary(3 * SECOND_US).waiting.iter().sum();
    assert!(waiting.is_finite());
    demand.set_peer_summaries(100 * SECOND_US, Vec::new());
    assert_eq!(demand.waiting_count(), 1, "only the request without a deadline still waits");
}

/// Requests that are rejected together get different retry delays. Guards against a burst of
/// retries.
#[test]
fn rejected_requests_get_distinct_retry_delays() {
    let mut demand = LocalDemand::new(0, 7);
    demand.set_machines([(100.0, 0.0)].into_iter());
    for n in 0..40u64 {
        demand.request_arrived(n as i64, n, &request(1.0, 1.0, SECOND_US, 60 * SECOND_US));
        demand.request_placed(n as i64, &n);
    }
    for n in 100..200u64 {
        demand.request_arrived(50, n, &request(1.0, 1.0, SECOND_US, 60 * SECOND_US));
    }
    demand.set_peer_summaries(SECOND_US, Vec::new());
    let mut delays: Vec<i64> = Vec::new();
    for n in 200..300u64 {
        if let AdmissionDecision::Reject { retry_after_us, expected_us, cores_ahead, .. } =
            demand.request_arrived(SECOND_US, n, &request(1.0, 1.0, SECOND_US, SECOND_US))
        {
            assert!(cores_ahead >= 100.0 && expected_us.is_none_or(|x| x > SECOND_US));
            delays.push(retry_after_us);
        }
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 90, "{} distinct retry delays", delays.len());
    assert!(
        delays[delays.len() - 1] > delays[0] * 3 / 2,
        "delays from {} to {} us",
        delays[0],
        delays[delays.len() - 1]
    );
}
