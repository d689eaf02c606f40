//! Whether a machine is offered work: what the list says, what the machine itself says, and the state of its
//! link, taken together. No I/O; times are whole microseconds.
//!
//! A machine is offered work only while the list has it ready, its link is up and not suspect, and its
//! inventory has come: before that, attempts of an earlier incarnation of this planner could be on it unseen. A
//! start newer than the known one means that what was on the machine runs no more, whichever source told of
//! it first.
use basaltpitch::host::{Location, Readiness, Resources};

/// The state of the link to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// There is none.
    #[default]
    None,
    /// A connection is being made.
    Connecting,
    /// Up, its inventory still to come.
    AwaitingInventory,
    /// Up, and the machine answers.
    Healthy,
    /// Up, and the machine does not answer in time.
    Suspect,
}

impl LinkState {
    /// The state as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkState::None => "none",
            LinkState::Connecting => "dialling",
            LinkState::AwaitingInventory => "waiting for its inventory",
            LinkState::Healthy => "well",
            LinkState::Suspect => "suspect",
        }
    }

    /// Whether frames can be sent.
    pub fn is_up(self) -> bool {
        matches!(self, LinkState::AwaitingInventory | LinkState::Healthy | LinkState::Suspect)
    }
}

/// What is known of a machine from all sides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineAvailability {
    /// As the list last had it; none: never listed, or missing from a whole list.
    pub listed: Option<Readiness>,
    /// The machine itself says that it drains, until it restarts or takes it back.
    pub draining: bool,
    /// The state of its link.
    pub link: LinkState,
    /// Its zone has failed, or recovers and it is not among those that are offered work yet.
    pub held_back: bool,
    /// It is not of the planner's subset of the fleet, nor an extra link: linked, if at all, for what is on it.
    pub outside_subset: bool,
    /// The newest start that anyone told of, 0 where nobody did.
    pub started_us: i64,
    /// Its kind, zone and cell, as indices of the installation.
    pub location: Location,
    /// The cores and memory that the list says are left on it.
    pub remaining: Resources,
    /// What the placement module was last told.
    pub last_reported: Option<Readiness>,
}

impl MachineAvailability {
    /// Whether it could be offered work, but for its zone and the subset.
    pub fn is_responsive(&self) -> bool {
        self.listed == Some(Readiness::Ready) && !self.draining && self.link == LinkState::Healthy
    }

    /// What the placement module is told of it.
    pub fn readiness(&self) -> Readiness {
        match self.listed {
            None | Some(Readiness::Gone) => Readiness::Gone,
            Some(Readiness::Draining) => Readiness::Draining,
            Some(Readiness::Ready) if !self.is_responsive() || self.held_back || self.outside_subset => {
                Readiness::Draining
            }
            Some(Readiness::Ready) => Readiness::Ready,
        }
    }

    /// A start was told of, in microseconds of the clock. True: it is newer than the known one, and what was
    /// on the machine runs no more.
    pub fn observe_start(&mut self, started_us: i64) -> bool {
        let newer = started_us > self.started_us;
        let first = self.started_us == 0;
        if newer {
            self.started_us = started_us;
            self.draining = false;
        }
        newer && !first
    }

    /// Whether nothing is to be expected of it any more: it is off the list and no link is up.
    pub fn is_lost(&self) -> bool {
        self.readiness() == Readiness::Gone && !self.link.is_up()
    }

    /// Whether a connection is wanted: to what is listed, draining or not, as its tasks run on.
    pub fn is_wanted(&self) -> bool {
        !matches!(self.listed, None | Some(Readiness::Gone))
    }
}
