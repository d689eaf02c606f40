//! Whether a machine is offered work: what the list says, what the machine itself says, and how its link
//! stands, taken together. No I/O; times are whole microseconds.
//!
//! A machine is offered work only while the list has it ready, its link stands and is not suspect, and its
//! inventory has come: before that, launches of an earlier life of this planner could be on it unseen. A
//! start newer than the known one means that what was on the machine runs no more, whichever source told of
//! it first.
use basaltpitch::host::{Place, Readiness, Room};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    #[default]
    None,
    Dialling,
    /// Up, its inventory still to come.
    Met,
    Well,
    Suspect,
}

impl Link {
    pub fn words(self) -> &'static str {
        match self {
            Link::None => "none",
            Link::Dialling => "dialling",
            Link::Met => "waiting for its inventory",
            Link::Well => "well",
            Link::Suspect => "suspect",
        }
    }

    /// Frames can be sent.
    pub fn stands(self) -> bool {
        matches!(self, Link::Met | Link::Well | Link::Suspect)
    }
}

/// What is known of a machine from all sides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// As the list last had it; none: never listed, or missing from a whole list.
    pub listed: Option<Readiness>,
    /// The machine's own word that it drains, until it starts anew or takes it back.
    pub drains: bool,
    pub link: Link,
    /// Its hall is lost, or returns and it is not among those that are offered work yet.
    pub held_back: bool,
    /// It is not of the planner's part of the fleet, nor a guest: linked, if at all, for what is on it.
    pub outside: bool,
    /// The newest start that anyone told of, 0 where nobody did.
    pub started: i64,
    pub place: Place,
    pub left: Room,
    /// What the module was last told.
    pub told: Option<Readiness>,
}

impl Standing {
    /// It could be offered work, but for what is said of its hall.
    pub fn answers(&self) -> bool {
        self.listed == Some(Readiness::Ready) && !self.drains && self.link == Link::Well
    }

    /// What the placing module is told of it.
    pub fn readiness(&self) -> Readiness {
        match self.listed {
            None | Some(Readiness::Gone) => Readiness::Gone,
            Some(Readiness::Draining) => Readiness::Draining,
            Some(Readiness::Ready) if !self.answers() || self.held_back || self.outside => {
                Readiness::Draining
            }
            Some(Readiness::Ready) => Readiness::Ready,
        }
    }

    /// A start was told of, in microseconds of the clock. True: it is newer than the known one, and what was
    /// on the machine runs no more.
    pub fn started(&mut self, at: i64) -> bool {
        let newer = at > self.started;
        let first = self.started == 0;
        if newer {
            self.started = at;
            self.drains = false;
        }
        newer && !first
    }

    /// Nothing is to be expected of it any more: it is off the list and no link stands.
    pub fn is_lost(&self) -> bool {
        self.readiness() == Readiness::Gone && !self.link.stands()
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
        let links = [Link::None, Link::Dialling, Link::Met, Link::Well, Link::Suspect];
        let mut ready = Vec::new();
        for listed in all {
            for link in links {
                for drains in [false, true] {
                    let s = Standing { listed, link, drains, ..Standing::default() };
                    if s.readiness() == Readiness::Ready {
                        ready.push((listed, link, drains));
                    }
                    assert!(!s.is_lost() || s.readiness() == Readiness::Gone);
                }
            }
        }
        assert_eq!(ready, [(Some(Readiness::Ready), Link::Well, false)]);
    }

    #[test]
    fn a_newer_start_takes_back_a_drain_and_an_older_one_says_nothing() {
        let mut s = Standing { drains: true, ..Standing::default() };
        assert!(!s.started(5), "the first that is known loses nothing");
        s.drains = true;
        assert!(!s.started(4) && s.drains);
        assert!(s.started(6) && !s.drains);
    }
}
