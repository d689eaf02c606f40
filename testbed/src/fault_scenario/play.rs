//! Plays the faults of load, machines, links and planners. Each `play_*` function returns whether
//! it handles the fault's kind.
use super::{random_subset, LoadModifiers, PlannerControl, ScheduledFault};
use crate::context::TestbedContext;
use crate::faulty_link::planner_bit;
use crate::machine::{MachineCommand, SimulatedMachine};
use crate::registry::SimulatedRegistry;
use crate::task_usage::HOT_KEYS;
use rand::seq::SliceRandom;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum number of checks, 100 ms apart, whether all planners report a zone as failed. The zone's
/// machines return after the last check in any case.
const FAILED_ZONE_CHECKS: u32 = 300;

/// Everything that faults can affect.
pub struct FaultTargets {
    /// State shared by all simulated peers.
    pub context: Rc<TestbedContext>,
    /// All machines.
    pub fleet: Vec<Rc<SimulatedMachine>>,
    /// The registry of machines.
    pub registry: Rc<SimulatedRegistry>,
    /// Changes to the load.
    pub load: Rc<LoadModifiers>,
    /// The planner processes.
    pub planners: Rc<dyn PlannerControl>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// A fault that is being played.
struct ActiveFault<'a> {
    fault: &'a ScheduledFault,
    duration: Duration,
    /// End of the fault's cause, in microseconds.
    until_us: i64,
    /// The affected machines.
    machines: Vec<Rc<SimulatedMachine>>,
}

impl ActiveFault<'_> {
    /// Sends a command to all affected machines.
    fn send(&self, command: &MachineCommand) {
        self.machines.iter().for_each(|machine| machine.send(command.clone()));
    }
}

impl FaultTargets {
    /// Returns the machines that a fault affects: the named machine, or a random share of the
    /// zone's machines or of all machines.
    fn affected(&self, fault: &ScheduledFault, rng: &mut StdRng) -> Vec<Rc<SimulatedMachine>> {
        let is_name = |wanted: &Option<String>, name: &String| wanted.as_ref().is_none_or(|w| w == name);
        let matching = |machine: &&Rc<SimulatedMachine>| {
            is_name(&fault.machine, &machine.name) && is_name(&fault.zone, &machine.zone)
        };
        let all: Vec<Rc<SimulatedMachine>> = self.fleet.iter().filter(matching).cloned().collect();
        if fault.machine.is_none() {
            random_subset(all, fault.share, rng)
        } else {
            all
        }
    }

    /// Waits for the fault's time, and plays it to its end.
    pub async fn play(self: Rc<Self>, fault: ScheduledFault, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        sleep(Duration::from_micros(fault.at_us as u64)).await;
        let active = ActiveFault {
            duration: Duration::from_micros(fault.duration_us as u64),
            until_us: self.context.clock.now() + fault.duration_us,
            machines: self.affected(&fault, &mut rng),
            fault: &fault,
        };
        let names: Vec<&str> = active.machines.iter().map(|machine| machine.name.as_str()).collect();
        tracing::info!(fault = fault.kind, machines = names.join(" "), "injecting a fault");
        let played = self.play_load(&active, &mut rng).await
            || self.play_planners(&active, &mut rng).await
            || self.play_processes(&active, &mut rng).await
            || self.play_machines(&active).await
            || self.play_links(&active, &mut rng).await
            || self.planners.play(&fault, &mut rng).await;
        if !played {
            let directory = self.context.directory.borrow().clone();
            if let Some(directory) = directory {
                directory.play(&fault.kind, active.duration, self.context.clock).await;
            }
        }
        tracing::info!(fault = fault.kind, "finished injecting the fault; its effects may last longer");
    }

    /// Plays faults of the load: bursts, hot keys and heavy-tailed usage.
    async fn play_load(&self, active: &ActiveFault<'_>, rng: &mut StdRng) -> bool {
        let (fault, load) = (active.fault, &self.load);
        match fault.kind.as_str() {
            "burst" => {
                load.burst.set(fault.strength);
                sleep(active.duration).await;
                load.burst.set(0.0);
            }
            "tenant_burst" => {
                let tenant = self.tenants.first().cloned().unwrap_or_default();
                *load.tenant_burst.borrow_mut() = Some((tenant, fault.strength));
                sleep(active.duration).await;
                *load.tenant_burst.borrow_mut() = None;
            }
            "hot_key" => {
                *load.hot_keys.borrow_mut() =
                    (0..HOT_KEYS).filter(|_| rng.random_bool(fault.share)).collect();
                sleep(active.duration).await;
                load.hot_keys.borrow_mut().clear();
            }
            "heavy_tail" => {
                load.heavy_tail.set((fault.share, fault.strength));
                sleep(active.duration).await;
                load.heavy_tail.set((0.0, 1.0));
            }
            _ => return false,
        }
        true
    }

    /// Kills planners, and restarts them after the fault's duration.
    async fn play_planners(&self, active: &ActiveFault<'_>, rng: &mut StdRng) -> bool {
        let count = self.planners.count();
        let killed = match active.fault.kind.as_str() {
            "planner_kill" => 1.0,
            "balancer_crash" => (active.fault.share * count as f64).ceil(),
            _ => return false,
        };
        let first = rng.random_range(0..count);
        let killed: Vec<usize> = (0..killed as usize).map(|n| (first + n) % count).collect();
        for &planner in &killed {
            self.planners.kill(planner).await;
        }
        sleep(active.duration).await;
        for &planner in &killed {
            self.planners.start(planner).await;
        }
        true
    }

    /// Plays faults in which machines crash, vanish or restart, and return.
    async fn play_processes(&self, active: &ActiveFault<'_>, rng: &mut StdRng) -> bool {
        let (fault, machines) = (active.fault, &active.machines);
        match fault.kind.as_str() {
            "crash" => {
                active.send(&MachineCommand::Down);
                sleep(active.duration).await;
                active.send(&MachineCommand::Up);
            }
            "hall_lost" => self.lose_zone(active).await,
            "vanish" => {
                for machine in machines {
                    machine.unresponsive.set(true);
                    machine.faults.hold_until_us.set(active.until_us);
                }
                sleep(active.duration).await;
                for machine in machines {
                    machine.send(MachineCommand::Restart);
                    machine.unresponsive.set(false);
                }
            }
            "mass_restart" => active.send(&MachineCommand::Restart),
            "restart" => {
                // The connections from before the restart stay open without any traffic, so that
                // they still look alive to the planners.
                for machine in machines {
                    machine.faults.dead_connections.set(machine.connections.get());
                    machine.send(MachineCommand::Restart);
                }
                sleep(active.duration).await;
            }
            "ageing" => {
                for step in 1..=10 {
                    let leaked = 0.05 * f64::from(step) * fault.strength.min(2.0);
                    machines.iter().for_each(|machine| machine.leaked.set(leaked));
                    sleep(active.duration / 10).await;
                }
                active.send(&MachineCommand::Restart);
            }
            "deploy" => self.deploy(active, rng).await,
            _ => return false,
        }
        true
    }

    /// Takes a zone's machines down until all planners report the zone as failed.
    async fn lose_zone(&self, active: &ActiveFault<'_>) {
        let zone = self.zone_of(active.fault);
        let machines: Vec<_> = self.fleet.iter().filter(|machine| machine.zone == zone).collect();
        machines.iter().for_each(|machine| machine.send(MachineCommand::Down));
        sleep(active.duration).await;
        // Planners may take longer than the fault's duration to notice, and machines that return
        // earlier would not count as a failed zone.
        let mut checks = 0;
        while !self.planners.zone_reported_failed(&zone).await && checks < FAILED_ZONE_CHECKS {
            checks += 1;
            sleep(Duration::from_millis(100)).await;
        }
        if checks == FAILED_ZONE_CHECKS {
            self.planners.report_error(format!(
                "zone {zone}: not reported as failed by all planners, though its machines are down"
            ));
        }
        let now = self.context.clock.now();
        self.context.checker.borrow_mut().zone_recovered(now, &zone);
        machines.iter().for_each(|machine| machine.send(MachineCommand::Up));
    }

    /// Returns the zone of a fault, or the zone of the first machine if the fault names none.
    fn zone_of(&self, fault: &ScheduledFault) -> String {
        fault.zone.clone().unwrap_or_else(|| self.fleet[0].zone.clone())
    }

    /// Drains and restarts all machines in waves, in random order.
    async fn deploy(&self, active: &ActiveFault<'_>, rng: &mut StdRng) {
        let waves = (1.0 / active.fault.share).ceil().max(1.0) as usize;
        let mut all: Vec<Rc<SimulatedMachine>> = self.fleet.clone();
        all.shuffle(rng);
        for wave in all.chunks(all.len().div_ceil(waves)) {
            wave.iter().for_each(|machine| machine.send(MachineCommand::Drain(true)));
            sleep(active.duration / waves as u32).await;
            for machine in wave {
                machine.send(MachineCommand::Evacuate);
                machine.send(MachineCommand::Restart);
            }
        }
    }

    /// Plays faults in which machines stay up but misbehave, drain, or are listed late.
    async fn play_machines(&self, active: &ActiveFault<'_>) -> bool {
        let (fault, machines) = (active.fault, &active.machines);
        match fault.kind.as_str() {
            "drain" => {
                active.send(&MachineCommand::Drain(true));
                sleep(active.duration).await;
                active.send(&MachineCommand::Drain(false));
            }
            "drain_offline" => {
                for machine in machines {
                    machine.faults.hold_until_us.set(active.until_us);
                    machine.send(MachineCommand::Drain(true));
                }
                sleep(2 * active.duration).await;
                active.send(&MachineCommand::Drain(false));
            }
            "fast_errors" => {
                machines.iter().for_each(|machine| machine.failure_rate.set(fault.strength.min(1.0)));
                sleep(active.duration).await;
                machines.iter().for_each(|machine| machine.failure_rate.set(0.0));
            }
            "flush" => active.send(&MachineCommand::FlushPrograms),
            "preempt" => active.send(&MachineCommand::Preempt(fault.strength.min(1.0))),
            "report_late" => {
                let delay_us = (fault.strength * 1e6) as i64;
                machines.iter().for_each(|machine| machine.report_delay_us.set(delay_us));
                sleep(active.duration).await;
                machines.iter().for_each(|machine| machine.report_delay_us.set(0));
            }
            "discovery_stale" => {
                self.registry.stale_us.set((fault.strength * 1e6) as i64);
                sleep(active.duration).await;
                self.registry.stale_us.set(0);
            }
            _ => return false,
        }
        true
    }

    /// Plays faults of the machines' links, which delay, cut or lose traffic.
    async fn play_links(&self, active: &ActiveFault<'_>, rng: &mut StdRng) -> bool {
        let machines = &active.machines;
        let until_us = active.until_us;
        match active.fault.kind.as_str() {
            "half_open" => machines
                .iter()
                .for_each(|machine| machine.faults.dead_connections.set(machine.connections.get())),
            "zone_cut" => self.cut_zone(active).await,
            "stall" => machines.iter().for_each(|machine| machine.faults.hold_until_us.set(until_us)),
            "heartbeats" => {
                machines.iter().for_each(|machine| machine.faults.no_heartbeats_until_us.set(until_us));
            }
            "reads_nothing" => {
                machines.iter().for_each(|machine| machine.faults.no_reads_until_us.set(until_us));
            }
            "cut_frames" => {
                for _ in 0..5 {
                    for machine in machines {
                        machine.faults.cut_after_frames.set(Some(rng.random_range(0..30)));
                    }
                    sleep(active.duration / 5).await;
                }
                machines.iter().for_each(|machine| machine.faults.cut_after_frames.set(None));
            }
            "reconnects" => {
                for _ in 0..5 {
                    machines.iter().for_each(|machine| machine.faults.reset());
                    sleep(active.duration / 5).await;
                }
            }
            _ => return false,
        }
        true
    }

    /// Holds back all traffic between the zone and the other zones.
    async fn cut_zone(&self, active: &ActiveFault<'_>) {
        let zone = self.zone_of(active.fault);
        for machine in &self.fleet {
            let cut_off = |planner: &usize| (self.planners.zone(*planner) == zone) != (machine.zone == zone);
            let planners = (0..self.planners.count()).filter(cut_off);
            let bits = planners.fold(0, |bits, planner| bits | planner_bit(&planner.to_string()));
            machine.faults.hold_planners.set(bits);
            machine.faults.hold_until_us.set(if bits == 0 { 0 } else { active.until_us });
        }
        sleep(active.duration).await;
        self.fleet.iter().for_each(|machine| machine.faults.hold_planners.set(0));
    }
}
