//! What becomes of a hall, by what all planners see of it: well, lost, returning by steps, well again. One
//! planner conducts, by a duty of the council; each change is a word under its token that a majority keeps
//! before it counts, so that its successor goes on from there. No I/O, no clock of its own: times are whole
//! microseconds.
//!
//! - `evidence` tells apart "the hall is gone", "it is cut off, and lives", "half of us cannot see it" and "I
//!   am cut off".
//! - `conductor` says the word: lost, and back by steps, with a longer hold after each flap.
//! - `figures` says what planners tell of a hall, and how several make one.
//! - `plan` says, before anything happens, where a hall's load would go and what nothing could take.
pub mod conductor;
pub mod evidence;
pub mod figures;
pub mod plan;

pub use conductor::{Call, Conductor, Hall, Pace, Stage, Word};
pub use evidence::{evidence, Evidence, Opinion, View};
pub use figures::{Fusing, OfHall, OF_HALL};
pub use plan::{plan, Load, Plan};
