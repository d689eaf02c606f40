//! Simulations of many peers in one process: machines, a registry for thousands of them, and
//! clients with an open load. They use the same link and attempt table as real peers. They inject
//! no faults into links and check no invariants: each kind of simulated peer is compared with a
//! real one before its figures are used. Their traffic is counted by kind of frame.
pub mod clients;
mod counting_relay;
pub mod hosts;
pub mod linear_fit;
pub mod machines;
pub mod registry;
pub mod traffic;
