//! Simulates random rolling restarts. Coordinators fail or stall at any step, their requests arrive
//! late, writes reach only some of the voters, the machine list is late, and machines restart by
//! themselves, late, or not at all. At no time may more than `max_draining` machines be drained; no
//! machine may be drained twice, and every machine must end in the right stage. A failing case
//! prints its seed.
use basaltpitch_rolling_restart::{
    ListedMachine, RestartAction, RestartConfig, RestartCoordinator, RestartOutcome, RestartPlan,
    RestartProgress, RestartStage,
};
use std::collections::VecDeque;

const TICK_US: i64 = 100_000;
const CONFIG: RestartConfig = RestartConfig { empty_settle_us: 300_000, resend_after_us: 600_000 };
const PLAN: RestartPlan = RestartPlan {
    id: 1,
    zone: String::new(),
    max_draining: 2,
    drain_timeout_us: 3_000_000,
    restart_timeout_us: 2_000_000,
    paused: false,
    stopped: false,
};

#[derive(Clone)]
struct Machine {
    started_us: i64,
    is_draining: bool,
    times_drained: u32,
    /// Ticks from the start of a drain until the machine is empty.
    empty_in_ticks: u32,
    /// Whether the machine restarts once it is drained and empty.
    restarts: bool,
    is_gone: bool,
}

type StoredProgress = (u64, u64, RestartProgress<usize>);
/// A drain request in transit: time of arrival, token and number, machine, start time, whether to
/// drain.
type DrainRequest = (i64, (u64, u64), usize, i64, bool);

/// Safety measure that a simulation leaves out; the check must notice its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    /// All safety measures are in place.
    Baseline,
    /// Requests with an older fencing token are not refused.
    FencingToken,
    /// Older requests of the same coordinator are not refused.
    RequestNumber,
    /// Drain requests apply whatever the start time of the machine.
    MachineStart,
    /// A new coordinator acts on its predecessor's progress before a majority of voters has stored
    /// it.
    Adoption,
}

struct World {
    removed: RemovedGuard,
    rng: fastrand::Rng,
    now: i64,
    machines: Vec<Machine>,
    /// Recent states of the machines, newest last; the machine list shows any of them.
    history: VecDeque<Vec<Machine>>,
    /// Highest fencing token that the registry has seen.
    highest_token: u64,
    /// Token and number of the last request that was accepted for each machine.
    last_version: [(u64, u64); 7],
    /// Token that each voter last voted for, and the progress that it stores.
    voters: [(u64, Option<StoredProgress>); 3],
    /// Fencing token of the last lease.
    token: u64,
    coordinator: Option<RestartCoordinator<usize>>,
    /// Number of the current coordinator's last write.
    write_number: u64,
    writing: Option<StoredProgress>,
    in_flight: Vec<DrainRequest>,
}

impl World {
    fn new(seed: u64, removed: RemovedGuard) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let machine = |n: i64| Machine {
            started_us: 1000 + n,
            is_draining: false,
            times_drained: 0,
            empty_in_ticks: rng.u32(0..20),
            restarts: rng.u8(0..10) > 0,
            is_gone: rng.u8(0..12) == 0,
        };
        let machines: Vec<Machine> = (0..7).map(machine).collect();
        let history = VecDeque::from([machines.clone()]);
        let (voters, token) = ([const { (0, None) }; 3], 0);
        let (coordinator, write_number, writing, in_flight) = (None, 0, None, Vec::new());
        World {
            removed,
            rng,
            now: 0,
            machines,
            history,
            highest_token: 0,
            last_version: [(0, 0); 7],
            voters,
            token,
            coordinator,
            write_number,
            writing,
            in_flight,
        }
    }

    /// A new coordinator acquires the lease by the votes of two of three voters, with the newest
    /// progress that these store.
    fn elect_coordinator(&mut self) {
        self.token += 1;
        let absent_voter = self.rng.usize(0..3);
        let mut newest: Option<StoredProgress> = None;
        for (_, voter) in self.voters.iter_mut().enumerate().filter(|(index, _)| *index != absent_voter) {
            voter.0 = self.token;
            let is_newer = |n: &&StoredProgress| newest.as_ref().is_none_or(|b| (n.0, n.1) > (b.0, b.1));
            newest = voter.1.as_ref().filter(is_newer).cloned().or(newest);
        }
        let left = newest.map(|b| b.2);
        let mut coordinator = RestartCoordinator::new(self.now, CONFIG, left);
        if self.removed == RemovedGuard::Adoption {
            coordinator.on_progress_recorded(self.now);
        }
        coordinator.on_plan(self.now, PLAN);
        (self.coordinator, self.write_number, self.writing) = (Some(coordinator), 0, None);
    }

    fn tick(&mut self) {
        self.now += TICK_US;
        match self.rng.u32(0..100) {
            0..20 if self.coordinator.is_none() => self.elect_coordinator(),
            _ if self.coordinator.is_none() => {}
            // The coordinator fails; the requests that it sent still arrive.
            0..4 => self.coordinator = None,
            // The link to the registry ends.
            4..6 => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_list_lost();
                }
            }
            _ => {}
        }
        self.write();
        self.receive_list();
        self.run_actions();
        self.deliver();
        self.advance_machines();
        self.history.push_back(self.machines.clone());
        while self.history.len() > 3 {
            self.history.pop_front();
        }
    }

    /// In each tick, the progress that is being stored reaches each voter with a probability of one
    /// third. The coordinator is notified once a majority stores it.
    fn write(&mut self) {
        let Some(progress) = self.writing.clone() else { return };
        for voter in &mut self.voters {
            if self.rng.u8(0..3) == 0 && voter.0 <= progress.0 {
                *voter = (progress.0, Some(progress.clone()));
            }
        }
        let stores = |v: &&(u64, Option<StoredProgress>)| {
            v.1.as_ref().is_some_and(|n| (n.0, n.1) == (progress.0, progress.1))
        };
        if self.voters.iter().filter(stores).count() >= 2 {
            if let Some(coordinator) = self.coordinator.as_mut().filter(|_| progress.0 == self.token) {
                self.writing = None;
                coordinator.on_progress_recorded(self.now);
            }
        }
    }

    fn receive_list(&mut self) {
        let age = self.rng.usize(0..self.history.len());
        let Some(coordinator) = &mut self.coordinator else { return };
        if self.rng.u8(0..2) == 0 {
            for (m, x) in self.history[age].iter().enumerate() {
                let is_empty = x.empty_in_ticks == 0;
                let listed = ListedMachine {
                    started_us: x.started_us,
                    is_draining: x.is_draining,
                    is_gone: x.is_gone,
                    is_empty,
                };
                coordinator.on_machine(self.now, m, "", listed);
            }
            coordinator.on_whole_list(|_| true);
        }
        coordinator.advance(self.now);
    }

    fn run_actions(&mut self) {
        let Some(coordinator) = &mut self.coordinator else { return };
        while let Some(action) = coordinator.next_action() {
            match action {
                RestartAction::RecordProgress(progress) => {
                    self.write_number += 1;
                    self.writing = Some((self.token, self.write_number, progress));
                }
                RestartAction::SetDraining { machine, started_us, draining, number } => {
                    // Most requests arrive soon; those of a stalled process arrive much later.
                    let delay_ticks = if self.rng.u8(0..10) == 0 { self.rng.i64(0..40) } else { 0 };
                    let version = (self.token, number);
                    self.in_flight.push((
                        self.now + delay_ticks * TICK_US,
                        version,
                        machine,
                        started_us,
                        draining,
                    ));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |request| request.0 <= now).collect();
        for (_, version, m, started_us, draining) in due {
            if version.0 < self.highest_token && self.removed != RemovedGuard::FencingToken {
                continue;
            }
            let same_token = version.0 == self.last_version[m].0;
            if same_token && version < self.last_version[m] && self.removed != RemovedGuard::RequestNumber {
                continue;
            }
            self.highest_token = self.highest_token.max(version.0);
            self.last_version[m] = version;
            let machine = &mut self.machines[m];
            if draining && started_us != machine.started_us && self.removed != RemovedGuard::MachineStart {
                continue;
            }
            machine.times_drained += u32::from(draining && !machine.is_draining);
            machine.is_draining = draining;
        }
    }

    fn advance_machines(&mut self) {
        for machine in &mut self.machines {
            if machine.is_draining && machine.empty_in_ticks > 0 {
                machine.empty_in_ticks -= 1;
            } else if machine.is_draining && machine.restarts && self.rng.u8(0..8) == 0 {
                (machine.started_us, machine.is_draining) = (machine.started_us + 1000, false);
            }
        }
    }

    fn progress(&self) -> Option<&RestartProgress<usize>> {
        self.coordinator.as_ref().and_then(|coordinator| coordinator.progress())
    }
}

/// Runs a random rolling restart and returns the first violation.
fn simulate(seed: u64, removed: RemovedGuard) -> Result<(), String> {
    let mut world = World::new(seed, removed);
    for _ in 0..6000 {
        world.tick();
        let draining = world.machines.iter().filter(|machine| machine.is_draining).count();
        if draining > PLAN.max_draining {
            return Err(format!("seed {seed}: {draining} machines drained at once at {} us", world.now));
        }
        if let Some(m) = world.machines.iter().position(|machine| machine.times_drained > 1) {
            return Err(format!("seed {seed}: machine {m} drained twice at {} us", world.now));
        }
        if world.progress().is_some_and(|progress| progress.is_over() && progress.plan.id == 1)
            && world.in_flight.is_empty()
        {
            return check_final_state(seed, &world);
        }
    }
    Err(format!("seed {seed}: rolling restart not over: {:?}", world.progress()))
}

fn check_final_state(seed: u64, world: &World) -> Result<(), String> {
    let progress = world.progress().expect("the rolling restart is over");
    for (m, machine) in world.machines.iter().enumerate() {
        let stage = progress.machines.get(&m).map(|restart| restart.stage);
        let is_expected = match stage {
            Some(RestartStage::Done(RestartOutcome::Restarted)) => machine.started_us > 1500,
            Some(RestartStage::Done(RestartOutcome::NotRestarted)) => machine.times_drained == 1,
            Some(RestartStage::Done(RestartOutcome::Absent)) | None => machine.is_gone,
            _ => false,
        };
        if !is_expected || machine.is_draining {
            let (started, drains) = (machine.started_us, machine.is_draining);
            return Err(format!(
                "seed {seed}: machine {m} in stage {stage:?}, started at {started}, draining: {drains}"
            ));
        }
    }
    Ok(())
}

#[test]
fn coordinator_failures_cause_no_missed_or_repeated_drain_and_keep_the_limit() {
    let violations: Vec<String> =
        (0..1000).filter_map(|seed| simulate(seed, RemovedGuard::Baseline).err()).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn detects_violation_without_any_one_safety_measure() {
    for removed in [
        RemovedGuard::FencingToken,
        RemovedGuard::RequestNumber,
        RemovedGuard::MachineStart,
        RemovedGuard::Adoption,
    ] {
        let found = (0..20_000).find(|&seed| simulate(seed, removed).is_err());
        println!("{removed:?}: {found:?}");
        assert!(found.is_some(), "no violation found without {removed:?}");
    }
}

fn receive_list(coordinator: &mut RestartCoordinator<usize>, now: i64, machines: &[ListedMachine]) {
    machines
        .iter()
        .enumerate()
        .for_each(|(machine, listed)| coordinator.on_machine(now, machine, "", *listed));
    coordinator.on_whole_list(|m| *m < machines.len());
    coordinator.advance(now);
}

fn drain_requests(coordinator: &mut RestartCoordinator<usize>, now: i64) -> Vec<(usize, bool)> {
    let mut requests = Vec::new();
    while let Some(action) = coordinator.next_action() {
        match action {
            RestartAction::RecordProgress(_) => coordinator.on_progress_recorded(now),
            RestartAction::SetDraining { machine, draining, .. } => requests.push((machine, draining)),
        }
    }
    requests
}

#[test]
fn paused_plan_begins_no_restart_and_stopped_plan_cancels_drains() {
    let ready = ListedMachine { started_us: 5, is_draining: false, is_gone: false, is_empty: true };
    let mut machines = [ready; 4];
    let mut coordinator = RestartCoordinator::new(0, CONFIG, None);
    coordinator.on_plan(0, PLAN);
    assert_eq!(drain_requests(&mut coordinator, 0), [], "no request before the machine list is received");
    receive_list(&mut coordinator, 1, &machines);
    assert_eq!(drain_requests(&mut coordinator, 1), [(0, true), (1, true)]);
    coordinator.on_plan(2, RestartPlan { paused: true, ..PLAN });
    machines[0] = ListedMachine { started_us: 6, ..ready };
    machines[1].is_draining = true;
    receive_list(&mut coordinator, 3, &machines);
    assert_eq!(
        drain_requests(&mut coordinator, 3),
        [(0, false)],
        "the restarted machine is released and no other machine is drained"
    );
    let mut now = 3;
    for _ in 0..2 {
        now += CONFIG.resend_after_us;
        receive_list(&mut coordinator, now, &machines);
        assert!(
            !drain_requests(&mut coordinator, now).iter().any(|request| request.1),
            "no drain request while paused"
        );
    }
    coordinator.on_plan(now, RestartPlan { stopped: true, ..PLAN });
    assert_eq!(drain_requests(&mut coordinator, now), [(1, false)]);
    machines[1].is_draining = false;
    now += CONFIG.resend_after_us;
    receive_list(&mut coordinator, now, &machines);
    assert_eq!(drain_requests(&mut coordinator, now), []);
    let stages: Vec<RestartStage> =
        coordinator.progress().unwrap().machines.values().map(|restart| restart.stage).collect();
    let stopped = RestartStage::Done(RestartOutcome::Stopped);
    assert_eq!(stages[0], RestartStage::Done(RestartOutcome::Restarted));
    assert_eq!(stages[2..], [stopped, stopped]);
    assert!(coordinator.progress().unwrap().is_over());
}
