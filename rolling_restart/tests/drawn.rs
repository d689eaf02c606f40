//! Drawn rolling restarts: coordinators die or stall at any step, their requests come late, writes reach some voters
//! only,
//! the list is late, machines restart by themselves, late, or not at all. No more than so many machines are
//! drained at any moment, none twice, none is forgotten. A failing case names its seed.
use basaltpitch_rolling_restart::{
    ListedMachine, RestartAction, RestartConfig, RestartCoordinator, RestartOutcome, RestartPlan,
    RestartProgress, RestartStage,
};
use std::collections::VecDeque;

const TICK: i64 = 100_000;
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
    /// Ticks until it is empty once drained, and whether its updater restarts it then.
    empties_in: u32,
    restarts: bool,
    is_gone: bool,
}

type StoredProgress = (u64, u64, RestartProgress<usize>);
/// A drain on its way: when it comes, token and number, machine, start, on.
type DrainRequest = (i64, (u64, u64), usize, i64, bool);

/// Which guard is removed: the check must notice it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    Nothing,
    /// The registry refuses no older token.
    Fence,
    /// Nor an older request of the same coordinator.
    Numbers,
    /// A drain is taken whatever the machine's start.
    MachineStart,
    /// What a predecessor left is acted on before a majority keeps it.
    Adoption,
}

struct World {
    removed: RemovedGuard,
    rng: fastrand::Rng,
    now: i64,
    machines: Vec<Machine>,
    /// How the machines were, the newest last: the list is late.
    past: VecDeque<Vec<Machine>>,
    fence: u64,
    /// By machine: token and number of the last word that was taken.
    last: [(u64, u64); 7],
    /// By voter: the token that it last voted for, and the progress that it stores.
    voters: [(u64, Option<StoredProgress>); 3],
    token: u64,
    coordinator: Option<RestartCoordinator<usize>>,
    number: u64,
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
            empties_in: rng.u32(0..20),
            restarts: rng.u8(0..10) > 0,
            is_gone: rng.u8(0..12) == 0,
        };
        let machines: Vec<Machine> = (0..7).map(machine).collect();
        let past = VecDeque::from([machines.clone()]);
        let (voters, token) = ([const { (0, None) }; 3], 0);
        let (coordinator, number, writing, in_flight) = (None, 0, None, Vec::new());
        World {
            removed,
            rng,
            now: 0,
            machines,
            past,
            fence: 0,
            last: [(0, 0); 7],
            voters,
            token,
            coordinator,
            number,
            writing,
            in_flight,
        }
    }

    /// Another acquires the lease, by two of three voters, with the newest progress that these store.
    fn elect_another(&mut self) {
        self.token += 1;
        let out = self.rng.usize(0..3);
        let mut best: Option<StoredProgress> = None;
        for (_, voter) in self.voters.iter_mut().enumerate().filter(|(index, _)| *index != out) {
            voter.0 = self.token;
            let newer = |n: &&StoredProgress| best.as_ref().is_none_or(|b| (n.0, n.1) > (b.0, b.1));
            best = voter.1.as_ref().filter(newer).cloned().or(best);
        }
        let left = best.map(|b| b.2);
        let mut coordinator = RestartCoordinator::new(self.now, CONFIG, left);
        if self.removed == RemovedGuard::Adoption {
            coordinator.on_progress_recorded(self.now);
        }
        coordinator.on_plan(self.now, PLAN);
        (self.coordinator, self.number, self.writing) = (Some(coordinator), 0, None);
    }

    fn tick(&mut self) {
        self.now += TICK;
        match self.rng.u32(0..100) {
            0..20 if self.coordinator.is_none() => self.elect_another(),
            _ if self.coordinator.is_none() => {}
            // It dies; what it had sent still comes.
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
        self.machines_go_on();
        self.past.push_back(self.machines.clone());
        while self.past.len() > 3 {
            self.past.pop_front();
        }
    }

    /// What is to be kept reaches a voter or not, each tick; a majority that has it is told.
    fn write(&mut self) {
        let Some(progress) = self.writing.clone() else { return };
        for voter in &mut self.voters {
            if self.rng.u8(0..3) == 0 && voter.0 <= progress.0 {
                *voter = (progress.0, Some(progress.clone()));
            }
        }
        let keeps = |v: &&(u64, Option<StoredProgress>)| {
            v.1.as_ref().is_some_and(|n| (n.0, n.1) == (progress.0, progress.1))
        };
        if self.voters.iter().filter(keeps).count() >= 2 {
            if let Some(coordinator) = self.coordinator.as_mut().filter(|_| progress.0 == self.token) {
                self.writing = None;
                coordinator.on_progress_recorded(self.now);
            }
        }
    }

    fn receive_list(&mut self) {
        let late = self.rng.usize(0..self.past.len());
        let Some(coordinator) = &mut self.coordinator else { return };
        if self.rng.u8(0..2) == 0 {
            for (m, x) in self.past[late].iter().enumerate() {
                let is_empty = x.empties_in == 0;
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
        while let Some(call) = coordinator.next_action() {
            match call {
                RestartAction::RecordProgress(progress) => {
                    self.number += 1;
                    self.writing = Some((self.token, self.number, progress));
                }
                RestartAction::SetDraining { machine, started_us, draining, number } => {
                    // Mostly soon; one of a process that stalled comes much later.
                    let late = if self.rng.u8(0..10) == 0 { self.rng.i64(0..40) } else { 0 };
                    let version = (self.token, number);
                    self.in_flight.push((self.now + late * TICK, version, machine, started_us, draining));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |request| request.0 <= now).collect();
        for (_, version, m, started_us, draining) in due {
            if version.0 < self.fence && self.removed != RemovedGuard::Fence {
                continue;
            }
            let same = version.0 == self.last[m].0;
            if same && version < self.last[m] && self.removed != RemovedGuard::Numbers {
                continue;
            }
            self.fence = self.fence.max(version.0);
            self.last[m] = version;
            let machine = &mut self.machines[m];
            if draining && started_us != machine.started_us && self.removed != RemovedGuard::MachineStart {
                continue;
            }
            machine.times_drained += u32::from(draining && !machine.is_draining);
            machine.is_draining = draining;
        }
    }

    fn machines_go_on(&mut self) {
        for machine in &mut self.machines {
            if machine.is_draining && machine.empties_in > 0 {
                machine.empties_in -= 1;
            } else if machine.is_draining && machine.restarts && self.rng.u8(0..8) == 0 {
                (machine.started_us, machine.is_draining) = (machine.started_us + 1000, false);
            }
        }
    }

    fn progress(&self) -> Option<&RestartProgress<usize>> {
        self.coordinator.as_ref().and_then(|coordinator| coordinator.progress())
    }
}

/// What went wrong in a drawn roll, if anything.
fn play(seed: u64, removed: RemovedGuard) -> Result<(), String> {
    let mut w = World::new(seed, removed);
    for _ in 0..6000 {
        w.tick();
        let drained = w.machines.iter().filter(|machine| machine.is_draining).count();
        if drained > PLAN.max_draining {
            return Err(format!("seed {seed}: {drained} drained at once at {}", w.now));
        }
        if let Some(m) = w.machines.iter().position(|machine| machine.times_drained > 1) {
            return Err(format!("seed {seed}: machine {m} drained twice at {}", w.now));
        }
        if w.progress().is_some_and(|p| p.is_over() && p.plan.id == 1) && w.in_flight.is_empty() {
            return ended(seed, &w);
        }
    }
    Err(format!("seed {seed}: not over: {:?}", w.progress()))
}

fn ended(seed: u64, w: &World) -> Result<(), String> {
    let p = w.progress().expect("it is over");
    for (m, machine) in w.machines.iter().enumerate() {
        let stage = p.machines.get(&m).map(|restart| restart.stage);
        let right = match stage {
            Some(RestartStage::Done(RestartOutcome::Restarted)) => machine.started_us > 1500,
            Some(RestartStage::Done(RestartOutcome::NotRestarted)) => machine.times_drained == 1,
            Some(RestartStage::Done(RestartOutcome::Absent)) | None => machine.is_gone,
            _ => false,
        };
        if !right || machine.is_draining {
            let (started, drains) = (machine.started_us, machine.is_draining);
            return Err(format!("seed {seed}: machine {m} at {stage:?}, start {started}, drains {drains}"));
        }
    }
    Ok(())
}

#[test]
fn whoever_dies_when_no_machine_is_forgotten_or_drained_twice_or_beyond_the_limit() {
    let wrong: Vec<String> = (0..1000).filter_map(|seed| play(seed, RemovedGuard::Nothing).err()).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn what_keeps_it_safe_is_missed_where_it_is_left_out() {
    for removed in
        [RemovedGuard::Fence, RemovedGuard::Numbers, RemovedGuard::MachineStart, RemovedGuard::Adoption]
    {
        let found = (0..20_000).find(|&seed| play(seed, removed).is_err());
        println!("{removed:?}: {found:?}");
        assert!(found.is_some(), "nothing was found: {removed:?}");
    }
}

fn whole(coordinator: &mut RestartCoordinator<usize>, now: i64, machines: &[ListedMachine]) {
    machines
        .iter()
        .enumerate()
        .for_each(|(machine, listed)| coordinator.on_machine(now, machine, "", *listed));
    coordinator.on_whole_list(|m| *m < machines.len());
    coordinator.advance(now);
}

fn calls(coordinator: &mut RestartCoordinator<usize>, now: i64) -> Vec<(usize, bool)> {
    let mut drains = Vec::new();
    while let Some(call) = coordinator.next_action() {
        match call {
            RestartAction::RecordProgress(_) => coordinator.on_progress_recorded(now),
            RestartAction::SetDraining { machine, draining, .. } => drains.push((machine, draining)),
        }
    }
    drains
}

#[test]
fn paused_it_begins_no_further_turn_and_stopped_it_lets_go_of_what_is_under_way() {
    let ready = ListedMachine { started_us: 5, is_draining: false, is_gone: false, is_empty: true };
    let mut machines = [ready; 4];
    let mut coordinator = RestartCoordinator::new(0, CONFIG, None);
    coordinator.on_plan(0, PLAN);
    assert_eq!(calls(&mut coordinator, 0), [], "nothing before the list is heard");
    whole(&mut coordinator, 1, &machines);
    assert_eq!(calls(&mut coordinator, 1), [(0, true), (1, true)]);
    coordinator.on_plan(2, RestartPlan { paused: true, ..PLAN });
    machines[0] = ListedMachine { started_us: 6, ..ready };
    machines[1].is_draining = true;
    whole(&mut coordinator, 3, &machines);
    assert_eq!(calls(&mut coordinator, 3), [(0, false)], "the one that restarted; no other in its place");
    let mut now = 3;
    for _ in 0..2 {
        now += CONFIG.resend_after_us;
        whole(&mut coordinator, now, &machines);
        assert!(!calls(&mut coordinator, now).iter().any(|x| x.1), "paused");
    }
    coordinator.on_plan(now, RestartPlan { stopped: true, ..PLAN });
    assert_eq!(calls(&mut coordinator, now), [(1, false)]);
    machines[1].is_draining = false;
    now += CONFIG.resend_after_us;
    whole(&mut coordinator, now, &machines);
    assert_eq!(calls(&mut coordinator, now), []);
    let stages: Vec<RestartStage> =
        coordinator.progress().unwrap().machines.values().map(|restart| restart.stage).collect();
    let stopped = RestartStage::Done(RestartOutcome::Stopped);
    assert_eq!(stages[0], RestartStage::Done(RestartOutcome::Restarted));
    assert_eq!(stages[2..], [stopped, stopped]);
    assert!(coordinator.progress().unwrap().is_over());
}
