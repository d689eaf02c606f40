//! Decides whether a zone is healthy, failed or recovering, from what all planners observe of it.
//! One planner coordinates, under a lease. Each change is a decision under the lease's token; it
//! takes effect once a majority of voters has stored it, so that a later coordinator continues from
//! it. The crate does no I/O and has no clock: times are whole microseconds of the caller's clock.
//!
//! - `evidence` distinguishes a failed zone from one that is cut off but alive, from a network
//!   fault between zones, and from a fault of the observing planner itself.
//! - `coordinator` decides when a zone has failed, and lets it recover in steps with a longer hold
//!   after each flap.
//! - `zone_metrics` defines what planners report of a zone and how their reports are merged.
//! - `failover_plan` computes in advance where a zone's load would go and what would find no place.
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
