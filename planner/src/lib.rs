//! The planner service. `state` is one planner without I/O: it holds the placement module, the
//! ledger, the indices and the timers, turns frames of machines, clients and the registry into
//! calls of the placement module, and turns the module's decisions into frames. `service` runs that
//! state on sockets, on one thread. `placement_event` defines the events of the placement module,
//! which `recording` writes to a file and replays.
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
