//! Simulated peers of a planner: machines, the registry, clients and a directory of tenants. They speak the agent
//! protocol and know nothing of the planner's insides. `faulty_link` spoils their links, `fault_scenario`
//! plays faults, `drill` starts planners as processes of their own and checks the invariants by the traffic;
//! `process_harness` has voters, slots and spares for it, with `relay`s between them. `scale` has many peers in
//! one process.
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
