//! The report of the machines of one process. Serialized names of fields are part of the protocol
//! between processes.
use super::MachineProcess;
use crate::scale::traffic::{by_planner, TrafficByPlanner};
use serde::Serialize;
use serde_json::Value;

/// Counts of attempts and restarts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Counts {
    pub(super) launched: u64,
    pub(super) started: u64,
    pub(super) refused: u64,
    pub(super) ended: u64,
    pub(super) restarts: u64,
}

/// The report of the machines of one process.
#[derive(Serialize)]
struct MachinesView {
    machines: usize,
    /// Machines with a link to at least one planner.
    linked: usize,
    /// Links between machines and planners.
    links: usize,
    /// Lowest number of links of a machine; `None` without machines.
    fewest_links: Option<usize>,
    /// Tasks that are running.
    running: usize,
    /// Running tasks of absent planners.
    #[serde(rename = "others")]
    absent_tasks: usize,
    #[serde(flatten)]
    counts: Counts,
    /// Traffic by planner.
    planners: TrafficByPlanner,
}

impl MachineProcess {
    /// Returns the report: running tasks, links, and the traffic with each planner as the machines
    /// count it.
    pub(super) fn view(&self) -> Value {
        let connections = self.machines.iter().flat_map(|machine| machine.connections.values());
        let current = connections.filter_map(|connection| {
            Some((connection.peer.as_ref()?.name.as_str(), *connection.traffic.borrow()))
        });
        let machines = &self.machines;
        let running = |machine: &super::Machine| machine.tasks.values().filter(|task| task.running).count();
        let view = MachinesView {
            machines: machines.len(),
            linked: machines.iter().filter(|machine| !machine.links.is_empty()).count(),
            links: machines.iter().map(|machine| machine.links.len()).sum(),
            fewest_links: machines.iter().map(|machine| machine.links.len()).min(),
            running: machines.iter().map(running).sum(),
            absent_tasks: machines.iter().map(|machine| machine.absent_tasks).sum(),
            counts: self.counts,
            planners: by_planner(&self.past_traffic, current),
        };
        serde_json::to_value(view).unwrap_or_default()
    }
}
