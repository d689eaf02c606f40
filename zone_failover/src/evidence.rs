//! The evidence about a zone: the combined observations of all planners, by the zone that each
//! planner is in.

/// Up to this fraction of ready machines a planner considers a zone unreachable.
const UNREACHABLE_FRACTION: f64 = 0.2;
/// Below this fraction of ready machines a planner considers a zone partly reachable.
const PARTIAL_FRACTION: f64 = 0.6;

/// One planner's opinion of a zone, by its own links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Opinion {
    /// Most machines of the zone are linked and take work.
    Healthy,
    /// Some machines of the zone are linked and take work.
    Partial,
    /// Almost no machine of the zone is linked and takes work.
    Unreachable,
    /// The planner knows no machine in the zone.
    Unknown,
}

impl Opinion {
    /// Returns the opinion of a planner that has `machines` of the zone on its machine list, of
    /// which `ready` are linked and take work. A late list may contain machines that are gone; they
    /// count as not ready.
    pub fn from_counts(machines: f64, ready: f64) -> Opinion {
        if machines <= 0.0 {
            Opinion::Unknown
        } else if ready <= UNREACHABLE_FRACTION * machines {
            Opinion::Unreachable
        } else if ready < PARTIAL_FRACTION * machines {
            Opinion::Partial
        } else {
            Opinion::Healthy
        }
    }
}

/// The observation of the zone in question by one planner with a fresh report, or by several
/// planners of the same zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The zone that the observing planners are in.
    pub zone: usize,
    /// Their opinion; for several planners, the one that follows from their median counts.
    pub opinion: Opinion,
    /// The number of planners that made this observation.
    pub planners: usize,
}

/// What the observations of all planners with fresh reports show about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Evidence {
    /// Most planners reach the zone, or only a small minority does not.
    Healthy,
    /// Most planners outside the zone cannot reach it, and no planner inside considers it healthy.
    Failed,
    /// Most planners outside the zone cannot reach it, but planners inside reach their machines, so
    /// work continues there.
    Partitioned,
    /// A large minority of the planners outside, but no majority, cannot reach the zone: the
    /// network between zones is at fault, not the zone.
    Disputed,
    /// Too few planners have fresh reports: this planner is cut off, or most others are dead.
    NoQuorum,
}

/// Returns the evidence about `zone`, in an installation of `slots` planners. `observations` are
/// those of the planners with fresh reports, including this one.
pub fn evidence(zone: usize, slots: usize, observations: &[Observation]) -> Evidence {
    let planners =
        |observed: &[&Observation]| observed.iter().map(|observation| observation.planners).sum::<usize>();
    if 2 * planners(&observations.iter().collect::<Vec<_>>()) <= slots {
        return Evidence::NoQuorum;
    }
    let known = || observations.iter().filter(|observation| observation.opinion != Opinion::Unknown);
    let outside: Vec<&Observation> = known().filter(|observation| observation.zone != zone).collect();
    let healthy_inside =
        known().any(|observation| observation.zone == zone && observation.opinion == Opinion::Healthy);
    let unreachable: Vec<&Observation> =
        outside.iter().copied().filter(|observation| observation.opinion == Opinion::Unreachable).collect();
    let (unreachable, outside) = (planners(&unreachable), planners(&outside));
    if 2 * unreachable > outside {
        // A planner inside that cannot reach other zones is cut off together with its zone; its
        // opinion of its own machines still counts.
        if healthy_inside {
            Evidence::Partitioned
        } else {
            Evidence::Failed
        }
    } else if unreachable > 0 && 3 * unreachable >= outside {
        Evidence::Disputed
    } else {
        // A small minority that cannot reach the zone deals with that itself; the zone works.
        Evidence::Healthy
    }
}
