//! Deterministic subsetting: which machines a planner links to, where the fleet is too large for each planner to
//! link to all. Machines are assigned to the slots of planners by rendezvous hashing with bounded loads. Nothing
//! here does I/O or has a clock; times are whole microseconds.
//!
//! `assignment` is the assignment as a function of names alone. `subset` is one planner's subset as it changes:
//! machines are added at once and released late, extra links come and go, and machines stay linked for the tasks
//! on them. `growth` says when the subset is too small: when to ask the registry for machines with capacity, and
//! when to widen the subset.
pub mod assignment;
pub mod growth;
pub mod subset;

pub use assignment::name_hash;
pub use growth::{CapacityQuery, SubsetGrowth, TaskRequirement};
pub use subset::{LinkRole, Subset, SubsetConfig};
