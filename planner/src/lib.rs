//! The planner service. `state` is one planner without I/O: it holds the placing module, the ledger, the
//! indices and the timers, and turns what comes from peers into calls and what is decided into frames.
//! `service` puts it on sockets, on one thread. `told` is what the module is told, as it is recorded and
//! replayed.
pub mod bounds;
pub mod door;
pub mod figures;
pub mod halls;
pub mod hands;
pub mod lease_client;
pub mod peers;
pub mod recording;
pub mod rolling_restart;
pub mod service;
pub mod standing;
pub mod state;
pub mod summaries;
pub mod tenancy;
pub mod told;
pub mod view;
pub mod voter_links;
pub mod voter_server;
