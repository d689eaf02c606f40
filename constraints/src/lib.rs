//! Constraints on where tasks may run. `parse` takes them out of an installation's records and finds what makes
//! no sense before anything runs; `state` keeps, for each group of tasks that the same constraints bind, which
//! machines are allowed, updated by each change; `conflict` names a smallest set of constraints that no machine
//! of the known fleet can meet. No I/O, no clock.
//!
//! Installations write them as `clauses`, and what is sent keeps the words of that form. What one means, in
//! plain words, is in `docs/protocol/clauses.md`; the types here are its grammar.
pub mod conflict;
pub mod parse;
pub mod state;

use basaltpitch_config::Span;
use serde::{Deserialize, Serialize};

/// Which tasks: all parts that are given must match. Nothing given: all tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Name of a framework.
    pub framework: Option<String>,
    /// Name of a tenant.
    pub tenant: Option<String>,
    /// Number of a service.
    pub service: Option<u64>,
    /// What a task's key begins with.
    pub task: Option<String>,
}

/// What constraints see of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TaskAttributes {
    /// Name of its framework.
    pub framework: String,
    /// Name of its tenant, empty where it has none.
    pub tenant: String,
    /// Number of its service.
    pub service: u64,
    /// Its key.
    pub key: String,
}

impl Scope {
    /// Whether a task is one of these.
    pub fn matches(&self, task: &TaskAttributes) -> bool {
        let is = |want: &Option<String>, have: &str| want.as_ref().is_none_or(|w| w == have);
        is(&self.framework, &task.framework)
            && is(&self.tenant, &task.tenant)
            && self.service.is_none_or(|service| service == task.service)
            && self.task.as_ref().is_none_or(|prefix| task.key.starts_with(prefix.as_str()))
    }

    /// Every task of `other` is one of this.
    pub fn covers(&self, other: &Scope) -> bool {
        let is = |a: &Option<String>, b: &Option<String>| a.is_none() || a == b;
        let key = match (&self.task, &other.task) {
            (None, _) => true,
            (Some(a), Some(b)) => b.starts_with(a.as_str()),
            (Some(_), None) => false,
        };
        is(&self.framework, &other.framework)
            && is(&self.tenant, &other.tenant)
            && (self.service.is_none() || self.service == other.service)
            && key
    }

    /// Some task could be in both.
    pub fn meets(&self, other: &Scope) -> bool {
        let can = |a: &Option<String>, b: &Option<String>| a.is_none() || b.is_none() || a == b;
        let key = match (&self.task, &other.task) {
            (Some(a), Some(b)) => a.starts_with(b.as_str()) || b.starts_with(a.as_str()),
            _ => true,
        };
        let service = self.service.is_none() || other.service.is_none() || self.service == other.service;
        can(&self.framework, &other.framework) && can(&self.tenant, &other.tenant) && service && key
    }
}

/// A level of the fleet's topology: what counts as one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TopologyLevel {
    /// Each machine for itself.
    Machine,
    /// A rack of a zone.
    Rack,
    /// Machines that fail together; written `Hall` in what is sent.
    #[serde(rename = "Hall")]
    Zone,
}

/// Machines by what is listed of them. Each list that is not empty must name the machine's; of labels it must
/// have one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineSelector {
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Written `halls` in what is sent.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
    /// Zone and number of a rack.
    pub racks: Vec<(String, u32)>,
    /// Labels, of which it must bear one.
    pub labels: Vec<String>,
}

/// What constraints see of a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineAttributes {
    /// Its kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Number of its rack in the zone.
    pub rack: u32,
    /// Labels that it bears.
    pub labels: Vec<String>,
}

impl MachineSelector {
    /// Whether a machine is one of these.
    pub fn names(&self, machine: &MachineAttributes) -> bool {
        let is = |list: &[String], have: &str| list.is_empty() || list.iter().any(|x| x == have);
        is(&self.kinds, &machine.kind)
            && is(&self.zones, &machine.zone)
            && (self.racks.is_empty()
                || self.racks.iter().any(|(zone, rack)| *zone == machine.zone && *rack == machine.rack))
            && (self.labels.is_empty() || self.labels.iter().any(|label| machine.labels.contains(label)))
    }
}

/// Which domains count for a spread when some have no machine that takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnavailableDomains {
    /// Only those with a machine that is ready: the others do without.
    #[serde(rename = "Live")]
    Ignored,
    /// All that are known: a place that is gone keeps its part free.
    #[serde(rename = "Keeps")]
    Counted,
}

/// Tasks that a spread counts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SpreadGrouping {
    /// Those of one service.
    Service,
    /// All that the constraint binds.
    All,
}

/// What a constraint demands of a machine for the tasks that it binds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rule {
    /// Only on those machines.
    In(MachineSelector),
    /// Not on those.
    NotIn(MachineSelector),
    /// Where one of these is; where none is anywhere, one that is of them itself may begin.
    With(Scope, TopologyLevel),
    /// Not where one of these is, nor one of these where it is.
    Apart(Scope, TopologyLevel),
    /// At most so many in a domain, and at most so many more than in the domain with the fewest.
    Spread {
        /// The level whose domains are counted.
        over: TopologyLevel,
        /// Which tasks are counted together.
        by: SpreadGrouping,
        /// At most so many in a domain.
        most: Option<u32>,
        /// At most so many more than in the domain with the fewest.
        skew: Option<u32>,
        /// Whether domains without a ready machine count for the fewest.
        gone: UnavailableDomains,
    },
}

/// One constraint on where tasks may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Constraint {
    /// Its name, once in an installation.
    pub name: String,
    /// Where it stands in the files; what is sent to a planner has words for that beside it.
    #[serde(skip)]
    pub at: Span,
    /// The tasks that it binds.
    pub of: Scope,
    /// `None`: it must hold. Else how much it is preferred: higher ranks first.
    #[serde(rename = "wish")]
    pub preference_rank: Option<u32>,
    /// What it demands.
    pub rule: Rule,
}

impl Constraint {
    /// Whether it must hold.
    pub fn is_hard(&self) -> bool {
        self.preference_rank.is_none()
    }
}
