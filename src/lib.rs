//! basaltpitch places tasks that request cores and memory on machines.
//!
//! The module `placement` makes every decision; the module `host` defines the interface through
//! which placement acts. Neither module performs I/O or reads a clock.
pub mod host;
pub mod placement;
