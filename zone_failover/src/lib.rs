//! Decides whether a zone is healthy, failed or recovering, from what all planners see of it. One planner
//! coordinates, by a lease; each change is a decision under its token that a majority stores before it
//! counts, so that its successor goes on from there. No I/O, no clock of its own: times are whole
//! microseconds of the caller's clock.
//!
//! - `evidence` tells apart "the zone has failed", "it is cut off, and alive", "half of us cannot see it" and
//!   "I am cut off".
//! - `coordinator` decides: failed, and recovered by steps, with a longer hold after each flap.
//! - `zone_metrics` says what planners report of a zone, and how reports are merged.
//! - `failover_plan` says, before anything happens, where a zone's load would go and what nothing could take.
pub mod coordinator;
pub mod evidence;
pub mod failover_plan;
pub mod zone_metrics;

pub use coordinator::{
    FailoverAction, FailoverConfig, FailoverCoordinator, FailoverDecision, ZonePhase, ZoneState,
};
pub use evidence::{evidence, Evidence, Observation, Opinion};
pub use failover_plan::{plan_failover, FailoverPlan, ZoneLoad};
pub use zone_metrics::{MetricMerge, ZoneMetrics, ZONE_METRICS};
