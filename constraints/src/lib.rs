//! Clauses on where tasks may run. `read` takes them out of an installation's records and finds what makes no
//! sense before anything runs; `deciding` keeps, for each group of tasks that the same clauses bind, which
//! machines are allowed, mended by each change; `conflict` names a smallest set of clauses that no machine of
//! the known fleet can meet. No I/O, no clock.
//!
//! What a clause means, in plain words, is in `docs/protocol/clauses.md`; the types here are its grammar.
pub mod conflict;
pub mod parse;
pub mod state;

use basaltpitch_config::Span;
use serde::{Deserialize, Serialize};

/// Which tasks: all parts that are given must match. Nothing given: all tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    pub framework: Option<String>,
    pub tenant: Option<String>,
    pub service: Option<u64>,
    /// What a task's key begins with.
    pub task: Option<String>,
}

/// What clauses see of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TaskAttributes {
    pub framework: String,
    pub tenant: String,
    pub service: u64,
    pub key: String,
}

impl Scope {
    pub fn matches(&self, t: &TaskAttributes) -> bool {
        let is = |want: &Option<String>, have: &str| want.as_ref().is_none_or(|w| w == have);
        is(&self.framework, &t.framework)
            && is(&self.tenant, &t.tenant)
            && self.service.is_none_or(|s| s == t.service)
            && self.task.as_ref().is_none_or(|k| t.key.starts_with(k.as_str()))
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

/// How near is near.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TopologyLevel {
    Machine,
    Rack,
    /// Written `Hall` in what is sent.
    #[serde(rename = "Hall")]
    Zone,
}

/// Machines by what is listed of them. Each list that is not empty must name the machine's; of labels it must
/// have one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineSelector {
    pub kinds: Vec<String>,
    pub halls: Vec<String>,
    /// Hall and number of a rack.
    pub racks: Vec<(String, u32)>,
    pub labels: Vec<String>,
}

/// What clauses see of a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineAttributes {
    pub kind: String,
    pub hall: String,
    pub rack: u32,
    pub labels: Vec<String>,
}

impl MachineSelector {
    pub fn names(&self, m: &MachineAttributes) -> bool {
        let is = |list: &[String], have: &str| list.is_empty() || list.iter().any(|x| x == have);
        is(&self.kinds, &m.kind)
            && is(&self.halls, &m.hall)
            && (self.racks.is_empty() || self.racks.iter().any(|r| r.0 == m.hall && r.1 == m.rack))
            && (self.labels.is_empty() || self.labels.iter().any(|l| m.labels.contains(l)))
    }
}

/// Which places count for a spread when some have no machine that takes work.
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
    Service,
    All,
}

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
    /// At most so many in a place, and at most so many more than in the place with the fewest.
    Spread {
        over: TopologyLevel,
        by: SpreadGrouping,
        most: Option<u32>,
        skew: Option<u32>,
        gone: UnavailableDomains,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Constraint {
    pub name: String,
    /// Where it stands; what is sent to a planner has words for that beside it.
    #[serde(skip)]
    pub at: Span,
    pub of: Scope,
    /// `None`: it must hold. Else how much it is wished for: higher ranks first.
    pub wish: Option<u32>,
    pub rule: Rule,
}

impl Constraint {
    pub fn must(&self) -> bool {
        self.wish.is_none()
    }
}
