//! The evidence of a zone: what all planners together see of it, each weighed by the zone that it is in.

/// Up to this part of a zone's machines ready, a planner calls it unreachable.
const UNREACHABLE_PART: f64 = 0.2;
/// Below this part of them ready, it calls it partial.
const PARTIAL_PART: f64 = 0.6;

/// What one planner sees of a zone, by its own links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Opinion {
    /// Most of its machines are linked and take work.
    Healthy,
    /// Some are.
    Partial,
    /// Next to none is.
    Unreachable,
    /// It knows no machine there.
    Unknown,
}

impl Opinion {
    /// Of so many machines on the machine list, so many are ready. The list may be late: a machine that is
    /// gone and still listed is not ready.
    pub fn from_counts(machines: f64, ready: f64) -> Opinion {
        if machines <= 0.0 {
            Opinion::Unknown
        } else if ready <= UNREACHABLE_PART * machines {
            Opinion::Unreachable
        } else if ready < PARTIAL_PART * machines {
            Opinion::Partial
        } else {
            Opinion::Healthy
        }
    }
}

/// What a planner that is heard sees of the zone in question, or several planners of one zone as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The zone that the planners are in.
    pub zone: usize,
    /// Its opinion; of several, the one that follows from the median of what they see.
    pub opinion: Opinion,
    /// How many planners it stands for.
    pub planners: usize,
}

/// What is so of a zone, as far as all planners that are heard can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Evidence {
    /// Most see it, or one alone does not.
    Healthy,
    /// Outside it most cannot reach it, and nobody inside says otherwise.
    Failed,
    /// Outside it most cannot reach it, but planners inside see their machines: work there goes on.
    Partitioned,
    /// A good part sees it and a good part does not: the network between zones is at fault, not the zone.
    Disputed,
    /// Too few planners are heard to say anything: it is this one that is cut off, or most are dead.
    NoQuorum,
}

/// The evidence of `zone`, of `slots` planners that there should be. `observations` are of those that are
/// heard, this one among them.
pub fn evidence(zone: usize, slots: usize, observations: &[Observation]) -> Evidence {
    let planners = |seen: &[&Observation]| seen.iter().map(|one| one.planners).sum::<usize>();
    if 2 * planners(&observations.iter().collect::<Vec<_>>()) <= slots {
        return Evidence::NoQuorum;
    }
    let known = || observations.iter().filter(|one| one.opinion != Opinion::Unknown);
    let outside: Vec<&Observation> = known().filter(|one| one.zone != zone).collect();
    let alive_inside = known().any(|one| one.zone == zone && one.opinion == Opinion::Healthy);
    let unreachable: Vec<&Observation> =
        outside.iter().copied().filter(|one| one.opinion == Opinion::Unreachable).collect();
    let (unreachable, outside) = (planners(&unreachable), planners(&outside));
    if 2 * unreachable > outside {
        // A planner inside that cannot reach other zones either is cut off with it; what it sees of its own
        // machines counts all the same.
        if alive_inside {
            Evidence::Partitioned
        } else {
            Evidence::Failed
        }
    } else if unreachable > 0 && 3 * unreachable >= outside {
        Evidence::Disputed
    } else {
        // One that is alone in its opinion acts on itself.
        Evidence::Healthy
    }
}
