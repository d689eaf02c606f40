//! Stand-ins for what a planner meets: machines, the register, owners. They speak the agent protocol and know
//! nothing of the planner's insides. `rough` spoils their links, `day` plays a scripted day of trouble,
//! `drill` starts planners as processes of their own and judges the day by the traffic; `rig` has voters,
//! seats and spares for it, with `relay`s between them.
pub mod client;
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
