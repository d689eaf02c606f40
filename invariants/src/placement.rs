//! Invariant 6: the installation's placement constraints hold. Shares no code with the planner's
//! parsing and evaluation of constraints: each constraint is tested against the tasks on the
//! machines when a launch arrives. Only tasks of the same planner count, as planners do not share
//! their tasks. The skew of a spread is not checked, as it depends on which machines the planner
//! believed ready.
use crate::launches::{LaunchArrival, SentLaunch};
use crate::{InvariantChecker, Location};
use basaltpitch_agent::wire::Launch;

/// How long a task that ended still satisfies affinity, in microseconds: the launch may have been
/// sent before the planner could know of that end.
const AFFINITY_GRACE_US: i64 = 2_000_000;

/// Selects tasks: each field that is not empty must match.
#[derive(Clone, Debug, Default)]
pub struct TaskSelector {
    /// Name of the tasks' framework; empty matches any.
    pub framework: String,
    /// Name of the tasks' tenant; empty matches any.
    pub tenant: String,
    /// Number of the tasks' service; `None` matches any.
    pub service: Option<u64>,
    /// Prefix of the tasks' keys; empty matches any key.
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

/// What a constraint requires. Domains are `machine`, `rack` or `hall`, the installation's word for
/// a zone.
#[derive(Clone, Debug)]
pub enum PlacementRequirement {
    /// Tasks run only on the selected machines, or on none of them.
    OnMachines {
        /// Names of machine kinds; empty selects any kind.
        kinds: Vec<String>,
        /// Names of zones; empty selects any zone.
        zones: Vec<String>,
        /// Labels of which a machine has at least one; empty selects any machine.
        labels: Vec<String>,
        /// `true`: tasks run on selected machines only; `false`: on other machines only.
        inside: bool,
    },
    /// Affinity: tasks share a domain with at least one of the selected tasks.
    Together {
        /// The tasks with which the domain is shared.
        with: TaskSelector,
        /// The kind of domain: `machine`, `rack` or `hall`.
        within: String,
    },
    /// Anti-affinity: tasks share no domain with any of the selected tasks.
    Apart {
        /// The tasks with which no domain is shared.
        from: TaskSelector,
        /// The kind of domain: `machine`, `rack` or `hall`.
        within: String,
    },
    /// Spread: a limited number of tasks runs in one domain.
    AtMost {
        /// The kind of domain: `machine`, `rack` or `hall`.
        within: String,
        /// Whether tasks of each service are counted separately.
        by_service: bool,
        /// The maximum number of tasks in one domain.
        most: usize,
    },
}

/// A placement constraint, to be tested against the tasks on the machines.
#[derive(Clone, Debug)]
pub struct PlacementInvariant {
    /// The constraint's name.
    pub name: String,
    /// The tasks that the constraint applies to.
    pub tasks: TaskSelector,
    /// What the constraint requires.
    pub requirement: PlacementRequirement,
}

/// An attempt that is on a machine, or ended within the last `AFFINITY_GRACE_US`.
struct PlacedAttempt<'a> {
    task: &'a Launch,
    machine: &'a str,
    location: &'a Location,
    active: bool,
}

fn in_one_domain(level: &str, first: (&str, &Location), second: (&str, &Location)) -> bool {
    match level {
        "machine" => first.0 == second.0,
        "rack" => (first.1.cell, &first.1.zone) == (second.1.cell, &second.1.zone),
        _ => first.1.zone == second.1.zone,
    }
}

fn listed(list: &[String], value: &String) -> bool {
    list.is_empty() || list.contains(value)
}

impl PlacementInvariant {
    /// Describes how a launch on a machine violates the constraint; `None` if it does not.
    fn violation(
        &self,
        launch: &Launch,
        here: (&str, &Location),
        placed: &[PlacedAttempt],
    ) -> Option<String> {
        let near =
            |other: &PlacedAttempt, level: &str| in_one_domain(level, here, (other.machine, other.location));
        let bound = self.tasks.matches(launch);
        match &self.requirement {
            PlacementRequirement::OnMachines { kinds, zones, labels, inside } if bound => {
                let location = here.1;
                let named = listed(kinds, &location.kind)
                    && listed(zones, &location.zone)
                    && (labels.is_empty() || labels.iter().any(|label| location.labels.contains(label)));
                (named != *inside)
                    .then(|| format!("kind {} in zone {} is not allowed", location.kind, location.zone))
            }
            PlacementRequirement::Together { with, within } if bound && !with.matches(launch) => {
                let beside = placed.iter().any(|other| with.matches(other.task) && near(other, within));
                (!beside).then(|| format!("no task that it must run with is in the same {within}"))
            }
            PlacementRequirement::Apart { from, within } => {
                let conflicts = |other: &&PlacedAttempt| {
                    other.active
                        && near(other, within)
                        && (bound && from.matches(other.task)
                            || from.matches(launch) && self.tasks.matches(other.task))
                };
                let other = placed.iter().find(conflicts)?;
                Some(format!("in the same {within} as task {}, from which it must be apart", other.task.key))
            }
            PlacementRequirement::AtMost { within, by_service, most } if bound => {
                let alike = |other: &&PlacedAttempt| {
                    other.active
                        && near(other, within)
                        && self.tasks.matches(other.task)
                        && (!by_service || other.task.service == launch.service)
                };
                let together = 1 + placed.iter().filter(alike).count();
                (together > *most)
                    .then(|| format!("{together} tasks in one {within}; at most {most} allowed"))
            }
            _ => None,
        }
    }
}

impl InvariantChecker {
    /// Checks a launch against the placement constraints, given the planner's tasks on the
    /// machines.
    pub(crate) fn check_placement(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, .. } = *arrival;
        if self.placement_invariants.is_empty() {
            return;
        }
        let nowhere = Location::default();
        let location = self.locations.get(machine).unwrap_or(&nowhere);
        let counts =
            |s: &&SentLaunch| s.is_active(at_us) || (s.finished && at_us < s.finished_at + AFFINITY_GRACE_US);
        let sent = self.launches.of_planner(planner).filter(counts);
        let placed: Vec<PlacedAttempt> = sent
            .filter_map(|sent| {
                let task = self.launches.task(planner, sent.number)?;
                let location = self.locations.get(&sent.machine).unwrap_or(&nowhere);
                Some(PlacedAttempt { task, machine: &sent.machine, location, active: !sent.finished })
            })
            .collect();
        let violation = |invariant: &PlacementInvariant| {
            let text = invariant.violation(launch, (machine, location), &placed)?;
            Some(format!("constraint {}: {text}", invariant.name))
        };
        let violations: Vec<String> = self.placement_invariants.iter().filter_map(violation).collect();
        for text in violations {
            self.report(6, at_us, planner, &launch.key, format!("attempt on {machine}: {text}"));
        }
    }
}
