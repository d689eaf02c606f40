//! Invariant 6: the installation's placement constraints hold. This shares no code with the planner's reading,
//! compiling or keeping of them: invariants are plain tests over what is on machines when a launch arrives.
//! Only a planner's own tasks count, as planners share nothing. A skew is not checked: it depends on which
//! machines a planner believed ready.
use crate::launches::{LaunchArrival, SentLaunch};
use crate::{InvariantChecker, Location};
use basaltpitch_agent::wire::Launch;

/// A constraint that wants company counts tasks that were on a machine so long ago, in microseconds: the
/// launch may have been sent while they were.
const JUST_GONE_US: i64 = 2_000_000;

/// Which tasks: an empty part matches all.
#[derive(Clone, Debug, Default)]
pub struct TaskSelector {
    /// The framework's name.
    pub framework: String,
    /// The tenant's name.
    pub tenant: String,
    /// The service's number.
    pub service: Option<u64>,
    /// What the task's key begins with.
    pub task: String,
}

impl TaskSelector {
    fn matches(&self, launch: &Launch) -> bool {
        (self.framework.is_empty() || self.framework == launch.framework)
            && (self.tenant.is_empty() || self.tenant == launch.tenant)
            && self.service.is_none_or(|service| service == launch.service)
            && launch.key.starts_with(&self.task)
    }
}

/// What a constraint requires. Places are `machine`, `rack` or `hall`, which is the zone.
#[derive(Clone, Debug)]
pub enum PlacementRequirement {
    /// On machines of these kinds, zones and labels, or on others.
    OnMachines {
        /// Kinds of machines; empty: all.
        kinds: Vec<String>,
        /// Zones; empty: all.
        zones: Vec<String>,
        /// Labels of which a machine has one at least; empty: all machines.
        labels: Vec<String>,
        /// Whether tasks must be on such machines, or must not.
        inside: bool,
    },
    /// In one place with some of these tasks.
    Together {
        /// The tasks that they must be with.
        with: TaskSelector,
        /// The place.
        within: String,
    },
    /// In no place with any of these tasks.
    Apart {
        /// The tasks that they must not be with.
        from: TaskSelector,
        /// The place.
        within: String,
    },
    /// So many in one place, at most.
    AtMost {
        /// The place.
        within: String,
        /// Counted for each service on its own.
        by_service: bool,
        /// How many.
        most: usize,
    },
}

/// A placement constraint, as a test over what is on machines.
#[derive(Clone, Debug)]
pub struct PlacementInvariant {
    /// The constraint's name.
    pub name: String,
    /// The tasks that it binds.
    pub tasks: TaskSelector,
    /// What it requires of them.
    pub requirement: PlacementRequirement,
}

/// An attempt that is on a machine, or was a moment ago.
struct PlacedAttempt<'a> {
    task: &'a Launch,
    machine: &'a str,
    location: &'a Location,
    active: bool,
}

fn in_one_place(place: &str, first: (&str, &Location), second: (&str, &Location)) -> bool {
    match place {
        "machine" => first.0 == second.0,
        "rack" => (first.1.cell, &first.1.zone) == (second.1.cell, &second.1.zone),
        _ => first.1.zone == second.1.zone,
    }
}

fn listed(list: &[String], value: &String) -> bool {
    list.is_empty() || list.contains(value)
}

impl PlacementInvariant {
    /// What a launch on a machine violates, if anything.
    fn violation(
        &self,
        launch: &Launch,
        here: (&str, &Location),
        placed: &[PlacedAttempt],
    ) -> Option<String> {
        let near =
            |other: &PlacedAttempt, place: &str| in_one_place(place, here, (other.machine, other.location));
        let bound = self.tasks.matches(launch);
        match &self.requirement {
            PlacementRequirement::OnMachines { kinds, zones, labels, inside } if bound => {
                let location = here.1;
                let named = listed(kinds, &location.kind)
                    && listed(zones, &location.zone)
                    && (labels.is_empty() || labels.iter().any(|label| location.labels.contains(label)));
                (named != *inside)
                    .then(|| format!("a machine of kind {} in {}", location.kind, location.zone))
            }
            PlacementRequirement::Together { with, within } if bound && !with.matches(launch) => {
                let beside = placed.iter().any(|other| with.matches(other.task) && near(other, within));
                (!beside).then(|| format!("nobody that it must be with in one {within}"))
            }
            PlacementRequirement::Apart { from, within } => {
                let conflicts = |other: &&PlacedAttempt| {
                    other.active
                        && near(other, within)
                        && (bound && from.matches(other.task)
                            || from.matches(launch) && self.tasks.matches(other.task))
                };
                let other = placed.iter().find(conflicts)?;
                Some(format!("in one {within} with {}", other.task.key))
            }
            PlacementRequirement::AtMost { within, by_service, most } if bound => {
                let alike = |other: &&PlacedAttempt| {
                    other.active
                        && near(other, within)
                        && self.tasks.matches(other.task)
                        && (!by_service || other.task.service == launch.service)
                };
                let together = 1 + placed.iter().filter(alike).count();
                (together > *most).then(|| format!("{together} in one {within}; at most {most}"))
            }
            _ => None,
        }
    }
}

impl InvariantChecker {
    /// Checks a launch by what is on machines of this planner's tasks now.
    pub(crate) fn check_placement(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, .. } = *arrival;
        if self.placement_invariants.is_empty() {
            return;
        }
        let nowhere = Location::default();
        let location = self.locations.get(machine).unwrap_or(&nowhere);
        let counts =
            |sent: &&SentLaunch| sent.is_active(at_us) || (sent.over && at_us < sent.over_at + JUST_GONE_US);
        let sent = self.launches.of_planner(planner).filter(counts);
        let placed: Vec<PlacedAttempt> = sent
            .filter_map(|sent| {
                let task = self.launches.task(planner, sent.number)?;
                let location = self.locations.get(&sent.machine).unwrap_or(&nowhere);
                Some(PlacedAttempt { task, machine: &sent.machine, location, active: !sent.over })
            })
            .collect();
        let violation = |invariant: &PlacementInvariant| {
            let text = invariant.violation(launch, (machine, location), &placed)?;
            Some(format!("clause {}: {text}", invariant.name))
        };
        let violations: Vec<String> = self.placement_invariants.iter().filter_map(violation).collect();
        for text in violations {
            self.report(6, at_us, planner, &launch.key, format!("launched on {machine}: {text}"));
        }
    }
}
