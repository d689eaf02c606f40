//! The admission controller in front of the placement module: requests that are not worth starting are rejected
//! at once. The decision is that of `basaltpitch_admission`; this module connects it to the planner's state.
use crate::host_adapter::TaskKey;
use crate::settings_lists::numbered_texts;
use basaltpitch::host::{number, MachineEstimate, Settings};
use basaltpitch_admission::{AdmissionDecision, DemandSummary, LocalDemand, PeerSummary, RequestDemand};
use serde::Serialize;

/// A request: the task's key and the client's request number.
pub type RequestKey = (TaskKey, u64);

/// What the settings say of a framework.
struct FrameworkPriority {
    weight: f64,
    latency_objective_us: i64,
}

/// A peer's summary as it was received.
struct ReceivedSummary {
    /// The earliest time at which it was made.
    made_at: i64,
    peer: PeerSummary,
}

/// Decides on arrival whether a request is admitted.
pub struct AdmissionController {
    demand: LocalDemand<RequestKey>,
    frameworks: Vec<FrameworkPriority>,
    received: Vec<ReceivedSummary>,
    rejected: u64,
}

/// Why a request was rejected.
pub struct Rejection {
    /// The time after which to ask again, in microseconds.
    pub retry_after_us: i64,
    /// The reason, as the client is told.
    pub reason: String,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds {
    /// Index of the task's framework.
    pub framework: usize,
    /// Cores that the task needs.
    pub cores: f64,
    /// Time left to the request's deadline, in microseconds.
    pub time_left_us: i64,
}

/// What operators see of the admission threshold.
#[derive(Debug, Serialize)]
pub struct AdmissionView {
    #[serde(rename = "others_heard")]
    peer_count: usize,
    #[serde(rename = "oldest_ms")]
    oldest_summary_ms: i64,
    cores_offered_per_s: f64,
    cores_placed_per_s: f64,
    #[serde(rename = "cores_that_wait")]
    cores_waiting: f64,
    cores_free: f64,
    #[serde(rename = "declined")]
    rejected: u64,
}

impl AdmissionController {
    /// For an installation's frameworks, as laid out for the placement module.
    pub fn new(now: i64, seed: u64, settings: &Settings) -> Self {
        let priority = |index: usize| {
            let setting = |name: &str| number(settings, &format!("classes.{index}.{name}"));
            FrameworkPriority {
                weight: setting("worth").unwrap_or(1.0),
                latency_objective_us: setting("objectiveUs").map_or(i64::MAX, |us| us as i64),
            }
        };
        let count = numbered_texts(settings, &|index| format!("classes.{index}.name")).len();
        let frameworks = (0..count).map(priority).collect();
        let demand = LocalDemand::new(now, seed);
        AdmissionController { demand, frameworks, received: Vec::new(), rejected: 0 }
    }

    /// A new request arrives. One that is admitted counts as waiting until it is answered.
    pub fn request_arrived(&mut self, now: i64, key: RequestKey, needs: RequestNeeds) -> Option<Rejection> {
        let framework = &self.frameworks[needs.framework];
        let demand = RequestDemand {
            priority_weight: framework.weight,
            cores: needs.cores,
            latency_objective_us: framework.latency_objective_us,
            time_left_us: needs.time_left_us,
        };
        match self.demand.request_arrived(now, key, &demand) {
            AdmissionDecision::Start | AdmissionDecision::Queue => None,
            AdmissionDecision::Reject { retry_after_us, expected_us, cores_ahead, cores_free } => {
                self.rejected += 1;
                let turn = expected_us.map_or("never comes at this load".into(), |us| {
                    format!("is expected after {} ms", us / 1000)
                });
                let reason = format!(
                    "not worth starting: {cores_ahead:.0} cores that are worth as much wait, {cores_free:.0} are \
                     free, its turn {turn} and {} ms are left; by {}",
                    needs.time_left_us / 1000,
                    self.basis()
                );
                Some(Rejection { retry_after_us, reason })
            }
        }
    }

    /// What the threshold is computed from, in words.
    fn basis(&self) -> String {
        let threshold = self.demand.threshold();
        match threshold.peer_count {
            0 => "what this planner sees itself".to_owned(),
            n => {
                format!("what {n} other planners say, at most {} ms old", threshold.oldest_age_us / 1000)
            }
        }
    }

    /// An admitted request was placed.
    pub fn request_placed(&mut self, now: i64, key: &RequestKey) {
        self.demand.request_placed(now, key);
    }

    /// An admitted request found no capacity before its deadline.
    pub fn request_expired(&mut self, now: i64, key: &RequestKey) {
        self.demand.request_expired(now, key);
    }

    /// An admitted request ended for another reason.
    pub fn request_withdrawn(&mut self, key: &RequestKey) {
        self.demand.request_withdrawn(key);
    }

    /// The peers' summaries that are fresh; they take effect with the next `recompute`.
    pub fn receive_summaries(&mut self, now: i64, peers: impl Iterator<Item = PeerSummary>) {
        self.received = peers.map(|peer| ReceivedSummary { made_at: now - peer.age_us, peer }).collect();
    }

    /// Recomputes the threshold, with the estimates of the machines that are offered work.
    pub fn recompute(&mut self, now: i64, machines: impl Iterator<Item = MachineEstimate>) {
        // A machine whose memory is full has no capacity, however idle its cores.
        let free_cores = |machine: &MachineEstimate| {
            let free_share = |size: f64, used: f64| ((size - used) / size.max(1e-9)).clamp(0.0, 1.0);
            let memory = free_share(machine.memory, machine.used_memory);
            machine.cores * free_share(machine.cores, machine.cores_at_confidence).min(memory)
        };
        self.demand.set_machines(machines.map(|machine| {
            let free = if machine.may_launch { free_cores(&machine) } else { 0.0 };
            (machine.cores, free)
        }));
        let aged = |received: &ReceivedSummary| PeerSummary {
            age_us: now - received.made_at,
            ..received.peer.clone()
        };
        let peers = self.received.iter().map(aged).collect();
        self.demand.set_peer_summaries(now, peers);
    }

    /// What this planner tells its peers.
    pub fn summary(&mut self, now: i64) -> DemandSummary {
        self.demand.summary(now)
    }

    /// What operators see of the threshold.
    pub fn view(&self) -> AdmissionView {
        let threshold = self.demand.threshold();
        let rounded = |x: f64| (x * 10.0).round() / 10.0;
        let sum = |by_band: &[f64]| rounded(by_band.iter().sum());
        AdmissionView {
            cores_free: rounded(threshold.free_cores()[0]),
            cores_offered_per_s: sum(threshold.offered()),
            cores_placed_per_s: rounded(threshold.placed()),
            cores_waiting: sum(threshold.waiting()),
            rejected: self.rejected,
            oldest_summary_ms: threshold.oldest_age_us / 1000,
            peer_count: threshold.peer_count,
        }
    }
}
