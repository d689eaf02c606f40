//! A planner's part in the failover of zones: what it sees goes to the coordinator, whose decision comes back
//! with the summaries of planners; machines of a zone that is not healthy are held back by it. It decides
//! nothing itself: `basaltpitch_zone_failover` does.
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

/// The name of the coordinator's lease, with the voters; its metadata is the last decision.
pub const LEASE_NAME: &str = "halls";

/// What one planner, or several of one zone, see of each zone.
pub struct ObservedZones {
    /// The zone that they are in.
    pub own_zone: usize,
    /// How many planners there are.
    pub planners: usize,
    /// By zone, what they see of it.
    pub zones: Vec<ZoneMetrics>,
}

/// The metadata of the lease.
#[derive(Serialize, Deserialize)]
struct StoredDecision {
    number: u64,
    #[serde(rename = "word")]
    decision: FailoverDecision,
}

/// The decision that counts, as this planner knows it.
#[derive(Clone, Debug, Default, PartialEq)]
struct KnownDecision {
    /// The coordinator's token, and the number of the decision under it.
    token: u64,
    number: u64,
    phases: Vec<ZonePhase>,
}

/// This planner as the coordinator.
struct Coordination {
    token: u64,
    lease_deadline: LeaseDeadline,
    number: u64,
    coordinator: FailoverCoordinator,
}

/// What a planner knows of zones, and its part in deciding about them.
pub struct ZoneMonitor {
    names: Vec<String>,
    commands: mpsc::Sender<LeaseCommand>,
    known: KnownDecision,
    coordination: Option<Coordination>,
    /// By zone, as all planners that are heard see it.
    evidence: Vec<Evidence>,
    /// By zone, cores used at confidence on machines that are ready: the median of what planners see.
    cores_used: Vec<f64>,
    /// By zone, the cores of machines that are ready: the same.
    cores: Vec<f64>,
}

/// What operators see of all zones. The keys are those of the `-o json` output.
#[derive(Serialize)]
struct ZonesStatus {
    #[serde(rename = "conducts")]
    coordinates: bool,
    #[serde(rename = "halls")]
    zones: Map<String, Value>,
}

/// What operators see of a zone.
#[derive(Serialize)]
struct ZoneStatus {
    #[serde(rename = "state")]
    phase: String,
    #[serde(rename = "offers")]
    offered_share: f64,
    evidence: &'static str,
    cores_used: f64,
    /// The cores that would go to other zones if this one failed, by their names.
    if_lost_to: Map<String, Value>,
    #[serde(rename = "if_lost_lacks")]
    if_lost_unplaced: f64,
}

/// A phase as a metric.
fn phase_code(phase: ZonePhase) -> f64 {
    match phase {
        ZonePhase::Healthy => 0.0,
        ZonePhase::Failed => 1.0,
        ZonePhase::Recovering(step) => 2.0 + step as f64,
    }
}

fn phase_from_code(code: f64) -> ZonePhase {
    match code as usize {
        0 => ZonePhase::Healthy,
        1 => ZonePhase::Failed,
        step => ZonePhase::Recovering(step - 2),
    }
}

/// A phase as it is printed.
fn phase_text(phase: ZonePhase) -> String {
    match phase {
        ZonePhase::Healthy => "well".into(),
        ZonePhase::Failed => "lost".into(),
        ZonePhase::Recovering(step) => format!("returning, step {}", step + 1),
    }
}

/// Evidence as it is printed.
fn evidence_text(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Healthy => "well",
        Evidence::Failed => "gone",
        Evidence::Partitioned => "cut off, and lives",
        Evidence::Disputed => "some see it, some do not",
        Evidence::NoQuorum => "too few planners are heard",
    }
}

/// To a tenth, as it is printed.
fn rounded(cores: f64) -> f64 {
    (cores * 10.0).round() / 10.0
}

impl ZoneMonitor {
    /// Of zones with these names. `commands` go to the lease client.
    pub fn new(names: Vec<String>, commands: mpsc::Sender<LeaseCommand>) -> Self {
        let known = KnownDecision { phases: vec![ZonePhase::Healthy; names.len()], ..Default::default() };
        let (evidence, cores) = (vec![Evidence::NoQuorum; names.len()], vec![0.0; names.len()]);
        ZoneMonitor { names, commands, known, coordination: None, evidence, cores_used: cores.clone(), cores }
    }

    /// What became of the coordinator's lease.
    pub fn lease_event(&mut self, now_us: i64, event: LeaseEvent) {
        match (event, &mut self.coordination) {
            (LeaseEvent::Acquired { token, metadata, deadline, .. }, _) => {
                self.elected(now_us, token, deadline, &metadata)
            }
            (LeaseEvent::Lost { .. }, _) => self.coordination = None,
            (LeaseEvent::MetadataRecorded { .. }, Some(own)) => {
                own.coordinator.decision_stored(now_us);
                own.number += 1;
                let (token, number) = (own.token, own.number);
                let phases = own.coordinator.decision().phases();
                self.adopt(token, number, phases);
            }
            _ => {}
        }
    }

    /// This planner is the coordinator now, after one that left this lease metadata.
    fn elected(&mut self, now_us: i64, token: u64, lease_deadline: LeaseDeadline, metadata: &[u8]) {
        let last = match metadata.is_empty() {
            true => None,
            false => match serde_json::from_slice::<StoredDecision>(metadata) {
                Ok(last) => Some(last.decision),
                Err(e) => {
                    tracing::error!(error = %e, "the last coordinator's decision cannot be read");
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

    /// The decision that another planner goes by, or this planner's own: the newest counts.
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

    /// A voter's copy of the lease metadata: with it a planner that has just acquired its slot, or hears no
    /// other, goes by the decision too. A majority may not have stored it yet; then its coordinator writes it
    /// again, or the next one another. True: it changed what is known.
    pub fn decision_from_voter(&mut self, token: u64, metadata: &[u8]) -> bool {
        let before = (self.known.token, self.known.number);
        // Unreadable metadata is reported by the coordinator.
        if let Ok(stored) = serde_json::from_slice::<StoredDecision>(metadata) {
            self.adopt(token, stored.number, stored.decision.phases());
        }
        before != (self.known.token, self.known.number)
    }

    /// Another planner's decision, as [`Self::shared_decision`] made it.
    pub fn decision_from_peer(&mut self, shared: &SharedDecision) {
        if shared.token >= 1 && shared.number >= 1 {
            let phases = shared.phases.iter().map(|code| phase_from_code(*code)).collect();
            self.adopt(shared.token, shared.number, phases);
        }
    }

    /// The decision that counts, to be passed on.
    pub fn shared_decision(&self) -> SharedDecision {
        let KnownDecision { token, number, phases } = &self.known;
        let phases = phases.iter().map(|phase| phase_code(*phase)).collect();
        SharedDecision { token: *token, number: *number, phases }
    }

    /// What all planners that are heard see, this one among them, of so many slots.
    pub fn observe(&mut self, now_us: i64, slot_count: usize, observed: &[ObservedZones]) {
        for zone in 0..self.names.len() {
            self.observe_zone(now_us, slot_count, zone, observed);
        }
        let Some(own) = self.coordination.as_mut().filter(|own| own.lease_deadline.is_held()) else { return };
        own.coordinator.advance(now_us);
        while let Some(FailoverAction::StoreDecision(decision)) = own.coordinator.next_action() {
            let stored = StoredDecision { number: own.number + 1, decision };
            let metadata = serde_json::to_vec(&stored).expect("plain numbers");
            let write = LeaseCommand::WriteMetadata { lease: LEASE_NAME.into(), token: own.token, metadata };
            if self.commands.try_send(write).is_err() {
                // Who cannot write does not act on what is not stored: its successor does.
                tracing::error!("the lease client takes no decision on zones");
                self.coordination = None;
                return;
            }
        }
    }

    fn observe_zone(&mut self, now_us: i64, slot_count: usize, zone: usize, observed: &[ObservedZones]) {
        let reports = || observed.iter().filter_map(|one| Some((one, one.zones.get(zone)?)));
        let observation = |(one, metrics): (&ObservedZones, &ZoneMetrics)| {
            let opinion = Opinion::from_counts(metrics[MACHINES], metrics[ANSWERING]);
            Observation { zone: one.own_zone, opinion, planners: one.planners }
        };
        let observations: Vec<Observation> = reports().map(observation).collect();
        self.evidence[zone] = evidence(zone, slot_count, &observations);
        let median = |index: usize| {
            let see_machines = reports().filter(|(_, metrics)| metrics[READY] > 0.0);
            let each =
                see_machines.flat_map(|(one, metrics)| std::iter::repeat_n(metrics[index], one.planners));
            lower_median(each.collect())
        };
        (self.cores[zone], self.cores_used[zone]) = (median(CORES), median(CORES_USED));
        let (attempts, failed) = reports().fold((0.0, 0.0), |(attempts, failed), (_, metrics)| {
            (attempts + metrics[ATTEMPTS], failed + metrics[FAILED_ATTEMPTS])
        });
        if let Some(own) = &mut self.coordination {
            own.coordinator.observe(now_us, zone, self.evidence[zone]);
            own.coordinator.observe_attempts(zone, attempts, failed);
        }
    }

    /// The phase of each zone, by the decision that counts.
    pub fn phases(&self) -> &[ZonePhase] {
        &self.known.phases
    }

    /// What operators see of each zone: the decision, the evidence, and what would become of its load.
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
    serde_json::to_value(status).expect("plain fields")
}
