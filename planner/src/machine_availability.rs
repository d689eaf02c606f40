//! Decides whether a machine is offered work, from the machine list, from the machine's own reports
//! and from the state of its link. No I/O; times are whole microseconds.
//!
//! A machine is offered work only while the list shows it as ready, its link is up and not suspect,
//! and its inventory has been received: without the inventory, the machine could run attempts of an
//! earlier incarnation of this planner that the ledger does not know. A start time newer than the
//! known one means that the machine restarted and its attempts no longer run, whether the list or
//! the machine reported it first.
use basaltpitch::host::{Location, Readiness, Resources};

/// The state of the link to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// No link, and no connection attempt.
    #[default]
    None,
    /// A connection attempt is in progress.
    Connecting,
    /// The link is up; the machine's inventory has not been received yet.
    AwaitingInventory,
    /// The link is up and the machine answers in time.
    Healthy,
    /// The link is up, but the machine does not answer in time.
    Suspect,
}

impl LinkState {
    /// Returns the state as it is shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkState::None => "none",
            LinkState::Connecting => "dialling",
            LinkState::AwaitingInventory => "waiting for its inventory",
            LinkState::Healthy => "well",
            LinkState::Suspect => "suspect",
        }
    }

    /// Returns whether frames can be sent over the link.
    pub fn is_up(self) -> bool {
        matches!(self, LinkState::AwaitingInventory | LinkState::Healthy | LinkState::Suspect)
    }
}

/// The availability of a machine, combined from the machine list, the machine and its link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineAvailability {
    /// The readiness in the last list entry; `None` if the machine was never listed or is missing
    /// from the last complete list.
    pub listed: Option<Readiness>,
    /// Whether the machine itself reports that it drains; reset when it restarts or ends the drain.
    pub draining: bool,
    /// The state of the planner's link to the machine.
    pub link: LinkState,
    /// Whether the machine is withheld from placement because its zone has failed, or because its
    /// zone is recovering and the ramp has not reached this machine yet.
    pub held_back: bool,
    /// Whether the machine is neither in the planner's subset of the fleet nor an extra link. Such
    /// a machine is linked only to receive its inventory, or while it runs tasks of this planner.
    pub outside_subset: bool,
    /// The newest start time reported by the list or the machine, in microseconds; 0 if unknown.
    pub started_us: i64,
    /// The machine's kind, zone and cell, as indices of the installation.
    pub location: Location,
    /// The free cores and memory in the last list entry.
    pub remaining: Resources,
    /// The readiness last passed to the placement module; `None` before the first time.
    pub last_reported: Option<Readiness>,
}

impl MachineAvailability {
    /// Returns whether the list, the machine and its link allow new work, regardless of the
    /// machine's zone and of the subset.
    pub fn is_responsive(&self) -> bool {
        self.listed == Some(Readiness::Ready) && !self.draining && self.link == LinkState::Healthy
    }

    /// Returns the readiness to pass to the placement module. A listed machine that must not get
    /// work counts as draining.
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

    /// Records a reported start time, in microseconds. Returns true if a different start was known
    /// and this one is newer: the machine restarted, and its earlier attempts no longer run.
    pub fn observe_start(&mut self, started_us: i64) -> bool {
        let newer = started_us > self.started_us;
        let first = self.started_us == 0;
        if newer {
            self.started_us = started_us;
            self.draining = false;
        }
        newer && !first
    }

    /// Returns whether the machine is off the list and its link is down, so that its attempts count
    /// as lost.
    pub fn is_lost(&self) -> bool {
        self.readiness() == Readiness::Gone && !self.link.is_up()
    }

    /// Returns whether the list contains the machine as ready or draining, so that the planner may
    /// connect to it. Tasks of draining machines still run.
    pub fn is_wanted(&self) -> bool {
        !matches!(self.listed, None | Some(Readiness::Gone))
    }
}
