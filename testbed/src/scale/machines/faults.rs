//! Faults of the machines of one process: random restarts, zones that vanish, and rolling restarts.
use super::{MachineProcess, MachineTimer, MachinesCommand};
use basaltpitch_agent::attempt_table::AttemptTable;
use basaltpitch_agent::wire::{self, Body};

/// Time after which a silent machine is listed as gone, in microseconds.
const SILENT_US: i64 = 2_000_000;
/// Time that a machine is down for a random restart, in microseconds.
const AWAY_US: i64 = 500_000;
/// Time from a rolling restart's drain of a machine to its restart, in microseconds.
const DRAIN_US: i64 = 1_000_000;

impl MachineProcess {
    /// Schedules a machine's next random restart.
    pub(super) fn draw_restart(&mut self, machine: usize) {
        if self.config.restarts_per_hour > 0.0 {
            let hours = -(1.0 - self.rng.f64()).ln() / self.config.restarts_per_hour;
            self.set_timer(machine, (hours * 3.6e9) as i64, MachineTimer::DrawnRestart);
        }
    }

    /// Restarts a machine at random, and schedules its next random restart.
    pub(super) fn drawn_restart(&mut self, machine: usize) {
        if !self.machines[machine].vanished.get() {
            self.stop(machine);
            self.set_timer(machine, AWAY_US, MachineTimer::Restart);
        }
        self.draw_restart(machine);
    }

    /// Returns the machines of a zone.
    fn of_zone(&self, zone: &str) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        machines.filter(|(_, machine)| machine.zone == zone).map(|(index, _)| index).collect()
    }

    /// Executes a command.
    pub(super) fn command(&mut self, command: MachinesCommand) {
        match command {
            MachinesCommand::Report => {}
            MachinesCommand::Vanish(zone) => {
                for machine in self.of_zone(&zone) {
                    self.machines[machine].vanished.set(true);
                    self.set_timer(machine, SILENT_US, MachineTimer::ListAsGone);
                }
            }
            MachinesCommand::Return(zone) => {
                for machine in self.of_zone(&zone) {
                    self.stop(machine);
                    self.machines[machine].vanished.set(false);
                    self.begin(machine);
                }
            }
            MachinesCommand::RollingRestart(at_once) => {
                self.restart_queue = (0..self.machines.len()).collect();
                (0..at_once).for_each(|_| self.drain_next());
            }
        }
    }

    /// Starts or ends a drain, and notifies the connected planners.
    pub(super) fn drain(&mut self, machine: usize, on: bool) {
        let host = &mut self.machines[machine];
        host.draining = on;
        let drain = wire::Drain { machine: host.name.clone(), on, ..wire::Drain::default() };
        host.links.keys().for_each(|planner| host.send(planner, Body::Drain(drain.clone())));
        self.changed.insert(machine);
    }

    /// Drains the next machine of a rolling restart, and schedules its restart.
    fn drain_next(&mut self) {
        if let Some(machine) = self.restart_queue.pop_front() {
            self.drain(machine, true);
            self.set_timer(machine, DRAIN_US, MachineTimer::Restart);
        }
    }

    /// Stops a machine with all its tasks without notifying any planner.
    fn stop(&mut self, machine: usize) {
        let connections: Vec<u64> = self.machines[machine].connections.keys().copied().collect();
        for number in connections {
            if let Some(connection) = self.machines[machine].connections.get(&number) {
                connection.task.abort();
            }
            self.disconnected(machine, number);
        }
        let host = &mut self.machines[machine];
        host.incarnation += 1;
        (host.attempts, host.reserved, host.draining) = (AttemptTable::default(), (0.0, 0.0), false);
        host.absent_tasks = 0;
        host.tasks.clear();
    }

    /// Starts a machine again without any state. In a rolling restart, the next machine is drained
    /// then.
    pub(super) fn begin(&mut self, machine: usize) {
        let rolling = self.machines[machine].draining;
        if !self.machines[machine].vanished.get() {
            if rolling {
                self.stop(machine);
            }
            let now = self.clock.now();
            let host = &mut self.machines[machine];
            (host.started_us, host.gone) = (now, false);
            self.counts.restarts += 1;
            self.changed.insert(machine);
        }
        // A machine that has vanished returns with its zone instead.
        if rolling {
            self.drain_next();
        }
    }
}
