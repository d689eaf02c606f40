//! The plan drawn from a seed: the number of clients and their request rate, how machines answer
//! and fail, and how each run of the planner process ends.
use fastrand::Rng;
use std::time::Duration;

/// The platform waits at least this long after SIGTERM before it kills a planner: the longest
/// deadline, counted as 3 s at most, plus 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// Runs of the planner process per seed.
const RUNS_PER_SEED: usize = 2;
/// Cores of the six machines together.
const FLEET_CORES: f64 = 96.0;
/// Load offered in an overloaded plan, as a multiple of the machines' cores.
const OVERLOAD: f64 = 1.4;

/// A signal sent to the planner at a planned time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSignal {
    /// Milliseconds after the order to stop (or the outright kill); negative before it.
    pub at_ms: i64,
    pub signal: PlannerSignal,
}

/// The signals that the planner process receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlannerSignal {
    /// SIGHUP.
    Reload,
    /// SIGTERM, the order to stop.
    Stop,
    /// SIGSTOP.
    Hold,
    /// SIGCONT.
    Resume,
    /// SIGKILL.
    Kill,
}

/// How a simulated machine fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineFault {
    None,
    /// The machine resets each connection after a random time.
    Resets,
    /// The machine closes connections on which it receives nothing for 500 ms.
    ClosesIdle,
    /// The machine delays half of its answers by 2 s.
    Hangs,
}

/// The plan of one simulated machine.
#[derive(Clone, Debug)]
pub struct MachinePlan {
    /// Maximum delay of an answer; the delay of each answer is drawn at random.
    pub max_latency: Duration,
    pub fault: MachineFault,
}

/// The plan of one run of the planner process, from its start to its kill.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Time from the start of the clients to the order to stop, or to an outright kill.
    pub serves_for: Duration,
    /// The signals in order of time; the last one is SIGKILL.
    pub signals: Vec<PlannedSignal>,
    /// The machine that drains and the delay of its drain after the order to stop; `None` when no
    /// machine drains.
    pub drain: Option<(usize, Duration)>,
    /// How long the coordinator sends no replies, from the order to stop on.
    pub coordinator_outage: Duration,
}

/// The plan drawn from one seed.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// The number of clients.
    pub clients: usize,
    /// Whether the clients offer more load than the machines can hold.
    pub is_overloaded: bool,
    /// Mean time between two requests of one client.
    pub mean_interval: Duration,
    pub machines: Vec<MachinePlan>,
    /// The runs of the planner process, one after the other.
    pub runs: Vec<RunPlan>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Rng::with_seed(seed);
        let is_overloaded = random.u32(0..4) == 0;
        let clients = if is_overloaded { 75 } else { random.usize(3..21) };
        let mean_cores_held = 1.0;
        let overload_interval_s = clients as f64 * mean_cores_held / (OVERLOAD * FLEET_CORES);
        let mean_interval_s = if is_overloaded { overload_interval_s } else { 0.05 + 0.3 * random.f64() };
        let is_slow = random.bool();
        let machines = (0..6).map(|_| draw_machine(&mut random, is_slow)).collect();
        let runs = (0..RUNS_PER_SEED).map(|_| draw_run(&mut random)).collect();
        Plan {
            seed,
            clients,
            is_overloaded,
            mean_interval: Duration::from_secs_f64(mean_interval_s),
            machines,
            runs,
        }
    }
}

fn draw_machine(random: &mut Rng, is_slow: bool) -> MachinePlan {
    let max_ms = if is_slow { random.u64(200..1_200) } else { random.u64(5..100) };
    let fault = match random.u32(0..10) {
        0 => MachineFault::Resets,
        1 => MachineFault::ClosesIdle,
        2 => MachineFault::Hangs,
        _ => MachineFault::None,
    };
    MachinePlan { max_latency: Duration::from_millis(max_ms), fault }
}

fn draw_run(random: &mut Rng) -> RunPlan {
    let serves_for = Duration::from_millis(random.u64(1_000..2_500));
    let is_killed_outright = random.u32(0..8) == 0;
    let signals = if is_killed_outright {
        vec![PlannedSignal { at_ms: 0, signal: PlannerSignal::Kill }]
    } else {
        draw_planned_end(random)
    };
    let drain = random.bool().then(|| (random.usize(0..6), Duration::from_millis(random.u64(0..1_500))));
    let outage_ms = if drain.is_none() && random.bool() { random.u64(200..2_000) } else { 0 };
    RunPlan { serves_for, signals, drain, coordinator_outage: Duration::from_millis(outage_ms) }
}

/// Draws a sequence of SIGTERM and SIGHUP before the kill; in half of the cases the process is also
/// paused around the order to stop.
fn draw_planned_end(random: &mut Rng) -> Vec<PlannedSignal> {
    let mut signals = vec![PlannedSignal { at_ms: 0, signal: PlannerSignal::Stop }];
    for _ in 0..random.u32(0..4) {
        let signal = if random.bool() { PlannerSignal::Reload } else { PlannerSignal::Stop };
        let from_ms = if signal == PlannerSignal::Reload { -100 } else { 1 };
        signals.push(PlannedSignal { at_ms: random.i64(from_ms..2_000), signal });
    }
    if random.bool() {
        let pause_ms = random.i64(100..801);
        let paused_at_ms = -random.i64(0..pause_ms);
        signals.push(PlannedSignal { at_ms: paused_at_ms, signal: PlannerSignal::Hold });
        signals.push(PlannedSignal { at_ms: paused_at_ms + pause_ms, signal: PlannerSignal::Resume });
    }
    signals.push(PlannedSignal { at_ms: EARLIEST_KILL.as_millis() as i64, signal: PlannerSignal::Kill });
    signals.sort_by_key(|planned| planned.at_ms);
    signals
}
