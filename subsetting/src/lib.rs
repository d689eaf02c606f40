//! Deterministic subsetting: chooses the machines that each planner links to when the fleet is too
//! large for every planner to link to every machine. Machines are assigned to planner slots by
//! rendezvous hashing with bounded loads. Nothing here does I/O or reads a clock; times are whole
//! microseconds.
//!
//! `assignment` computes the assignment as a function of names alone. `subset` keeps one planner's
//! subset as the fleet changes: it adds machines at once and releases them late, holds extra links,
//! and keeps links to machines that run this planner's tasks. `growth` detects when the subset is
//! too small: it decides when to query the registry for machines with capacity and when to widen
//! the subset.
pub mod assignment;
pub mod growth;
pub mod subset;

pub use assignment::name_hash;
pub use growth::{CapacityQuery, SubsetGrowth, TaskRequirement};
pub use subset::{LinkRole, Subset, SubsetConfig};
