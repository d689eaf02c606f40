//! A planner that coordinates rolling restarts, between its lease client, the registry and the decisions of
//! `basaltpitch_rolling_restart`: events go in, metadata to be written and frames come out.
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::voter_server::LONGEST_METADATA;
use basaltpitch_agent::wire::{self, Body, Entry, List, Readiness};
use basaltpitch_rolling_restart::{
    ListedMachine, RestartAction, RestartConfig, RestartCoordinator, RestartPlan, RestartProgress,
};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::mpsc;

/// The name of the lease of who coordinates rolling restarts; its metadata is the progress.
pub const RESTART_LEASE: &str = "roll";
/// The name of the lease of an operator who asks for a rolling restart; its metadata is the plan.
pub const PLAN_LEASE: &str = "roll-wanted";

/// Cores or memory may differ by so much from those of an empty machine: sums of figures are rounded.
const ROUNDING: f64 = 1e-6;

/// What a planner with a slot needs to coordinate rolling restarts.
pub struct RollingRestartConfig {
    /// Events of the leases beside the slot.
    pub lease_events: mpsc::Receiver<LeaseEvent>,
    /// Commands for the lease client.
    pub lease_commands: mpsc::Sender<LeaseCommand>,
    /// Cores and memory of each kind of machine: what is free on one that is empty.
    pub machine_sizes: HashMap<String, (f64, f64)>,
    /// Attempts are on their way to a machine that drains for so long, in microseconds.
    pub drain_grace_us: i64,
}

/// What is held with the lease.
struct Coordination {
    token: u64,
    deadline: LeaseDeadline,
    coordinator: RestartCoordinator<String>,
}

/// The machine list as the registry last sent it, and the rolling restart, while this planner coordinates it.
pub struct RollingRestartCoordinator {
    config: RollingRestartConfig,
    /// Machines and their zones.
    fleet: BTreeMap<String, (String, ListedMachine)>,
    /// Whether the list was received whole since the registry's link came up.
    has_whole_list: bool,
    coordination: Option<Coordination>,
    wakeup_us: i64,
}

/// What the last coordinator left; `Err` where it makes no sense.
fn read_progress(metadata: &[u8]) -> Result<Option<RestartProgress<String>>, serde_json::Error> {
    if metadata.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(metadata).map(Some)
}

impl RollingRestartCoordinator {
    /// A planner that does not hold the lease yet.
    pub fn new(config: RollingRestartConfig) -> Self {
        RollingRestartCoordinator {
            config,
            fleet: BTreeMap::new(),
            has_whole_list: false,
            coordination: None,
            wakeup_us: i64::MAX,
        }
    }

    /// The next event of a lease; none any more once the slot is lost.
    pub async fn next_lease_event(&mut self) -> Option<LeaseEvent> {
        self.config.lease_events.recv().await
    }

    /// When `advance` has something to do, in microseconds.
    pub fn next_wakeup_us(&self) -> i64 {
        self.wakeup_us
    }

    /// Time passes.
    pub fn advance(&mut self, now: i64) {
        if now < self.wakeup_us {
            return;
        }
        self.wakeup_us = i64::MAX;
        if let Some(held) = &mut self.coordination {
            held.coordinator.advance(now);
            self.wakeup_us = now + self.config.drain_grace_us;
        }
    }

    /// An event of a lease.
    pub fn on_lease_event(&mut self, now: i64, event: LeaseEvent) {
        match (event, &mut self.coordination) {
            (LeaseEvent::Acquired { lease, token, metadata, deadline }, _) if &*lease == RESTART_LEASE => {
                match read_progress(&metadata) {
                    Ok(left) => self.on_acquired(now, token, deadline, left),
                    // Begun anew, it would drain machines a second time.
                    Err(e) => {
                        tracing::error!(error = %e, "the last coordinator's progress makes no sense");
                    }
                }
            }
            (LeaseEvent::Lost { lease }, _) if &*lease == RESTART_LEASE => self.coordination = None,
            (LeaseEvent::MetadataRecorded { lease }, Some(held)) if &*lease == RESTART_LEASE => {
                held.coordinator.on_progress_recorded(now);
            }
            (LeaseEvent::MetadataChanged { lease, metadata }, Some(held)) if &*lease == PLAN_LEASE => {
                match serde_json::from_slice::<RestartPlan>(&metadata) {
                    Ok(plan) => held.coordinator.on_plan(now, plan),
                    Err(e) => {
                        tracing::error!(error = %e, "the plan of the rolling restart makes no sense");
                    }
                }
            }
            _ => {}
        }
    }

    fn on_acquired(
        &mut self,
        now: i64,
        token: u64,
        deadline: LeaseDeadline,
        left: Option<RestartProgress<String>>,
    ) {
        // The list shows a drain when its machine has received it, which takes a moment.
        let grace_us = self.config.drain_grace_us;
        let config = RestartConfig { empty_settle_us: grace_us, resend_after_us: grace_us };
        let coordinator = RestartCoordinator::new(now, config, left);
        self.wakeup_us = now + grace_us;
        let held = self.coordination.insert(Coordination { token, deadline, coordinator });
        if self.has_whole_list {
            for (machine, (zone, listed)) in &self.fleet {
                held.coordinator.on_machine(now, machine.clone(), zone, *listed);
            }
            held.coordinator.on_whole_list(|machine| self.fleet.contains_key(machine));
            held.coordinator.advance(now);
        }
    }

    fn listed_machine(&self, entry: &Entry) -> ListedMachine {
        let size = self.config.machine_sizes.get(&entry.kind).copied();
        let (cores, memory) = size.unwrap_or((f64::MAX, f64::MAX));
        let readiness = Readiness::try_from(entry.readiness);
        ListedMachine {
            started_us: entry.started_us,
            is_draining: readiness == Ok(Readiness::Draining),
            is_gone: readiness != Ok(Readiness::Draining) && readiness != Ok(Readiness::Ready),
            is_empty: entry.cores_left >= cores - ROUNDING && entry.memory_left >= memory - ROUNDING,
        }
    }

    /// Entries of the registry's list, whole or changes.
    pub fn on_machine_list(&mut self, now: i64, list: &List) {
        if list.whole {
            (self.has_whole_list, self.fleet) = (true, BTreeMap::new());
        }
        for entry in &list.entries {
            let listed = self.listed_machine(entry);
            if let Some(held) = &mut self.coordination {
                held.coordinator.on_machine(now, entry.machine.clone(), &entry.zone, listed);
            }
            self.fleet.insert(entry.machine.clone(), (entry.zone.clone(), listed));
        }
        if let Some(held) = &mut self.coordination {
            if list.whole {
                held.coordinator.on_whole_list(|machine| self.fleet.contains_key(machine));
            }
            held.coordinator.advance(now);
        }
    }

    /// The registry's link ended.
    pub fn on_registry_lost(&mut self) {
        self.has_whole_list = false;
        if let Some(held) = &mut self.coordination {
            held.coordinator.on_list_lost();
        }
    }

    /// The next frame for the registry. What is to be recorded goes to the lease client.
    pub fn next_frame(&mut self) -> Option<Body> {
        let held = self.coordination.as_mut()?;
        while let Some(action) = held.coordinator.next_action() {
            match action {
                RestartAction::RecordProgress(progress) => {
                    let metadata = serde_json::to_vec(&progress).expect("it has texts for keys");
                    let is_too_long = metadata.len() > LONGEST_METADATA;
                    let (lease, token) = (RESTART_LEASE.into(), held.token);
                    let write = LeaseCommand::WriteMetadata { lease, token, metadata };
                    if is_too_long || self.config.lease_commands.try_send(write).is_err() {
                        let machines = progress.machines.len();
                        let why = "the progress of the rolling restart cannot be recorded; it stands still";
                        tracing::error!(machines, is_too_long, why);
                        self.coordination = None;
                        return None;
                    }
                }
                // A process that was stopped wakes with requests decided: another may coordinate by then.
                RestartAction::SetDraining { .. } if !held.deadline.is_held() => {}
                RestartAction::SetDraining { machine, started_us, draining, number } => {
                    tracing::info!(machine, draining, "rolling restart");
                    let (on, token) = (draining, held.token);
                    return Some(Body::Drain(wire::Drain { machine, on, token, number, started_us }));
                }
            }
        }
        None
    }
}
