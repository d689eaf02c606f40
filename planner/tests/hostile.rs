//! A property test on a faulty network. Random steps cut links, restart machines and kill the
//! planner; the invariants must hold throughout, and once the network is healthy again every
//! request must have its one answer. A failing case prints its steps and can be replayed.
mod net;
use basaltpitch_agent::wire::EndedHow;
use net::{SimulatedNetwork, BIG, ONCE, SMALL};
use proptest::prelude::*;

/// A step of a random case. Tasks and machines are given by index.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in microseconds.
    Advance(i64),
    /// A client submits the next request for a task: framework and task.
    Submit(u8, u8),
    /// A client repeats the last request for a task.
    Resubmit(u8),
    /// A client withdraws the last request for a task.
    Withdraw(u8),
    /// The first pending dial succeeds or fails.
    CompleteDial,
    /// A machine reads a frame: the machine, and the age of the link by number of newer links.
    MachineReads(u8, u8),
    /// The planner reads a frame from a machine.
    PlannerReads(u8),
    /// A machine accepts or refuses a launch.
    DecideLaunch(u8),
    /// A link is cut: the machine, and the number of frames that were not sent.
    CutLink(u8, u8),
    /// An attempt ends: the machine, and the index of the attempt.
    EndAttempt(u8, u8),
    /// A machine restarts.
    RestartMachine(u8),
    /// A machine's drain starts or ends.
    DrainMachine(u8, bool),
    /// A machine starts or stops refusing launches.
    RefuseLaunches(u8, bool),
    /// A machine becomes reachable or unreachable.
    SetReachable(u8, bool),
    /// The registry sends a complete list.
    SendList,
    /// The planner is killed and a successor starts.
    KillPlanner,
    /// Some rounds run without new faults.
    RunRounds(u8),
}

/// Generates one step.
fn step() -> impl Strategy<Value = Step> {
    let small = 0u8..4;
    prop_oneof![
        6 => (0i64..400_000).prop_map(Step::Advance),
        2 => (0i64..4_000_000).prop_map(Step::Advance),
        8 => (0u8..3, 0u8..8).prop_map(|(f, k)| Step::Submit(f, k)),
        3 => (0u8..8).prop_map(Step::Resubmit),
        1 => (0u8..8).prop_map(Step::Withdraw),
        6 => Just(Step::CompleteDial),
        12 => (small.clone(), 0u8..3).prop_map(|(m, l)| Step::MachineReads(m, l)),
        10 => small.clone().prop_map(Step::PlannerReads),
        8 => small.clone().prop_map(Step::DecideLaunch),
        3 => (small.clone(), 0u8..3).prop_map(|(m, n)| Step::CutLink(m, n)),
        3 => (small.clone(), 0u8..4).prop_map(|(m, n)| Step::EndAttempt(m, n)),
        1 => small.clone().prop_map(Step::RestartMachine),
        1 => (small.clone(), any::<bool>()).prop_map(|(m, on)| Step::DrainMachine(m, on)),
        1 => (small.clone(), any::<bool>()).prop_map(|(m, on)| Step::RefuseLaunches(m, on)),
        1 => (small, any::<bool>()).prop_map(|(m, on)| Step::SetReachable(m, on)),
        1 => Just(Step::SendList),
        1 => Just(Step::KillPlanner),
        3 => (1u8..20).prop_map(Step::RunRounds),
    ]
}

/// The last request for a task: its framework, its id (0 if there was none), the epoch of the
/// planner that received it, and its time in microseconds.
#[derive(Clone, Copy, Default)]
struct LastRequest {
    framework: u8,
    request_id: u64,
    epoch: u64,
    at_us: i64,
}

/// Runs the steps on a network of four machines.
fn play(steps: &[Step]) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(4);
    let mut requests = [LastRequest::default(); 8];
    for step in steps {
        match *step {
            Step::Advance(us) => net.advance(us),
            Step::Submit(f, k) => {
                let request = &mut requests[k as usize];
                if request.request_id == 0 {
                    request.framework = f;
                }
                // After a planner's restart, a client waits 20 s before it submits a task again
                // that must not run twice.
                let is_after_restart = request.epoch != net.epoch && request.request_id > 0;
                if is_after_restart && request.framework > 0 && net.now_us < request.at_us + 20_000_000 {
                    continue;
                }
                (request.request_id, request.epoch, request.at_us) =
                    (request.request_id + 1, net.epoch, net.now_us);
                let (framework, request_id) =
                    ([SMALL, BIG, ONCE][request.framework as usize], request.request_id);
                let time_left_us = [6_000_000, 9_000_000, 8_000_000][request.framework as usize];
                net.submit(framework, &format!("{framework}{k}"), request_id, time_left_us);
            }
            Step::Resubmit(k) => {
                let request = requests[k as usize];
                if request.request_id > 0 && request.epoch == net.epoch {
                    let framework = [SMALL, BIG, ONCE][request.framework as usize];
                    net.submit(framework, &format!("{framework}{k}"), request.request_id, 5_000_000);
                }
            }
            Step::Withdraw(k) => {
                let request = requests[k as usize];
                if request.epoch == net.epoch && request.request_id > 0 {
                    let framework = [SMALL, BIG, ONCE][request.framework as usize];
                    net.withdraw(&format!("{framework}{k}"), request.request_id);
                }
            }
            Step::CompleteDial => net.complete_dial(),
            Step::MachineReads(m, back) => {
                let links: Vec<u64> = net.machines[m as usize].links.keys().rev().copied().collect();
                if let Some(&link) = links.get(back as usize) {
                    net.machine_reads(m as usize, link);
                }
            }
            Step::PlannerReads(m) => {
                if let Some(link) = net.newest_link(m as usize) {
                    net.planner_reads(m as usize, link);
                }
            }
            Step::DecideLaunch(m) => net.decide_next_launch(m as usize),
            Step::CutLink(m, unsent) => {
                if let Some(link) = net.newest_link(m as usize) {
                    net.cut_link(m as usize, link, unsent as usize);
                }
            }
            Step::EndAttempt(m, n) => {
                if let Some(&id) = net.machines[m as usize].running.get(n as usize) {
                    let how = [EndedHow::EndedDone, EndedHow::EndedEvicted, EndedHow::EndedSentAway];
                    net.end_attempt(m as usize, id, how[n as usize % 3]);
                }
            }
            Step::RestartMachine(m) => net.restart_machine(m as usize),
            Step::DrainMachine(m, on) => net.drain_machine(m as usize, on),
            Step::RefuseLaunches(m, on) => net.machines[m as usize].refuses_launches = on,
            Step::SetReachable(m, on) => net.machines[m as usize].reachable = on,
            Step::SendList => net.send_list(true),
            Step::KillPlanner => net.kill_planner(),
            Step::RunRounds(rounds) => net.run_rounds(rounds as usize),
        }
    }
    net
}

/// Ends all faults, then lets links come up, frames in flight arrive and time limits pass.
fn heal(net: &mut SimulatedNetwork) {
    for m in 0..net.machines.len() {
        (net.machines[m].reachable, net.machines[m].refuses_launches, net.machines[m].draining) =
            (true, false, false);
    }
    net.send_list(true);
    for _ in 0..30 {
        net.run_rounds(20);
        net.advance(480_000);
    }
    net.run_rounds(50);
}

/// Returns the test configuration: a fixed seed and number of cases, unless the environment sets
/// others.
fn proptest_config() -> ProptestConfig {
    let from_env =
        |name: &str, fallback| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(fallback);
    ProptestConfig {
        cases: from_env("BASALTPITCH_CASES", 3000) as u32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(from_env("BASALTPITCH_SEED", 1)),
        max_shrink_iters: 4000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn invariants_hold_on_faulty_network(steps in proptest::collection::vec(step(), 1..140)) {
        let mut net = play(&steps);
        heal(&mut net);
        let (epoch, log) = (net.epoch, std::mem::take(&mut net.log));
        prop_assert!(net.duplicate_run.is_none(), "{:?}\n{}", net.duplicate_run, log);
        let open = net.planner.open_requests();
        let uncertain = net.planner.uncertain_attempts();
        let (violations, _) = net.finish();
        prop_assert!(violations.is_empty(), "{:#?}\nepoch {}\n{}", violations, epoch, log);
        prop_assert_eq!((open, uncertain), (0, 0), "open requests and uncertain attempts\n{}", log);
    }
}
