//! basaltpitch places tasks that ask for cores and memory on machines.
//! `logic` makes every decision; `host` is the interface that it acts through.
pub mod host;
pub mod logic;
