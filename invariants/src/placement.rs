//! Clauses of an installation judged from the traffic. This shares no code with the planner's reading,
//! compiling or keeping of them: laws are plain tests over what stands on machines when a launch arrives.
//! Only a planner's own tasks count, as planners share nothing. A skew is not judged: it hangs on which
//! machines a planner believed ready.
use crate::Location;
use basaltpitch_agent::wire::Launch;

/// Which tasks: an empty part matches all.
#[derive(Clone, Debug, Default)]
pub struct TaskSelector {
    pub framework: String,
    pub tenant: String,
    pub service: Option<u64>,
    pub task: String,
}

impl TaskSelector {
    fn is(&self, l: &Launch) -> bool {
        (self.framework.is_empty() || self.framework == l.framework)
            && (self.tenant.is_empty() || self.tenant == l.tenant)
            && self.service.is_none_or(|s| s == l.service)
            && l.key.starts_with(&self.task)
    }
}

#[derive(Clone, Debug)]
pub enum PlacementRequirement {
    /// Kinds, halls and labels; inside or outside of them.
    Be {
        kinds: Vec<String>,
        halls: Vec<String>,
        labels: Vec<String>,
        inside: bool,
    },
    With {
        whose: TaskSelector,
        near: String,
    },
    Apart {
        whose: TaskSelector,
        near: String,
    },
    Most {
        near: String,
        by_service: bool,
        most: usize,
    },
}

#[derive(Clone, Debug)]
pub struct PlacementInvariant {
    pub name: String,
    pub of: TaskSelector,
    pub must: PlacementRequirement,
}

/// A copy that stands, or stood a moment ago.
pub struct PlacedAttempt<'a> {
    pub task: &'a Launch,
    pub machine: &'a str,
    pub spot: &'a Location,
    pub stands: bool,
}

fn near(level: &str, a: (&str, &Location), b: (&str, &Location)) -> bool {
    match level {
        "machine" => a.0 == b.0,
        "rack" => (a.1.cell, &a.1.zone) == (b.1.cell, &b.1.zone),
        _ => a.1.zone == b.1.zone,
    }
}

impl PlacementInvariant {
    /// What a launch on a machine breaks of this law, if anything.
    pub fn broken(
        &self,
        l: &Launch,
        machine: &str,
        spot: &Location,
        all: &[PlacedAttempt],
    ) -> Option<String> {
        let here = (machine, spot);
        let there = |s: &PlacedAttempt, level: &str| near(level, here, (s.machine, s.spot));
        let mine = self.of.is(l);
        match &self.must {
            PlacementRequirement::Be { kinds, halls, labels, inside } if mine => {
                let named = (kinds.is_empty() || kinds.contains(&spot.kind))
                    && (halls.is_empty() || halls.contains(&spot.zone))
                    && (labels.is_empty() || labels.iter().any(|x| spot.labels.contains(x)));
                (named != *inside).then(|| format!("a machine of kind {} in {}", spot.kind, spot.zone))
            }
            PlacementRequirement::With { whose, near } if mine && !whose.is(l) => {
                let beside = all.iter().any(|s| whose.is(s.task) && there(s, near));
                (!beside).then(|| format!("nobody that it must be with in one {near}"))
            }
            PlacementRequirement::Apart { whose, near } => {
                let enemy = |s: &PlacedAttempt| {
                    s.stands
                        && there(s, near)
                        && (mine && whose.is(s.task) || whose.is(l) && self.of.is(s.task))
                };
                all.iter().find(|s| enemy(s)).map(|s| format!("in one {near} with {}", s.task.key))
            }
            PlacementRequirement::Most { near, by_service, most } if mine => {
                let alike = |s: &&PlacedAttempt| {
                    s.stands
                        && there(s, near)
                        && self.of.is(s.task)
                        && (!by_service || s.task.service == l.service)
                };
                let together = 1 + all.iter().filter(alike).count();
                (together > *most).then(|| format!("{together} in one {near}; at most {most}"))
            }
            _ => None,
        }
    }
}
