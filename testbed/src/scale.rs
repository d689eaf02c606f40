//! Many simulated peers in one process: machines, a registry for thousands of them, and clients of an open
//! load. They speak the real agent protocol by the real link and the real table of attempts. They spoil
//! nothing and prove nothing by themselves: a simulated peer is trusted where it was compared with a real one.
//! What they carry is counted by kind of frame.
pub mod clients;
mod counting_relay;
pub mod hosts;
pub mod linear_fit;
pub mod machines;
pub mod registry;
pub mod traffic;
