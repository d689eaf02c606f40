//! Hollow machines, a register for thousands of them, and clients of an open load: light stand-ins, many in
//! one process, that speak the real agent protocol by the real link and the real holder of launches. They
//! spoil nothing and prove nothing by themselves: a hollow one is believed where it was laid beside a real
//! one. What they carry is counted by kind of frame.
pub mod clients;
pub mod linear_fit;
pub mod machines;
pub mod registry;
pub mod traffic;
