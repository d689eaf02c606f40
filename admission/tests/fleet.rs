//! Simulates a fleet of planners with clients of their own, machines that all planners see, and
//! admission control on each planner. Compares the value of the placed tasks at 1, 1.5, 3 and 10
//! times the load with no admission control, with admission control by the planner's own demand
//! alone, and with a single planner that sees all demand. Guards against an admission threshold
//! that loses value under overload.
#![allow(clippy::too_many_lines, reason = "one simulation is a loop of steps in a fixed order")]
use basaltpitch_admission::{AdmissionDecision, DemandSummary, LocalDemand, PeerSummary, RequestDemand};
use expect_test::expect;
use fastrand::Rng;
use std::collections::VecDeque;

const SECOND_US: i64 = 1_000_000;
const TICK_US: i64 = 10_000;
const FLEET_CORES: f64 = 400.0;
const PLANNERS: usize = 10;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Admission {
    /// No admission control.
    None,
    /// Each planner decides by its own demand alone.
    Own,
    /// Planners exchange summaries.
    Shared,
    /// Shared, but no summary arrives from second 12 to second 16, during the high load.
    Outage,
    /// A single planner receives all requests.
    Central,
}

struct TaskClass {
    priority_weight: f64,
    cores: f64,
    latency_objective_us: i64,
    time_limit_us: i64,
    run_time_us: i64,
    /// Share of all requested cores.
    load_share: f64,
}

const fn class(
    priority_weight: f64,
    cores: f64,
    [latency_objective_us, time_limit_us, run_time_us]: [i64; 3],
    load_share: f64,
) -> TaskClass {
    TaskClass { priority_weight, cores, latency_objective_us, time_limit_us, run_time_us, load_share }
}

const CLASSES: [TaskClass; 4] = [
    class(1.0, 1.0, [600_000, 6 * SECOND_US, 3 * SECOND_US], 0.4),
    class(1.0, 4.0, [600_000, 6 * SECOND_US, 3 * SECOND_US], 0.2),
    class(5.0, 12.0, [5 * SECOND_US, 9 * SECOND_US, 4 * SECOND_US], 0.2),
    class(6.0, 1.0, [2 * SECOND_US, 8 * SECOND_US, 3 * SECOND_US], 0.2),
];

#[derive(Clone, Copy)]
struct Task {
    class: usize,
    number: u64,
    arrived_at: i64,
}

#[derive(Default, Clone, Copy, PartialEq, Debug)]
struct Totals {
    requested: f64,
    rejected: f64,
    /// Requests that were admitted and not placed before their deadline.
    expired: f64,
    admitted: f64,
    value: f64,
}

struct Planner {
    demand: LocalDemand<u64>,
    queue: VecDeque<Task>,
    /// The summary that its peers last received.
    sent_summary: DemandSummary,
    next_send_at: i64,
}

/// Simulates 30 seconds; the load is `load` from second 10 to second 20, and 0.8 otherwise.
/// `uneven` is the share of all requests that the first planner's clients submit in addition to
/// their even share of the rest; 0 for an even split.
fn simulate(admission: Admission, load: f64, seed: u64, uneven: f64) -> Totals {
    let planners = if admission == Admission::Central { 1 } else { PLANNERS };
    let mut random = Rng::with_seed(seed);
    let new_planner = |index: usize| Planner {
        demand: LocalDemand::new(0, seed ^ index as u64),
        queue: VecDeque::new(),
        sent_summary: DemandSummary::default(),
        next_send_at: index as i64 * SECOND_US / PLANNERS as i64,
    };
    let mut all: Vec<Planner> = (0..planners).map(new_planner).collect();
    let mut free = FLEET_CORES;
    let mut ends: std::collections::BTreeMap<(i64, u64), f64> = Default::default();
    let (mut totals, mut number, mut now) = (Totals::default(), 0, 0);
    // Summaries arrive one second after they are sent.
    let mut in_flight: VecDeque<(i64, usize, DemandSummary)> = VecDeque::new();
    while now < 30 * SECOND_US {
        now += TICK_US;
        while let Some(first) = ends.first_entry().filter(|e| e.key().0 <= now) {
            free += first.remove();
        }
        let current_load = if (10 * SECOND_US..20 * SECOND_US).contains(&now) { load } else { 0.8 };
        for (class, spec) in CLASSES.iter().enumerate() {
            let rate =
                current_load * FLEET_CORES * spec.load_share / (spec.cores * spec.run_time_us as f64 / 1e6);
            let mut expected = rate * TICK_US as f64 / 1e6;
            while expected > 0.0 && random.f64() < expected {
                expected -= 1.0;
                number += 1;
                let first = uneven > 0.0 && random.f64() < uneven;
                let planner = if first { 0 } else { random.usize(0..planners) };
                totals.requested += 1.0;
                let request = RequestDemand {
                    priority_weight: spec.priority_weight,
                    cores: spec.cores,
                    latency_objective_us: spec.latency_objective_us,
                    time_left_us: spec.time_limit_us,
                };
                let decision = match admission {
                    Admission::None => AdmissionDecision::Queue,
                    _ => all[planner].demand.request_arrived(now, number, &request),
                };
                match decision {
                    AdmissionDecision::Reject { retry_after_us, .. } => {
                        assert!(retry_after_us > 0);
                        totals.rejected += 1.0;
                    }
                    _ => {
                        totals.admitted += 1.0;
                        all[planner].queue.push_back(Task { class, number, arrived_at: now });
                    }
                }
            }
        }
        // Planners place in turn, starting with a random one. Each goes through its queue in order
        // and keeps the tasks that do not fit.
        let first = random.usize(0..planners);
        for offset in 0..planners {
            let planner = &mut all[(first + offset) % planners];
            planner.demand.set_machines([(FLEET_CORES, free)].into_iter());
            let mut unplaced = VecDeque::new();
            while let Some(task) = planner.queue.pop_front() {
                let spec = &CLASSES[task.class];
                let waited = now - task.arrived_at;
                if waited > spec.time_limit_us {
                    planner.demand.request_expired(now, &task.number);
                    totals.expired += 1.0;
                } else if spec.cores <= free {
                    free -= spec.cores;
                    ends.insert((now + spec.run_time_us, task.number), spec.cores);
                    planner.demand.request_placed(now, &task.number);
                    let objective = spec.latency_objective_us;
                    let late = (waited - objective).max(0) as f64 / (spec.time_limit_us - objective) as f64;
                    totals.value += spec.priority_weight * (1.0 - 0.8 * late);
                } else {
                    unplaced.push_back(task);
                }
            }
            planner.queue = unplaced;
        }
        for (index, planner) in all.iter_mut().enumerate() {
            if now >= planner.next_send_at {
                planner.next_send_at += SECOND_US;
                let values = planner.demand.summary(now).to_values();
                // Encode and decode the summary as the wire does.
                let summary = DemandSummary::from_values(&values).expect("a valid summary can be read back");
                in_flight.push_back((now + SECOND_US, index, summary));
            }
        }
        while in_flight.front().is_some_and(|x| x.0 <= now) {
            let (_, index, summary) = in_flight.pop_front().expect("the front element was checked above");
            all[index].sent_summary = summary;
        }
        if now % (25 * TICK_US) == 0 {
            let is_outage = admission == Admission::Outage && (12 * SECOND_US..16 * SECOND_US).contains(&now);
            let connected = matches!(admission, Admission::Shared | Admission::Outage) && !is_outage;
            for index in 0..planners {
                let peers = if connected {
                    (0..planners)
                        .filter(|peer| *peer != index)
                        .map(|peer| PeerSummary {
                            age_us: SECOND_US,
                            planners: 1,
                            summary: all[peer].sent_summary.clone(),
                        })
                        .collect()
                } else {
                    Vec::new()
                };
                all[index].demand.set_peer_summaries(now, peers);
            }
        }
    }
    totals
}

fn row(admission: Admission, load: f64, uneven: f64) -> String {
    let runs: Vec<Totals> = (1..=3).map(|seed| simulate(admission, load, seed, uneven)).collect();
    let value: Vec<f64> = runs.iter().map(|r| r.value).collect();
    let mean = value.iter().sum::<f64>() / 3.0;
    let min = value.iter().copied().fold(f64::MAX, f64::min);
    let max = value.iter().copied().fold(0.0, f64::max);
    let expired = runs.iter().map(|r| r.expired / r.admitted).sum::<f64>() / 3.0;
    let rejected = runs.iter().map(|r| r.rejected / r.requested).sum::<f64>() / 3.0;
    let name = format!("{admission:?}");
    format!(
        "{load} times, {name:8} value {mean:6.0} ({min:.0} to {max:.0}), rejected {:4.1} %, admitted and expired {:4.1} %\n",
        rejected * 100.0,
        expired * 100.0
    )
}

fn table(loads: &[f64], uneven: f64) -> String {
    let modes = [Admission::None, Admission::Own, Admission::Shared, Admission::Outage, Admission::Central];
    loads.iter().flat_map(|load| modes.map(|admission| row(admission, *load, uneven))).collect()
}

#[test]
fn placed_value_under_load_matches_snapshot() {
    let rows = table(&[1.0, 1.5, 3.0, 10.0], 0.0);
    expect![[r#"
        1 times, None     value   5914 (5899 to 5937), rejected  0.0 %, admitted and expired  0.0 %
        1 times, Own      value   5883 (5870 to 5899), rejected  0.8 %, admitted and expired  0.0 %
        1 times, Shared   value   5892 (5876 to 5911), rejected  0.9 %, admitted and expired  0.0 %
        1 times, Outage   value   5889 (5876 to 5903), rejected  0.8 %, admitted and expired  0.0 %
        1 times, Central  value   5898 (5886 to 5915), rejected  0.8 %, admitted and expired  0.0 %
        1.5 times, None     value   6649 (6634 to 6665), rejected  0.0 %, admitted and expired  1.0 %
        1.5 times, Own      value   6882 (6840 to 6963), rejected  5.3 %, admitted and expired  0.0 %
        1.5 times, Shared   value   6875 (6811 to 6973), rejected  6.0 %, admitted and expired  0.0 %
        1.5 times, Outage   value   6880 (6833 to 6962), rejected  6.0 %, admitted and expired  0.0 %
        1.5 times, Central  value   6916 (6881 to 6972), rejected  4.6 %, admitted and expired  0.0 %
        3 times, None     value   5880 (5659 to 6060), rejected  0.0 %, admitted and expired 23.1 %
        3 times, Own      value   8857 (8803 to 8890), rejected 33.0 %, admitted and expired  0.0 %
        3 times, Shared   value   8757 (8675 to 8833), rejected 34.6 %, admitted and expired  0.0 %
        3 times, Outage   value   8751 (8670 to 8831), rejected 34.9 %, admitted and expired  0.0 %
        3 times, Central  value   8870 (8806 to 8913), rejected 33.4 %, admitted and expired  0.0 %
        10 times, None     value   5132 (4884 to 5300), rejected  0.0 %, admitted and expired 70.4 %
        10 times, Own      value  10170 (9995 to 10265), rejected 73.3 %, admitted and expired  0.0 %
        10 times, Shared   value  10006 (9110 to 10634), rejected 73.7 %, admitted and expired  0.0 %
        10 times, Outage   value  10057 (9262 to 10467), rejected 73.8 %, admitted and expired  0.1 %
        10 times, Central  value  10596 (10267 to 11062), rejected 73.0 %, admitted and expired  0.0 %
    "#]]
    .assert_eq(&rows);
}

#[test]
fn placed_value_with_uneven_clients_matches_snapshot() {
    let rows = table(&[3.0, 10.0], 0.9);
    expect![[r#"
        3 times, None     value   5847 (5696 to 6014), rejected  0.0 %, admitted and expired 26.5 %
        3 times, Own      value   9004 (8938 to 9133), rejected 34.0 %, admitted and expired  0.0 %
        3 times, Shared   value   8939 (8873 to 9053), rejected 35.8 %, admitted and expired  0.0 %
        3 times, Outage   value   8948 (8883 to 9072), rejected 35.5 %, admitted and expired  0.0 %
        3 times, Central  value   9023 (8961 to 9138), rejected 33.6 %, admitted and expired  0.0 %
        10 times, None     value   5535 (5355 to 5818), rejected  0.0 %, admitted and expired 70.8 %
        10 times, Own      value   8565 (8509 to 8626), rejected 73.9 %, admitted and expired  0.0 %
        10 times, Shared   value   9624 (9065 to 10152), rejected 73.5 %, admitted and expired  0.0 %
        10 times, Outage   value   8341 (8181 to 8445), rejected 73.5 %, admitted and expired  0.3 %
        10 times, Central  value  10284 (9881 to 10902), rejected 73.4 %, admitted and expired  0.0 %
    "#]]
    .assert_eq(&rows);
}
