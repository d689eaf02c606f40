//! What one seed draws: how many clients at which pace, how machines answer and fail, how each life of the planner
//! ends.
use fastrand::Rng;
use std::time::Duration;

/// The platform kills a planner no earlier than its longest deadline, counted as 3 s at most, and 0.7 s after it was
/// told to stop.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// Lives that one seed has.
const LIVES: usize = 2;
/// Cores of the six machines together.
const FLEET_CORES: f64 = 96.0;
/// Offered load of a crowd, as a share of what the machines hold.
const CROWD_LOAD: f64 = 1.4;

/// A signal that the planner gets at a time from the order to stop on, or before it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSignal {
    pub at_ms: i64,
    pub signal: PlannerSignal,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlannerSignal {
    Reload,
    Stop,
    Hold,
    Resume,
    Kill,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineFault {
    None,
    /// Its connections are reset now and then.
    Resets,
    /// It closes connections on which nothing was said for a moment.
    ClosesIdle,
    /// It reads and says nothing for some time.
    Hangs,
}

#[derive(Clone, Debug)]
pub struct MachinePlan {
    /// Longest time until it answers; each answer draws its own.
    pub max_lag: Duration,
    pub fault: MachineFault,
}

#[derive(Clone, Debug)]
pub struct LifePlan {
    /// From the start of the clients to the order to stop, or to an outright kill.
    pub serves_for: Duration,
    /// In order of time; the last is the kill.
    pub signals: Vec<PlannedSignal>,
    /// The machine that drains, from the order to stop on.
    pub drains: Option<(usize, Duration)>,
    /// The coordinator answers nobody for so long from the order to stop on.
    pub coordinator_breaks_for: Duration,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub clients: usize,
    pub is_crowd: bool,
    /// Mean time between two requests of one client.
    pub pace: Duration,
    pub machines: Vec<MachinePlan>,
    pub lives: Vec<LifePlan>,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut random = Rng::with_seed(seed);
        let is_crowd = random.u32(0..4) == 0;
        let clients = if is_crowd { 75 } else { random.usize(3..21) };
        let mean_cores_held = 1.0;
        let crowd_pace = clients as f64 * mean_cores_held / (CROWD_LOAD * FLEET_CORES);
        let pace = if is_crowd { crowd_pace } else { 0.05 + 0.3 * random.f64() };
        let slow = random.bool();
        let machines = (0..6).map(|_| draw_machine(&mut random, slow)).collect();
        let lives = (0..LIVES).map(|_| draw_life(&mut random)).collect();
        Plan { seed, clients, is_crowd, pace: Duration::from_secs_f64(pace), machines, lives }
    }
}

fn draw_machine(random: &mut Rng, slow: bool) -> MachinePlan {
    let max_ms = if slow { random.u64(200..1_200) } else { random.u64(5..100) };
    let fault = match random.u32(0..10) {
        0 => MachineFault::Resets,
        1 => MachineFault::ClosesIdle,
        2 => MachineFault::Hangs,
        _ => MachineFault::None,
    };
    MachinePlan { max_lag: Duration::from_millis(max_ms), fault }
}

fn draw_life(random: &mut Rng) -> LifePlan {
    let serves_for = Duration::from_millis(random.u64(1_000..2_500));
    let is_killed_outright = random.u32(0..8) == 0;
    let signals = if is_killed_outright {
        vec![PlannedSignal { at_ms: 0, signal: PlannerSignal::Kill }]
    } else {
        draw_planned_end(random)
    };
    let drains = random.bool().then(|| (random.usize(0..6), Duration::from_millis(random.u64(0..1_500))));
    let breaks_ms = if drains.is_none() && random.bool() { random.u64(200..2_000) } else { 0 };
    LifePlan { serves_for, signals, drains, coordinator_breaks_for: Duration::from_millis(breaks_ms) }
}

/// SIGHUP and SIGTERM in series, in half of the cases with the process held round the order to stop.
fn draw_planned_end(random: &mut Rng) -> Vec<PlannedSignal> {
    let mut signals = vec![PlannedSignal { at_ms: 0, signal: PlannerSignal::Stop }];
    for _ in 0..random.u32(0..4) {
        let signal = if random.bool() { PlannerSignal::Reload } else { PlannerSignal::Stop };
        let from_ms = if signal == PlannerSignal::Reload { -100 } else { 1 };
        signals.push(PlannedSignal { at_ms: random.i64(from_ms..2_000), signal });
    }
    if random.bool() {
        let hold_ms = random.i64(100..801);
        let held_at_ms = -random.i64(0..hold_ms);
        signals.push(PlannedSignal { at_ms: held_at_ms, signal: PlannerSignal::Hold });
        signals.push(PlannedSignal { at_ms: held_at_ms + hold_ms, signal: PlannerSignal::Resume });
    }
    signals.push(PlannedSignal { at_ms: EARLIEST_KILL.as_millis() as i64, signal: PlannerSignal::Kill });
    signals.sort_by_key(|planned| planned.at_ms);
    signals
}
