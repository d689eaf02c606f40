//! Placement constraints: which machines tasks may run on. No I/O and no clock.
//!
//! - [`parse`] reads the constraints of an installation's configuration and rejects contradictory,
//!   redundant and undefined ones at load time.
//! - [`state`] tracks, for each group of tasks that the same constraints apply to, which machines
//!   are allowed, and updates this incrementally with each change.
//! - [`conflict`] names a minimal set of constraints that no machine of the known fleet satisfies.
//!
//! Installation files call constraints `clauses`, and serialized constraints keep the field names
//! of that form. `docs/protocol/clauses.md` defines their semantics; the types here are the
//! grammar.
pub mod conflict;
pub mod parse;
pub mod state;

use basaltpitch_config::Span;
use serde::{Deserialize, Serialize};

/// Selects tasks: each field that is set must match. A scope without any field selects all tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Name of the tasks' framework; `None` matches any.
    pub framework: Option<String>,
    /// Name of the tasks' tenant; `None` matches any.
    pub tenant: Option<String>,
    /// Number of the tasks' service; `None` matches any.
    pub service: Option<u64>,
    /// Prefix of the tasks' keys; `None` matches any key.
    pub task: Option<String>,
}

/// The attributes of a task that constraints can refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TaskAttributes {
    /// Name of the task's framework.
    pub framework: String,
    /// Name of the task's tenant; empty for a task without a tenant.
    pub tenant: String,
    /// Number of the task's service.
    pub service: u64,
    /// The task's key.
    pub key: String,
}

impl Scope {
    /// Returns whether the scope selects a task.
    pub fn matches(&self, task: &TaskAttributes) -> bool {
        let accepts =
            |wanted: &Option<String>, actual: &str| wanted.as_ref().is_none_or(|name| name == actual);
        accepts(&self.framework, &task.framework)
            && accepts(&self.tenant, &task.tenant)
            && self.service.is_none_or(|service| service == task.service)
            && self.task.as_ref().is_none_or(|prefix| task.key.starts_with(prefix.as_str()))
    }

    /// Returns whether the scope selects every task that `other` selects.
    pub fn covers(&self, other: &Scope) -> bool {
        let includes = |a: &Option<String>, b: &Option<String>| a.is_none() || a == b;
        let includes_key = match (&self.task, &other.task) {
            (None, _) => true,
            (Some(a), Some(b)) => b.starts_with(a.as_str()),
            (Some(_), None) => false,
        };
        includes(&self.framework, &other.framework)
            && includes(&self.tenant, &other.tenant)
            && (self.service.is_none() || self.service == other.service)
            && includes_key
    }

    /// Returns whether some task could be selected by both scopes.
    pub fn overlaps(&self, other: &Scope) -> bool {
        let compatible = |a: &Option<String>, b: &Option<String>| a.is_none() || b.is_none() || a == b;
        let key = match (&self.task, &other.task) {
            (Some(a), Some(b)) => a.starts_with(b.as_str()) || b.starts_with(a.as_str()),
            _ => true,
        };
        let service = self.service.is_none() || other.service.is_none() || self.service == other.service;
        compatible(&self.framework, &other.framework)
            && compatible(&self.tenant, &other.tenant)
            && service
            && key
    }
}

/// A level of the fleet's topology, which divides the machines into domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TopologyLevel {
    /// Each machine is a domain of its own.
    Machine,
    /// The machines of one rack of a zone.
    Rack,
    /// The machines of one zone, which fail together. Serialized as `Hall`.
    #[serde(rename = "Hall")]
    Zone,
}

/// Selects machines by the attributes that the registry lists. Each list that is not empty must
/// contain the machine's value; of the labels, the machine must have at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineSelector {
    /// Names of machine kinds; empty accepts any kind.
    pub kinds: Vec<String>,
    /// Names of zones; empty accepts any zone. Serialized as `halls`.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
    /// Racks, each by its zone's name and its number in the zone; empty accepts any rack.
    pub racks: Vec<(String, u32)>,
    /// Labels of which the machine must have at least one; empty accepts any machine.
    pub labels: Vec<String>,
}

/// The attributes of a machine that constraints can refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineAttributes {
    /// Name of the machine's kind.
    pub kind: String,
    /// Name of the machine's zone.
    pub zone: String,
    /// Number of the machine's rack in its zone.
    pub rack: u32,
    /// The machine's labels.
    pub labels: Vec<String>,
}

impl MachineSelector {
    /// Returns whether the selector selects a machine.
    pub fn selects(&self, machine: &MachineAttributes) -> bool {
        let accepts =
            |list: &[String], actual: &str| list.is_empty() || list.iter().any(|name| name == actual);
        accepts(&self.kinds, &machine.kind)
            && accepts(&self.zones, &machine.zone)
            && (self.racks.is_empty()
                || self.racks.iter().any(|(zone, rack)| *zone == machine.zone && *rack == machine.rack))
            && (self.labels.is_empty() || self.labels.iter().any(|label| machine.labels.contains(label)))
    }
}

/// Whether a spread's skew is measured against domains in which no machine accepts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnavailableDomains {
    /// Only domains with a ready machine count, so the remaining domains may take the tasks of an
    /// unavailable one. Serialized as `Live`.
    #[serde(rename = "Live")]
    Ignored,
    /// All known domains count, so an unavailable domain's share of the tasks is not placed
    /// elsewhere. Serialized as `Keeps`.
    #[serde(rename = "Keeps")]
    Counted,
}

/// Which tasks a spread counts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SpreadGrouping {
    /// The tasks of one service; each service is counted separately.
    Service,
    /// All tasks that the constraint applies to.
    All,
}

/// The requirement that a constraint places on machines for the tasks that it applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rule {
    /// Tasks run only on the selected machines.
    In(MachineSelector),
    /// Tasks do not run on the selected machines.
    NotIn(MachineSelector),
    /// Affinity: tasks run only in a domain of this level that runs a task of the scope. While no
    /// domain runs such a task, a task that is in the scope itself may run anywhere.
    With(Scope, TopologyLevel),
    /// Anti-affinity: tasks share no domain of this level with tasks of the scope, whichever of the
    /// two is placed first.
    Apart(Scope, TopologyLevel),
    /// Limits how many tasks run in one domain, absolutely or relative to the other domains.
    Spread {
        /// The topology level whose domains are counted.
        over: TopologyLevel,
        /// Which tasks are counted together.
        by: SpreadGrouping,
        /// The maximum number of tasks in one domain; `None` sets no maximum.
        #[serde(rename = "most")]
        max: Option<u32>,
        /// The maximum by which a domain's count may exceed that of the domain with the fewest
        /// tasks; `None` sets no maximum.
        skew: Option<u32>,
        /// Whether domains without a ready machine count as the domain with the fewest tasks.
        #[serde(rename = "gone")]
        unavailable: UnavailableDomains,
    },
}

/// A constraint on which machines tasks may run on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Constraint {
    /// The constraint's name, unique in an installation.
    pub name: String,
    /// Its location in the configuration files. Not serialized: constraints that are sent to a
    /// planner carry the location as text beside them.
    #[serde(skip)]
    pub at: Span,
    /// The tasks that the constraint applies to.
    #[serde(rename = "of")]
    pub scope: Scope,
    /// `None` for a hard constraint. For a preference, its rank: a higher rank takes precedence.
    /// Serialized as `wish`.
    #[serde(rename = "wish")]
    pub preference_rank: Option<u32>,
    /// What the constraint requires.
    pub rule: Rule,
}

impl Constraint {
    /// Returns whether the constraint is hard: tasks stay unplaced rather than violate it.
    pub fn is_hard(&self) -> bool {
        self.preference_rank.is_none()
    }
}
