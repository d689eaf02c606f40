//! The admission controller in front of the placement module: requests that could not be placed
//! before their deadline are rejected on arrival. `basaltpitch_admission` makes the decision; this
//! module connects it to the planner's state. Times are microseconds of the planner's clock.
use crate::host_adapter::TaskKey;
use crate::settings_lists::numbered_texts;
use basaltpitch::host::{number, MachineEstimate, Settings};
use basaltpitch_admission::{AdmissionDecision, DemandSummary, LocalDemand, PeerSummary, RequestDemand};
use serde::Serialize;

/// Identifies a request: the task's key and the client's request number.
pub type RequestKey = (TaskKey, u64);

/// A framework's admission settings.
struct FrameworkPriority {
    priority_weight: f64,
    latency_objective_us: i64,
}

/// The demand summary last received from a peer.
struct ReceivedSummary {
    /// The earliest time at which the peer can have made the summary, on this planner's clock.
    made_at: i64,
    peer: PeerSummary,
}

/// Decides on arrival whether a request is admitted to the placement queue.
pub struct AdmissionController {
    demand: LocalDemand<RequestKey>,
    frameworks: Vec<FrameworkPriority>,
    received: Vec<ReceivedSummary>,
    rejected: u64,
}

/// A request rejected on arrival.
pub struct Rejection {
    /// How long the client should wait before it retries, in microseconds.
    pub retry_after_us: i64,
    /// The reason text sent to the client in its answer.
    pub reason: String,
}

/// The properties of a request that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds {
    /// Index of the task's framework.
    pub framework: usize,
    /// Cores that the task needs.
    pub cores: f64,
    /// Time left until the request's deadline, in microseconds.
    pub time_left_us: i64,
}

/// The admission threshold and its inputs, as shown to operators.
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
    /// Creates a controller for the frameworks in `settings`, which have the layout of the
    /// placement module's settings. `seed` determines the jitter of the retry delays.
    pub fn new(now: i64, seed: u64, settings: &Settings) -> Self {
        let priority = |index: usize| {
            let setting = |name: &str| number(settings, &format!("classes.{index}.{name}"));
            FrameworkPriority {
                priority_weight: setting("worth").unwrap_or(1.0),
                latency_objective_us: setting("objectiveUs").map_or(i64::MAX, |us| us as i64),
            }
        };
        let count = numbered_texts(settings, &|index| format!("classes.{index}.name")).len();
        let frameworks = (0..count).map(priority).collect();
        let demand = LocalDemand::new(now, seed);
        AdmissionController { demand, frameworks, received: Vec::new(), rejected: 0 }
    }

    /// Decides on a new request; returns the rejection, or `None` if the request is admitted. An
    /// admitted request counts as waiting until it is placed, expired or withdrawn.
    pub fn request_arrived(&mut self, now: i64, key: RequestKey, needs: RequestNeeds) -> Option<Rejection> {
        let framework = &self.frameworks[needs.framework];
        let demand = RequestDemand {
            priority_weight: framework.priority_weight,
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

    /// Describes for the rejection text which planners' data the threshold is computed from.
    fn basis(&self) -> String {
        let threshold = self.demand.threshold();
        match threshold.peer_count {
            0 => "what this planner sees itself".to_owned(),
            peer_count => {
                format!(
                    "what {peer_count} other planners say, at most {} ms old",
                    threshold.oldest_age_us / 1000
                )
            }
        }
    }

    /// Records that an admitted request was placed.
    pub fn request_placed(&mut self, now: i64, key: &RequestKey) {
        self.demand.request_placed(now, key);
    }

    /// Records that an admitted request found no capacity before its deadline.
    pub fn request_expired(&mut self, now: i64, key: &RequestKey) {
        self.demand.request_expired(now, key);
    }

    /// Records that an admitted request ended for another reason, such as a cancellation.
    pub fn request_withdrawn(&mut self, key: &RequestKey) {
        self.demand.request_withdrawn(key);
    }

    /// Replaces the peers' summaries by `peers`, the ones that are fresh. They take effect with the
    /// next `recompute`.
    pub fn receive_summaries(&mut self, now: i64, peers: impl Iterator<Item = PeerSummary>) {
        self.received = peers.map(|peer| ReceivedSummary { made_at: now - peer.age_us, peer }).collect();
    }

    /// Recomputes the threshold from the estimates of the machines that can be offered work and
    /// from the peers' summaries.
    pub fn recompute(&mut self, now: i64, machines: impl Iterator<Item = MachineEstimate>) {
        // A machine whose memory is full has no capacity, even if all its cores are idle.
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

    /// Returns the demand summary that this planner publishes to its peers.
    pub fn summary(&mut self, now: i64) -> DemandSummary {
        self.demand.summary(now)
    }

    /// Returns the threshold and its inputs for operators, rounded to tenths of a core.
    pub fn view(&self) -> AdmissionView {
        let threshold = self.demand.threshold();
        let rounded = |cores: f64| (cores * 10.0).round() / 10.0;
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
