//! The coordinator decides when a zone has failed and how far it has recovered. A decision counts once a
//! majority has stored it; a successor goes on from the last that did, with its timers begun anew: late,
//! never early.
use crate::evidence::Evidence;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The parts of a recovering zone's machines that are offered work, step by step.
pub const RECOVERY_STEPS: [f64; 3] = [0.1, 0.3, 0.6];

/// With fewer recent attempts than this nothing is said of how they go.
const MIN_ATTEMPTS: f64 = 3.0;
/// The part of refused and failed attempts that is too many.
const MAX_FAILED_PART: f64 = 0.5;
/// A hold doubles at most so often.
const MAX_DOUBLINGS: u32 = 20;

/// How long things must last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FailoverConfig {
    /// A zone counts as failed once the evidence of it has lasted so long.
    pub confirm_us: i64,
    /// It begins to recover once it was seen healthy for so long, twice that after each flap.
    pub settle_us: i64,
    /// Each step of the recovery, twice that after each step back.
    pub step_us: i64,
    /// After so long in health its flaps are forgotten.
    pub flap_reset_us: i64,
    /// What doubles never goes beyond this.
    pub max_hold_us: i64,
}

impl FailoverConfig {
    /// As planners use it.
    pub const DEFAULT: FailoverConfig = FailoverConfig {
        confirm_us: 1_500_000,
        settle_us: 2_000_000,
        step_us: 3_000_000,
        flap_reset_us: 60_000_000,
        max_hold_us: 60_000_000,
    };
}

/// Where a zone is between health, failure and recovery. Stored decisions have the names of the renames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZonePhase {
    /// All its machines are offered work.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// None is.
    #[serde(rename = "lost")]
    Failed,
    /// The part of this step in [`RECOVERY_STEPS`] is.
    #[serde(rename = "returning")]
    Recovering(usize),
}

impl ZonePhase {
    /// The part of its machines that are offered work, from 0 to 1.
    pub fn offered_share(self) -> f64 {
        match self {
            ZonePhase::Healthy => 1.0,
            ZonePhase::Failed => 0.0,
            ZonePhase::Recovering(step) => RECOVERY_STEPS.get(step).copied().unwrap_or(1.0),
        }
    }

    /// Whether its machine of this rank, of so many, is offered work. Ranks are the same at all planners, so
    /// all offer the same machines, and those of a step stay in the next.
    pub fn offers(self, rank: usize, machine_count: usize) -> bool {
        rank < (self.offered_share() * machine_count as f64).ceil() as usize
    }
}

/// What is recorded of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneState {
    /// Where it is.
    #[serde(rename = "stage")]
    pub phase: ZonePhase,
    /// Times that it failed again while it recovered or soon after.
    pub flaps: u32,
    /// Steps back of this recovery.
    #[serde(rename = "backs")]
    pub steps_back: u32,
}

/// The state of all zones, in the installation's order, as a majority stores it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FailoverDecision {
    /// By zone.
    #[serde(rename = "halls")]
    pub zones: Vec<ZoneState>,
}

impl FailoverDecision {
    /// The phase of each zone.
    pub fn phases(&self) -> Vec<ZonePhase> {
        self.zones.iter().map(|zone| zone.phase).collect()
    }
}

/// What the coordinator asks its caller to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FailoverAction {
    /// Have a majority store this; [`FailoverCoordinator::decision_stored`] says that it did.
    StoreDecision(FailoverDecision),
}

/// What a coordinator sees of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ZoneWatch {
    evidence: Evidence,
    evidence_since_us: i64,
    phase_since_us: i64,
    /// Too many of the recent attempts there were refused or failed.
    attempts_fail: bool,
}

/// Decides for all planners, while it holds the lease for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FailoverCoordinator {
    config: FailoverConfig,
    decision: FailoverDecision,
    /// Handed out to be stored, and not known to be.
    pending: Option<FailoverDecision>,
    watches: Vec<ZoneWatch>,
    actions: VecDeque<FailoverAction>,
}

impl FailoverCoordinator {
    /// The lease was acquired. `last` is the decision that its last holder left, if there is one; it counts if
    /// it is about as many zones.
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

    /// What is to be done next; none: nothing more.
    pub fn next_action(&mut self) -> Option<FailoverAction> {
        self.actions.pop_front()
    }

    /// The decision that counts: the last that a majority stored.
    pub fn decision(&self) -> &FailoverDecision {
        &self.decision
    }

    /// The evidence of a zone, from all planners that are heard.
    pub fn observe(&mut self, now_us: i64, zone: usize, evidence: Evidence) {
        let watch = &mut self.watches[zone];
        if watch.evidence != evidence {
            (watch.evidence, watch.evidence_since_us) = (evidence, now_us);
        }
    }

    /// How recent attempts in a recovering zone went, of all planners: so many, and of those refused or failed.
    pub fn observe_attempts(&mut self, zone: usize, attempts: f64, failed: f64) {
        self.watches[zone].attempts_fail = attempts >= MIN_ATTEMPTS && failed > MAX_FAILED_PART * attempts;
    }

    /// A majority has stored what was handed out last.
    pub fn decision_stored(&mut self, now_us: i64) {
        let Some(decision) = self.pending.take() else { return };
        for (zone, (before, after)) in self.decision.zones.iter().zip(&decision.zones).enumerate() {
            if (before.phase, before.steps_back) != (after.phase, after.steps_back) {
                self.watches[zone].phase_since_us = now_us;
            }
        }
        self.decision = decision;
    }

    /// Time passes. One decision is under way at a time: the next rests on it.
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
            // Its flaps count on until it has been healthy for a while.
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
            // No step either way without evidence of health.
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
