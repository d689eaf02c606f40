//! Which machines a planner links to, where the fleet is too large for each planner to link to all: its
//! aperture, dealt among the council's seats by rendezvous hashing with bounded loads. Nothing here does I/O
//! or has a clock; times are whole microseconds.
//!
//! `deal` is the assignment as a function of names alone. `part` is one planner's part as it changes: taken
//! on at once, let go late, with guests, and with machines that are kept for the tasks on them. `shortage`
//! says when the part is too small: when to ask the register for guests, and when to widen.
pub mod deal;
pub mod part;
pub mod shortage;

pub use deal::hash;
pub use part::{Part, Role, Terms};
pub use shortage::{Ask, Need, Shortage};
