//! Coordination of rolling restarts by the planner that holds the lease for it. Connects the
//! decisions of `basaltpitch_rolling_restart` to the lease client and the registry: lease events
//! and machine lists come in, lease metadata and frames for the registry go out. Times are
//! microseconds.
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::voter_server::MAX_METADATA_BYTES;
use basaltpitch_agent::wire::{self, Body, Entry, List, Readiness};
use basaltpitch_rolling_restart::{
    ListedMachine, RestartAction, RestartConfig, RestartCoordinator, RestartPlan, RestartProgress,
};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::mpsc;

/// The name of the lease that the coordinator of rolling restarts holds; its metadata is the
/// progress.
pub const RESTART_LEASE: &str = "roll";
/// The name of the lease with which an operator requests a rolling restart; its metadata is the
/// plan.
pub const PLAN_LEASE: &str = "roll-wanted";

/// Tolerance, in cores or memory units, for a machine to count as empty: the free capacity in a
/// list entry is a sum with rounding errors.
const EMPTY_TOLERANCE: f64 = 1e-6;

/// The inputs and settings with which a planner coordinates rolling restarts.
pub struct RollingRestartConfig {
    /// Events of the leases other than the slot's own.
    pub lease_events: mpsc::Receiver<LeaseEvent>,
    /// Commands for the lease client.
    pub lease_commands: mpsc::Sender<LeaseCommand>,
    /// By machine kind, the cores and memory of a machine, which are all free when it is empty.
    pub machine_sizes: HashMap<String, (f64, f64)>,
    /// How long attempts may still arrive at a machine after it starts to drain, in microseconds.
    pub drain_grace_us: i64,
}

/// The state of this planner while it holds the lease.
struct Coordination {
    token: u64,
    deadline: LeaseDeadline,
    coordinator: RestartCoordinator<String>,
}

/// The machine list as the registry last sent it, and the rolling restart while this planner
/// coordinates it.
pub struct RollingRestartCoordinator {
    config: RollingRestartConfig,
    /// By machine name, its zone and its list entry.
    fleet: BTreeMap<String, (String, ListedMachine)>,
    /// Whether a complete list was received since the registry's link came up.
    has_whole_list: bool,
    /// `None` while this planner does not coordinate.
    coordination: Option<Coordination>,
    wakeup_us: i64,
}

/// Parses the progress that the previous coordinator stored; `None` if there is no progress.
fn read_progress(metadata: &[u8]) -> Result<Option<RestartProgress<String>>, serde_json::Error> {
    if metadata.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(metadata).map(Some)
}

impl RollingRestartCoordinator {
    /// Creates a coordinator for a planner that does not hold the lease yet.
    pub fn new(config: RollingRestartConfig) -> Self {
        RollingRestartCoordinator {
            config,
            fleet: BTreeMap::new(),
            has_whole_list: false,
            coordination: None,
            wakeup_us: i64::MAX,
        }
    }

    /// Waits for the next lease event; `None` once the planner has lost its slot.
    pub async fn next_lease_event(&mut self) -> Option<LeaseEvent> {
        self.config.lease_events.recv().await
    }

    /// Returns the time at which `advance` has something to do, in microseconds.
    pub fn next_wakeup_us(&self) -> i64 {
        self.wakeup_us
    }

    /// Advances the rolling restart to the time `now`, if it is due.
    pub fn advance(&mut self, now: i64) {
        if now < self.wakeup_us {
            return;
        }
        self.wakeup_us = i64::MAX;
        if let Some(coordination) = &mut self.coordination {
            coordination.coordinator.advance(now);
            self.wakeup_us = now + self.config.drain_grace_us;
        }
    }

    /// Handles an event of the coordinator's lease or of the plan's lease.
    pub fn on_lease_event(&mut self, now: i64, event: LeaseEvent) {
        match (event, &mut self.coordination) {
            (LeaseEvent::Acquired { lease, token, metadata, deadline }, _) if &*lease == RESTART_LEASE => {
                match read_progress(&metadata) {
                    Ok(progress) => self.on_acquired(now, token, deadline, progress),
                    // Without the stored progress, the restart would drain machines a second time.
                    Err(error) => {
                        tracing::error!(
                            error = %error,
                            "unreadable rolling restart progress in the lease metadata; not coordinating"
                        );
                    }
                }
            }
            (LeaseEvent::Lost { lease }, _) if &*lease == RESTART_LEASE => self.coordination = None,
            (LeaseEvent::MetadataRecorded { lease }, Some(coordination)) if &*lease == RESTART_LEASE => {
                coordination.coordinator.on_progress_recorded(now);
            }
            (LeaseEvent::MetadataChanged { lease, metadata }, Some(coordination))
                if &*lease == PLAN_LEASE =>
            {
                match serde_json::from_slice::<RestartPlan>(&metadata) {
                    Ok(plan) => coordination.coordinator.on_plan(now, plan),
                    Err(error) => {
                        tracing::error!(
                            error = %error,
                            "unreadable rolling restart plan in the lease metadata; plan ignored"
                        );
                    }
                }
            }
            _ => {}
        }
    }

    /// Starts to coordinate, from the progress that the previous coordinator stored.
    fn on_acquired(
        &mut self,
        now: i64,
        token: u64,
        deadline: LeaseDeadline,
        progress: Option<RestartProgress<String>>,
    ) {
        // The machine list shows a drain only after the machine has received it, so a drain that is
        // not listed yet is resent no earlier than after the grace period.
        let grace_us = self.config.drain_grace_us;
        let config = RestartConfig { empty_settle_us: grace_us, resend_after_us: grace_us };
        let coordinator = RestartCoordinator::new(now, config, progress);
        self.wakeup_us = now + grace_us;
        let coordination = self.coordination.insert(Coordination { token, deadline, coordinator });
        if self.has_whole_list {
            for (machine, (zone, listed)) in &self.fleet {
                coordination.coordinator.on_machine(now, machine.clone(), zone, *listed);
            }
            coordination.coordinator.on_whole_list(|machine| self.fleet.contains_key(machine));
            coordination.coordinator.advance(now);
        }
    }

    /// Converts an entry of the registry's list. A machine of an unknown kind never counts as
    /// empty.
    fn listed_machine(&self, entry: &Entry) -> ListedMachine {
        let size = self.config.machine_sizes.get(&entry.kind).copied();
        let (cores, memory) = size.unwrap_or((f64::MAX, f64::MAX));
        let readiness = Readiness::try_from(entry.readiness);
        ListedMachine {
            started_us: entry.started_us,
            is_draining: readiness == Ok(Readiness::Draining),
            is_gone: readiness != Ok(Readiness::Draining) && readiness != Ok(Readiness::Ready),
            is_empty: entry.cores_left >= cores - EMPTY_TOLERANCE
                && entry.memory_left >= memory - EMPTY_TOLERANCE,
        }
    }

    /// Handles entries of the registry's machine list: a complete list or changes.
    pub fn on_machine_list(&mut self, now: i64, list: &List) {
        if list.whole {
            (self.has_whole_list, self.fleet) = (true, BTreeMap::new());
        }
        for entry in &list.entries {
            let listed = self.listed_machine(entry);
            if let Some(coordination) = &mut self.coordination {
                coordination.coordinator.on_machine(now, entry.machine.clone(), &entry.zone, listed);
            }
            self.fleet.insert(entry.machine.clone(), (entry.zone.clone(), listed));
        }
        if let Some(coordination) = &mut self.coordination {
            if list.whole {
                coordination.coordinator.on_whole_list(|machine| self.fleet.contains_key(machine));
            }
            coordination.coordinator.advance(now);
        }
    }

    /// Handles the end of the registry's link: the list may be outdated from now on.
    pub fn on_registry_lost(&mut self) {
        self.has_whole_list = false;
        if let Some(coordination) = &mut self.coordination {
            coordination.coordinator.on_list_lost();
        }
    }

    /// Returns the next frame for the registry. Progress that must be stored goes to the lease
    /// client as metadata of the coordinator's lease.
    pub fn next_frame(&mut self) -> Option<Body> {
        let coordination = self.coordination.as_mut()?;
        while let Some(action) = coordination.coordinator.next_action() {
            match action {
                RestartAction::RecordProgress(progress) => {
                    let metadata =
                        serde_json::to_vec(&progress).expect("progress serializes: its map keys are strings");
                    let is_too_long = metadata.len() > MAX_METADATA_BYTES;
                    let (lease, token) = (RESTART_LEASE.into(), coordination.token);
                    let write = LeaseCommand::WriteMetadata { lease, token, metadata };
                    if is_too_long || self.config.lease_commands.try_send(write).is_err() {
                        let machines = progress.machines.len();
                        tracing::error!(
                            machines,
                            is_too_long,
                            "cannot store the rolling restart progress; no longer coordinating"
                        );
                        self.coordination = None;
                        return None;
                    }
                }
                // A process that was suspended may resume with a pending drain after its lease has
                // expired, when another planner may coordinate: the drain is dropped.
                RestartAction::SetDraining { .. } if !coordination.deadline.is_held() => {}
                RestartAction::SetDraining { machine, started_us, draining, number } => {
                    tracing::info!(
                        machine,
                        draining,
                        "sending a drain change of the rolling restart to the registry"
                    );
                    let (on, token) = (draining, coordination.token);
                    return Some(Body::Drain(wire::Drain { machine, on, token, number, started_us }));
                }
            }
        }
        None
    }
}
