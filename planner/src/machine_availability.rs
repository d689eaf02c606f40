//! Whether a machine is offered work: what the list says, what the machine itself says, and how its link
//! stands, taken together. No I/O; times are whole microseconds.
//!
//! A machine is offered work only while the list has it ready, its link stands and is not suspect, and its
//! inventory has come: before that, launches of an earlier life of this planner could be on it unseen. A
//! start newer than the known one means that what was on the machine runs no more, whichever source told of
//! it first.
use basaltpitch::host::{Location, Readiness, Resources};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    None,
    Connecting,
    /// Up, its inventory still to come.
    AwaitingInventory,
    Healthy,
    Suspect,
}

impl LinkState {
    pub fn as_str(self) -> &'static str {
        match self {
            LinkState::None => "none",
            LinkState::Connecting => "dialling",
            LinkState::AwaitingInventory => "waiting for its inventory",
            LinkState::Healthy => "well",
            LinkState::Suspect => "suspect",
        }
    }

    /// Frames can be sent.
    pub fn is_up(self) -> bool {
        matches!(self, LinkState::AwaitingInventory | LinkState::Healthy | LinkState::Suspect)
    }
}

/// What is known of a machine from all sides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineAvailability {
    /// As the list last had it; none: never listed, or missing from a whole list.
    pub listed: Option<Readiness>,
    /// The machine's own word that it drains, until it starts anew or takes it back.
    pub draining: bool,
    pub link: LinkState,
    /// Its hall is lost, or returns and it is not among those that are offered work yet.
    pub held_back: bool,
    /// It is not of the planner's part of the fleet, nor a guest: linked, if at all, for what is on it.
    pub outside_subset: bool,
    /// The newest start that anyone told of, 0 where nobody did.
    pub started_us: i64,
    pub location: Location,
    pub remaining: Resources,
    /// What the module was last told.
    pub last_reported: Option<Readiness>,
}

impl MachineAvailability {
    /// It could be offered work, but for what is said of its hall.
    pub fn is_responsive(&self) -> bool {
        self.listed == Some(Readiness::Ready) && !self.draining && self.link == LinkState::Healthy
    }

    /// What the placing module is told of it.
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
    pub fn observe_start(&mut self, at: i64) -> bool {
        let newer = at > self.started_us;
        let first = self.started_us == 0;
        if newer {
            self.started_us = at;
            self.draining = false;
        }
        newer && !first
    }

    /// Nothing is to be expected of it any more: it is off the list and no link stands.
    pub fn is_lost(&self) -> bool {
        self.readiness() == Readiness::Gone && !self.link.is_up()
    }

    /// Whether a connection is wanted: to what is listed, draining or not, as its tasks run on.
    pub fn is_wanted(&self) -> bool {
        !matches!(self.listed, None | Some(Readiness::Gone))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_is_offered_only_where_list_machine_and_link_agree() {
        let all = [None, Some(Readiness::Ready), Some(Readiness::Draining), Some(Readiness::Gone)];
        let links = [
            LinkState::None,
            LinkState::Connecting,
            LinkState::AwaitingInventory,
            LinkState::Healthy,
            LinkState::Suspect,
        ];
        let mut ready = Vec::new();
        for listed in all {
            for link in links {
                for draining in [false, true] {
                    let s = MachineAvailability { listed, link, draining, ..MachineAvailability::default() };
                    if s.readiness() == Readiness::Ready {
                        ready.push((listed, link, draining));
                    }
                    assert!(!s.is_lost() || s.readiness() == Readiness::Gone);
                }
            }
        }
        assert_eq!(ready, [(Some(Readiness::Ready), LinkState::Healthy, false)]);
    }

    #[test]
    fn a_newer_start_takes_back_a_drain_and_an_older_one_says_nothing() {
        let mut s = MachineAvailability { draining: true, ..MachineAvailability::default() };
        assert!(!s.observe_start(5), "the first that is known loses nothing");
        s.draining = true;
        assert!(!s.observe_start(4) && s.draining);
        assert!(s.observe_start(6) && !s.draining);
    }
}
