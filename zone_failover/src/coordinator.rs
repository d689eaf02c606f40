//! The coordinator decides when a zone has failed and how far it has recovered. A decision takes
//! effect once a majority of voters has stored it. A new coordinator continues from the last stored
//! decision with its timers restarted, so it may decide late but never early.
use crate::evidence::Evidence;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The fractions of a recovering zone's machines that are offered work, by recovery step.
pub const RECOVERY_STEPS: [f64; 3] = [0.1, 0.3, 0.6];

/// The least number of recent attempts from which their outcome is judged.
const MIN_ATTEMPTS: f64 = 3.0;
/// The fraction of refused and failed attempts above which a recovery goes back a step.
const MAX_FAILED_FRACTION: f64 = 0.5;
/// The maximum number of doublings of a hold time.
const MAX_DOUBLINGS: u32 = 20;

/// How long evidence must last before the coordinator acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FailoverConfig {
    /// How long evidence of failure must last before a zone is declared failed, in microseconds.
    pub confirm_us: i64,
    /// How long evidence of health must last before a failed zone begins to recover, in
    /// microseconds; doubled for each flap.
    pub settle_us: i64,
    /// How long each recovery step lasts, in microseconds; doubled for each step back.
    pub step_us: i64,
    /// How long a zone must stay healthy before its flaps are forgotten, in microseconds.
    pub flap_reset_us: i64,
    /// The upper limit of a doubled time, in microseconds. A time that is longer before it is
    /// doubled stays as it is.
    pub max_hold_us: i64,
}

impl FailoverConfig {
    /// The configuration that planners use.
    pub const DEFAULT: FailoverConfig = FailoverConfig {
        confirm_us: 1_500_000,
        settle_us: 2_000_000,
        step_us: 3_000_000,
        flap_reset_us: 60_000_000,
        max_hold_us: 60_000_000,
    };
}

/// The phase of a zone. Stored decisions contain the serde names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZonePhase {
    /// All machines of the zone are offered work.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// No machine of the zone is offered work.
    #[serde(rename = "lost")]
    Failed,
    /// The fraction of machines at this index of [`RECOVERY_STEPS`] is offered work.
    #[serde(rename = "returning")]
    Recovering(usize),
}

impl ZonePhase {
    /// Returns the fraction of the zone's machines that are offered work, from 0 to 1.
    pub fn offered_share(self) -> f64 {
        match self {
            ZonePhase::Healthy => 1.0,
            ZonePhase::Failed => 0.0,
            ZonePhase::Recovering(step) => RECOVERY_STEPS.get(step).copied().unwrap_or(1.0),
        }
    }

    /// Returns whether the machine of this rank, of `machine_count`, is offered work. Ranks are the
    /// same at all planners, so all planners offer work to the same machines, and the machines of a
    /// step stay in the next one.
    pub fn offers(self, rank: usize, machine_count: usize) -> bool {
        rank < (self.offered_share() * machine_count as f64).ceil() as usize
    }
}

/// The stored state of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneState {
    /// The zone's phase.
    #[serde(rename = "stage")]
    pub phase: ZonePhase,
    /// How many times the zone failed again while it recovered.
    pub flaps: u32,
    /// How many times the current recovery went back a step, or repeated its first step, because
    /// too many attempts failed.
    #[serde(rename = "backs")]
    pub steps_back: u32,
}

/// The state of all zones, in the installation's order, as a majority of voters stores it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FailoverDecision {
    /// The states, by zone index.
    #[serde(rename = "halls")]
    pub zones: Vec<ZoneState>,
}

impl FailoverDecision {
    /// Returns the phase of each zone.
    pub fn phases(&self) -> Vec<ZonePhase> {
        self.zones.iter().map(|zone| zone.phase).collect()
    }
}

/// An action for the coordinator's caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FailoverAction {
    /// Have a majority of voters store this decision, then call
    /// [`FailoverCoordinator::decision_stored`].
    StoreDecision(FailoverDecision),
}

/// What the coordinator has observed of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ZoneWatch {
    evidence: Evidence,
    evidence_since_us: i64,
    phase_since_us: i64,
    /// Whether too many of the recent attempts in the zone were refused or failed.
    attempts_fail: bool,
}

/// Decides the phases of all zones for all planners, while its planner holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FailoverCoordinator {
    config: FailoverConfig,
    decision: FailoverDecision,
    /// A decision that was handed out and is not known to be stored.
    pending: Option<FailoverDecision>,
    watches: Vec<ZoneWatch>,
    actions: VecDeque<FailoverAction>,
}

impl FailoverCoordinator {
    /// Creates the coordinator once its planner has acquired the lease. `last` is the last decision
    /// that the voters stored, if there is one; it is ignored if it is about another number of
    /// zones.
    pub fn elected(
        now_us: i64,
        config: FailoverConfig,
        zone_count: usize,
        last: Option<FailoverDecision>,
    ) -> Self {
        let decision = last
            .filter(|last| last.zones.len() == zone_count)
            .unwrap_or_else(|| FailoverDecision { zones: vec![ZoneState::default(); zone_count] });
        let watch = ZoneWatch {
            evidence: Evidence::NoQuorum,
            evidence_since_us: now_us,
            phase_since_us: now_us,
            attempts_fail: false,
        };
        let watches = vec![watch; zone_count];
        FailoverCoordinator { config, decision, pending: None, watches, actions: VecDeque::new() }
    }

    /// Returns the next action for the caller, or `None` if there is none.
    pub fn next_action(&mut self) -> Option<FailoverAction> {
        self.actions.pop_front()
    }

    /// Returns the decision in effect: the last one that a majority of voters stored.
    pub fn decision(&self) -> &FailoverDecision {
        &self.decision
    }

    /// Records the evidence about a zone from all planners with fresh reports.
    pub fn observe(&mut self, now_us: i64, zone: usize, evidence: Evidence) {
        let watch = &mut self.watches[zone];
        if watch.evidence != evidence {
            (watch.evidence, watch.evidence_since_us) = (evidence, now_us);
        }
    }

    /// Records the outcome of all planners' recent attempts in a zone: their number, and how many
    /// were refused or failed.
    pub fn observe_attempts(&mut self, zone: usize, attempts: f64, failed: f64) {
        self.watches[zone].attempts_fail =
            attempts >= MIN_ATTEMPTS && failed > MAX_FAILED_FRACTION * attempts;
    }

    /// Puts the pending decision into effect, after a majority of voters has stored it.
    pub fn decision_stored(&mut self, now_us: i64) {
        let Some(decision) = self.pending.take() else { return };
        for (zone, (before, after)) in self.decision.zones.iter().zip(&decision.zones).enumerate() {
            if (before.phase, before.steps_back) != (after.phase, after.steps_back) {
                self.watches[zone].phase_since_us = now_us;
            }
        }
        self.decision = decision;
    }

    /// Advances the time and makes the next decision. Only one decision is pending at a time,
    /// because the next one builds on it.
    pub fn advance(&mut self, now_us: i64) {
        if self.pending.is_some() {
            return;
        }
        let zones = (0..self.watches.len()).map(|zone| self.next_state(now_us, zone)).collect();
        let next = FailoverDecision { zones };
        if next != self.decision {
            self.pending = Some(next.clone());
            self.actions.push_back(FailoverAction::StoreDecision(next));
        }
    }

    fn doubled(&self, time_us: i64, times: u32) -> i64 {
        time_us.saturating_mul(1 << times.min(MAX_DOUBLINGS)).min(self.config.max_hold_us.max(time_us))
    }

    fn next_state(&self, now_us: i64, zone: usize) -> ZoneState {
        let (state, watch) = (self.decision.zones[zone], &self.watches[zone]);
        let evidence_lasted =
            |evidence, time_us| watch.evidence == evidence && now_us >= watch.evidence_since_us + time_us;
        let phase_lasted = |time_us| now_us >= watch.phase_since_us + time_us;
        let failed = evidence_lasted(Evidence::Failed, self.config.confirm_us);
        match state.phase {
            // Flaps are kept until the zone has been healthy for a while.
            ZonePhase::Healthy if failed => ZoneState { phase: ZonePhase::Failed, ..state },
            ZonePhase::Healthy if state.flaps > 0 && phase_lasted(self.config.flap_reset_us) => {
                ZoneState { flaps: 0, ..state }
            }
            ZonePhase::Failed
                if evidence_lasted(Evidence::Healthy, self.doubled(self.config.settle_us, state.flaps)) =>
            {
                ZoneState { phase: ZonePhase::Recovering(0), steps_back: 0, ..state }
            }
            ZonePhase::Recovering(_) if failed => {
                ZoneState { phase: ZonePhase::Failed, flaps: state.flaps + 1, steps_back: 0 }
            }
            // Without evidence of health the zone stays at its step.
            ZonePhase::Recovering(_) if watch.evidence != Evidence::Healthy => state,
            ZonePhase::Recovering(step) if watch.attempts_fail && phase_lasted(self.config.step_us) => {
                let phase = ZonePhase::Recovering(step.saturating_sub(1));
                ZoneState { phase, steps_back: state.steps_back + 1, ..state }
            }
            ZonePhase::Recovering(step)
                if !watch.attempts_fail
                    && phase_lasted(self.doubled(self.config.step_us, state.steps_back)) =>
            {
                let last = step + 1 >= RECOVERY_STEPS.len();
                let phase = if last { ZonePhase::Healthy } else { ZonePhase::Recovering(step + 1) };
                ZoneState { phase, ..state }
            }
            _ => state,
        }
    }
}
