//! A planner's part in zone failover. It merges the zone observations of all planners into
//! evidence, follows the newest failover decision that it receives from voters or peers, and, while
//! it holds the coordinator's lease, makes the decisions with `basaltpitch_zone_failover` and
//! stores them as lease metadata.
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::shared_metrics::SharedDecision;
use basaltpitch_admission::lower_median;
use basaltpitch_zone_failover::zone_metrics::{
    ANSWERING, ATTEMPTS, CORES, CORES_USED, FAILED_ATTEMPTS, MACHINES, READY,
};
use basaltpitch_zone_failover::{
    evidence, plan_failover, Evidence, FailoverAction, FailoverConfig, FailoverCoordinator, FailoverDecision,
    Observation, Opinion, ZoneLoad, ZoneMetrics, ZonePhase,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::sync::mpsc;

/// The name of the failover coordinator's lease; its metadata is the last decision.
pub const LEASE_NAME: &str = "halls";

/// What one planner, or several planners of one zone, observe of each zone.
pub struct ObservedZones {
    /// The index of the planners' own zone.
    pub own_zone: usize,
    /// The number of planners that these observations are from.
    pub planners: usize,
    /// By observed zone, the planners' metrics of it.
    pub zones: Vec<ZoneMetrics>,
}

/// The metadata of the coordinator's lease.
#[derive(Serialize, Deserialize)]
struct StoredDecision {
    number: u64,
    #[serde(rename = "word")]
    decision: FailoverDecision,
}

/// The newest failover decision that this planner knows.
#[derive(Clone, Debug, Default, PartialEq)]
struct KnownDecision {
    /// The lease token of the coordinator that made the decision.
    token: u64,
    /// The number of the decision among those made under the token.
    number: u64,
    /// By zone, its phase.
    phases: Vec<ZonePhase>,
}

/// The state of this planner while it is the failover coordinator.
struct Coordination {
    token: u64,
    lease_deadline: LeaseDeadline,
    /// The number of the decision in force among those made under the token.
    number: u64,
    coordinator: FailoverCoordinator,
}

/// A planner's view of all zones, and its failover coordinator while it holds the lease.
pub struct ZoneMonitor {
    /// The names of the zones.
    names: Vec<String>,
    /// Commands for the lease client.
    commands: mpsc::Sender<LeaseCommand>,
    known: KnownDecision,
    /// `None` while this planner is not the coordinator.
    coordination: Option<Coordination>,
    /// By zone, the evidence from all planners with a fresh summary.
    evidence: Vec<Evidence>,
    /// By zone, the cores used on its ready machines, estimated at confidence: the median of the
    /// planners' estimates.
    cores_used: Vec<f64>,
    /// By zone, the cores of its ready machines: the median of the planners' counts.
    cores: Vec<f64>,
}

/// The state of all zones, as shown to operators. The keys are those of the `-o json` output.
#[derive(Serialize)]
struct ZonesStatus {
    #[serde(rename = "conducts")]
    coordinates: bool,
    #[serde(rename = "halls")]
    zones: Map<String, Value>,
}

/// The state of one zone, as shown to operators.
#[derive(Serialize)]
struct ZoneStatus {
    #[serde(rename = "state")]
    phase: String,
    #[serde(rename = "offers")]
    offered_share: f64,
    evidence: &'static str,
    cores_used: f64,
    /// By the name of another zone, the cores of load that it would take over if this zone failed.
    if_lost_to: Map<String, Value>,
    #[serde(rename = "if_lost_lacks")]
    if_lost_unplaced: f64,
}

/// Returns the code of a phase in a planner's metrics.
fn phase_code(phase: ZonePhase) -> f64 {
    match phase {
        ZonePhase::Healthy => 0.0,
        ZonePhase::Failed => 1.0,
        ZonePhase::Recovering(step) => 2.0 + step as f64,
    }
}

/// Returns the phase with this code.
fn phase_from_code(code: f64) -> ZonePhase {
    match code as usize {
        0 => ZonePhase::Healthy,
        1 => ZonePhase::Failed,
        step => ZonePhase::Recovering(step - 2),
    }
}

/// Returns a phase as it is shown to operators.
fn phase_text(phase: ZonePhase) -> String {
    match phase {
        ZonePhase::Healthy => "well".into(),
        ZonePhase::Failed => "lost".into(),
        ZonePhase::Recovering(step) => format!("returning, step {}", step + 1),
    }
}

/// Returns evidence as it is shown to operators.
fn evidence_text(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Healthy => "well",
        Evidence::Failed => "gone",
        Evidence::Partitioned => "cut off, and lives",
        Evidence::Disputed => "some see it, some do not",
        Evidence::NoQuorum => "too few planners are heard",
    }
}

/// Rounds to tenths of a core, for operators.
fn rounded(cores: f64) -> f64 {
    (cores * 10.0).round() / 10.0
}

impl ZoneMonitor {
    /// Creates a monitor of zones with these names, all healthy. `commands` go to the lease client.
    pub fn new(names: Vec<String>, commands: mpsc::Sender<LeaseCommand>) -> Self {
        let known = KnownDecision { phases: vec![ZonePhase::Healthy; names.len()], ..Default::default() };
        let (evidence, cores) = (vec![Evidence::NoQuorum; names.len()], vec![0.0; names.len()]);
        ZoneMonitor { names, commands, known, coordination: None, evidence, cores_used: cores.clone(), cores }
    }

    /// Handles an event of the coordinator's lease.
    pub fn lease_event(&mut self, now_us: i64, event: LeaseEvent) {
        match (event, &mut self.coordination) {
            (LeaseEvent::Acquired { token, metadata, deadline, .. }, _) => {
                self.elected(now_us, token, deadline, &metadata)
            }
            (LeaseEvent::Lost { .. }, _) => self.coordination = None,
            (LeaseEvent::MetadataRecorded { .. }, Some(coordination)) => {
                coordination.coordinator.decision_stored(now_us);
                coordination.number += 1;
                let (token, number) = (coordination.token, coordination.number);
                let phases = coordination.coordinator.decision().phases();
                self.adopt(token, number, phases);
            }
            _ => {}
        }
    }

    /// Makes this planner the coordinator, with the last decision in the lease's metadata.
    fn elected(&mut self, now_us: i64, token: u64, lease_deadline: LeaseDeadline, metadata: &[u8]) {
        let last = match metadata.is_empty() {
            true => None,
            false => match serde_json::from_slice::<StoredDecision>(metadata) {
                Ok(last) => Some(last.decision),
                Err(error) => {
                    tracing::error!(
                        error = %error,
                        "unreadable failover decision in the lease metadata; coordinating without it"
                    );
                    None
                }
            },
        };
        let config = FailoverConfig::DEFAULT;
        let coordinator = FailoverCoordinator::elected(now_us, config, self.names.len(), last);
        let phases = coordinator.decision().phases();
        self.coordination = Some(Coordination { token, lease_deadline, number: 1, coordinator });
        self.adopt(token, 1, phases);
    }

    /// Follows a decision of another planner or of this one, if it is newer than the known
    /// decision.
    fn adopt(&mut self, token: u64, number: u64, phases: Vec<ZonePhase>) {
        if (token, number) <= (self.known.token, self.known.number) || phases.len() != self.names.len() {
            return;
        }
        for (name, (before, after)) in self.names.iter().zip(self.known.phases.iter().zip(&phases)) {
            if before != after {
                tracing::warn!(
                    zone = name,
                    state = phase_text(*after),
                    was = phase_text(*before),
                    "zone state changed"
                );
            }
        }
        self.known = KnownDecision { token, number, phases };
    }

    /// Follows the decision in a voter's copy of the lease metadata, so that a planner that has
    /// just acquired its slot, or receives no summaries of other planners, knows the decision too.
    /// A majority may not have stored the decision yet; then its coordinator writes it again, or
    /// the next coordinator writes another. Returns true if the known decision changed.
    pub fn decision_from_voter(&mut self, token: u64, metadata: &[u8]) -> bool {
        let before = (self.known.token, self.known.number);
        // Metadata that cannot be parsed is logged by the coordinator.
        if let Ok(stored) = serde_json::from_slice::<StoredDecision>(metadata) {
            self.adopt(token, stored.number, stored.decision.phases());
        }
        before != (self.known.token, self.known.number)
    }

    /// Follows the decision in another planner's summary, made by its [`Self::shared_decision`].
    pub fn decision_from_peer(&mut self, shared: &SharedDecision) {
        if shared.token >= 1 && shared.number >= 1 {
            let phases = shared.phases.iter().map(|code| phase_from_code(*code)).collect();
            self.adopt(shared.token, shared.number, phases);
        }
    }

    /// Returns the known decision, to be published to peers.
    pub fn shared_decision(&self) -> SharedDecision {
        let KnownDecision { token, number, phases } = &self.known;
        let phases = phases.iter().map(|phase| phase_code(*phase)).collect();
        SharedDecision { token: *token, number: *number, phases }
    }

    /// Evaluates the observations of all planners with a fresh summary, including this planner.
    /// `slot_count` is the number of planner slots, by which a quorum of planners is judged. If
    /// this planner is the coordinator, it may make a decision, which goes to the lease client.
    pub fn observe(&mut self, now_us: i64, slot_count: usize, observed: &[ObservedZones]) {
        for zone in 0..self.names.len() {
            self.observe_zone(now_us, slot_count, zone, observed);
        }
        let Some(coordination) =
            self.coordination.as_mut().filter(|coordination| coordination.lease_deadline.is_held())
        else {
            return;
        };
        coordination.coordinator.advance(now_us);
        while let Some(FailoverAction::StoreDecision(decision)) = coordination.coordinator.next_action() {
            let stored = StoredDecision { number: coordination.number + 1, decision };
            let metadata = serde_json::to_vec(&stored).expect("a decision serializes to JSON");
            let write =
                LeaseCommand::WriteMetadata { lease: LEASE_NAME.into(), token: coordination.token, metadata };
            if self.commands.try_send(write).is_err() {
                // A decision must be stored before it takes effect. This planner stops
                // coordinating, and the next lease holder makes the decision.
                tracing::error!(
                    "cannot hand the zone failover decision to the lease client; no longer coordinating"
                );
                self.coordination = None;
                return;
            }
        }
    }

    /// Updates the evidence and the load estimates of one zone.
    fn observe_zone(&mut self, now_us: i64, slot_count: usize, zone: usize, observed: &[ObservedZones]) {
        let reports = || observed.iter().filter_map(|observer| Some((observer, observer.zones.get(zone)?)));
        let observation = |(observer, metrics): (&ObservedZones, &ZoneMetrics)| {
            let opinion = Opinion::from_counts(metrics[MACHINES], metrics[ANSWERING]);
            Observation { zone: observer.own_zone, opinion, planners: observer.planners }
        };
        let observations: Vec<Observation> = reports().map(observation).collect();
        self.evidence[zone] = evidence(zone, slot_count, &observations);
        let median = |index: usize| {
            let with_ready_machines = reports().filter(|(_, metrics)| metrics[READY] > 0.0);
            let each = with_ready_machines
                .flat_map(|(observer, metrics)| std::iter::repeat_n(metrics[index], observer.planners));
            lower_median(each.collect())
        };
        (self.cores[zone], self.cores_used[zone]) = (median(CORES), median(CORES_USED));
        let (attempts, failed) = reports().fold((0.0, 0.0), |(attempts, failed), (_, metrics)| {
            (attempts + metrics[ATTEMPTS], failed + metrics[FAILED_ATTEMPTS])
        });
        if let Some(coordination) = &mut self.coordination {
            coordination.coordinator.observe(now_us, zone, self.evidence[zone]);
            coordination.coordinator.observe_attempts(zone, attempts, failed);
        }
    }

    /// Returns the phase of each zone, by the known decision.
    pub fn phases(&self) -> &[ZonePhase] {
        &self.known.phases
    }

    /// Returns the state of each zone for operators: the decision, the evidence, and where the
    /// zone's load would go if it failed.
    pub fn view(&self) -> Value {
        let free: Vec<f64> = self.cores.iter().zip(&self.cores_used).map(|(all, used)| all - used).collect();
        let row = |(zone, name): (usize, &String)| (name.clone(), to_value(&self.zone_status(zone, &free)));
        let zones = self.names.iter().enumerate().map(row).collect();
        to_value(&ZonesStatus { coordinates: self.coordination.is_some(), zones })
    }

    fn zone_status(&self, zone: usize, free_cores: &[f64]) -> ZoneStatus {
        let load = [ZoneLoad { weight: 1.0, cores: self.cores_used[zone], pinned: false }];
        let plan = plan_failover(zone, &load, free_cores);
        let to = self.names.iter().zip(&plan.cores_by_zone).filter(|(_, cores)| **cores > 0.0);
        ZoneStatus {
            phase: phase_text(self.known.phases[zone]),
            offered_share: self.known.phases[zone].offered_share(),
            evidence: evidence_text(self.evidence[zone]),
            cores_used: rounded(self.cores_used[zone]),
            if_lost_to: to.map(|(name, cores)| (name.clone(), rounded(*cores).into())).collect(),
            if_lost_unplaced: rounded(plan.unplaced_cores),
        }
    }
}

fn to_value(status: &impl Serialize) -> Value {
    serde_json::to_value(status).expect("a status serializes to JSON")
}
