//! The planner service. `state` is one planner without I/O: it holds the placement module, the ledger, the indices
//! and the timers, and turns what comes from peers into calls, and what is decided into frames. `service` puts it
//! on sockets, on one thread. `placement_event` is what the placement module is called with, as it is recorded and
//! replayed.
pub mod admission;
pub mod host_adapter;
pub mod lease_client;
pub mod machine_availability;
pub mod peer_links;
pub mod placement_constraints;
pub mod placement_event;
pub mod recording;
pub mod rolling_restart;
pub mod service;
mod settings_lists;
pub mod shared_metrics;
pub mod state;
pub mod summary_codec;
pub mod tenant_access;
pub mod view;
pub mod voter_links;
pub mod voter_server;
pub mod zone_monitor;
