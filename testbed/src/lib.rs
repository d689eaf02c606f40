//! Simulated peers of a planner for tests, drills and measurements: machines, a registry of
//! machines, clients and an LDAP directory of tenants. They speak the agent protocol and use no
//! internals of the planner.
//!
//! - `faulty_link` injects faults into the links of simulated peers, and `fault_scenario` schedules
//!   those and other faults.
//! - `drill` starts planners as processes of their own and checks the invariants against the
//!   observed traffic.
//! - `process_harness` runs voters, planners with slots and spare planners for a drill, connected
//!   by `relay`s.
//! - `scale` simulates thousands of peers in one process.
mod attempt_frames;
pub mod client;
pub mod context;
pub mod directory_scenario;
pub mod drill;
pub mod drill_config;
pub mod fault_scenario;
pub mod faulty_link;
pub mod ldap_server;
pub mod machine;
pub mod process_harness;
pub mod registry;
pub mod relay;
pub mod scale;
pub mod settings;
mod task_usage;
