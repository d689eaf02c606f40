//! basaltpitch places tasks that ask for cores and memory on machines.
//! `placement` makes every decision; `host` is the interface that it acts through.
pub mod host;
pub mod placement;
