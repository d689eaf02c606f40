//! Stand-ins of the second review: clients, machines and the coordinator, by the platform's pages.
pub mod client;
pub mod coordinator;
pub mod json;
pub mod lossy_relay;
pub mod machine;
pub mod owner;
pub mod planner;
pub mod record;
pub mod relay;
pub mod settings;
pub mod site;
pub mod verdict;
