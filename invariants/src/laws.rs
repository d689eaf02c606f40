//! Clauses of an installation judged from the traffic. This shares no code with the planner's reading,
//! compiling or keeping of them: laws are plain tests over what stands on machines when a launch arrives.
//! Only a planner's own tasks count, as planners share nothing. A skew is not judged: it hangs on which
//! machines a planner believed ready.
use crate::Spot;
use basaltpitch_agent::wire::Launch;

/// Which tasks: an empty part matches all.
#[derive(Clone, Debug, Default)]
pub struct Whose {
    pub framework: String,
    pub tenant: String,
    pub service: Option<u64>,
    pub task: String,
}

impl Whose {
    fn is(&self, l: &Launch) -> bool {
        (self.framework.is_empty() || self.framework == l.framework)
            && (self.tenant.is_empty() || self.tenant == l.tenant)
            && self.service.is_none_or(|s| s == l.service)
            && l.key.starts_with(&self.task)
    }
}

#[derive(Clone, Debug)]
pub enum Must {
    /// Kinds, halls and labels; inside or outside of them.
    Be {
        kinds: Vec<String>,
        halls: Vec<String>,
        labels: Vec<String>,
        inside: bool,
    },
    With {
        whose: Whose,
        near: String,
    },
    Apart {
        whose: Whose,
        near: String,
    },
    Most {
        near: String,
        by_service: bool,
        most: usize,
    },
}

#[derive(Clone, Debug)]
pub struct Law {
    pub name: String,
    pub of: Whose,
    pub must: Must,
}

/// A copy that stands, or stood a moment ago.
pub struct Standing<'a> {
    pub task: &'a Launch,
    pub machine: &'a str,
    pub spot: &'a Spot,
    pub stands: bool,
}

fn near(level: &str, a: (&str, &Spot), b: (&str, &Spot)) -> bool {
    match level {
        "machine" => a.0 == b.0,
        "rack" => (a.1.cell, &a.1.zone) == (b.1.cell, &b.1.zone),
        _ => a.1.zone == b.1.zone,
    }
}

impl Law {
    /// What a launch on a machine breaks of this law, if anything.
    pub fn broken(&self, l: &Launch, machine: &str, spot: &Spot, all: &[Standing]) -> Option<String> {
        let here = (machine, spot);
        let there = |s: &Standing, level: &str| near(level, here, (s.machine, s.spot));
        let mine = self.of.is(l);
        match &self.must {
            Must::Be { kinds, halls, labels, inside } if mine => {
                let named = (kinds.is_empty() || kinds.contains(&spot.kind))
                    && (halls.is_empty() || halls.contains(&spot.zone))
                    && (labels.is_empty() || labels.iter().any(|x| spot.labels.contains(x)));
                (named != *inside).then(|| format!("a machine of kind {} in {}", spot.kind, spot.zone))
            }
            Must::With { whose, near } if mine && !whose.is(l) => {
                let beside = all.iter().any(|s| whose.is(s.task) && there(s, near));
                (!beside).then(|| format!("nobody that it must be with in one {near}"))
            }
            Must::Apart { whose, near } => {
                let enemy = |s: &Standing| {
                    s.stands
                        && there(s, near)
                        && (mine && whose.is(s.task) || whose.is(l) && self.of.is(s.task))
                };
                all.iter().find(|s| enemy(s)).map(|s| format!("in one {near} with {}", s.task.key))
            }
            Must::Most { near, by_service, most } if mine => {
                let alike = |s: &&Standing| {
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
