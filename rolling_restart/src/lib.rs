//! A rolling restart: the machines of a zone restart a few at a time. One planner coordinates it; its progress is
//! metadata of a lease, so that a successor goes on from there. No I/O, no clock of its own: times are whole
//! microseconds of the caller's clock.
//!
//! Why no more than so many are drained at once, whoever died when: a machine is told to drain only once a majority of
//! voters stores that its restart is under way, and counts until a majority stores that its drain was taken back. A
//! successor writes what it found under its own token before it acts on it. Why none is drained twice: a drain names
//! the machine's start that it is for, so it is nothing to a machine that has started since; and it carries the
//! coordinator's token and a number that rises, so that what was under way before a newer request is refused.
mod coordinator;
mod steps;

pub use coordinator::{RestartAction, RestartConfig, RestartCoordinator};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What operators want.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartPlan {
    /// Rises from one rolling restart to the next.
    pub id: u64,
    /// The zone whose machines restart.
    pub zone: String,
    /// So many machines are drained at once, at the most.
    #[serde(rename = "at_once")]
    pub max_draining: usize,
    /// How long a machine is given to become empty, in microseconds.
    #[serde(rename = "empty_us")]
    pub drain_timeout_us: i64,
    /// How long it is then given to restart, in microseconds.
    #[serde(rename = "restart_us")]
    pub restart_timeout_us: i64,
    /// No further machine is drained.
    #[serde(default)]
    pub paused: bool,
    /// It ends: what is under way is released.
    #[serde(default)]
    pub stopped: bool,
}

/// How a machine's restart ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartOutcome {
    /// It started anew.
    Restarted,
    /// It did not restart in its time.
    NotRestarted,
    /// It was gone, or drained by others, when all else was done.
    Absent,
    /// The rolling restart was stopped before the machine's was over.
    Stopped,
}

/// How far a machine's restart is. The names in the stored progress are older than these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartStage {
    /// Not begun.
    #[serde(rename = "waits")]
    Waiting,
    /// Told to take nothing new, and not empty yet.
    #[serde(rename = "drains")]
    Draining,
    /// Empty, or its time for that is up: its restart is waited for.
    #[serde(rename = "restarts")]
    Restarting,
    /// Its drain is taken back.
    Released(RestartOutcome),
    /// Over.
    Done(RestartOutcome),
}

impl RestartStage {
    /// Whether the machine may be drained by the rolling restart.
    pub fn is_under_way(self) -> bool {
        matches!(self, RestartStage::Draining | RestartStage::Restarting | RestartStage::Released(_))
    }
}

/// A machine's part in a rolling restart; stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(i64, RestartStage)", into = "(i64, RestartStage)")]
pub struct MachineRestart {
    /// The machine's start at which it joined, by its own clock in microseconds.
    pub started_us: i64,
    /// How far it is.
    pub stage: RestartStage,
}

impl From<(i64, RestartStage)> for MachineRestart {
    fn from((started_us, stage): (i64, RestartStage)) -> Self {
        MachineRestart { started_us, stage }
    }
}

impl From<MachineRestart> for (i64, RestartStage) {
    fn from(machine: MachineRestart) -> Self {
        (machine.started_us, machine.stage)
    }
}

/// What a majority of voters stores: the plan, and each machine's part. `M` is the type of machine names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartProgress<M: Ord> {
    /// What operators want, as the coordinator last knew it.
    pub plan: RestartPlan,
    /// All machines of the zone, as they were listed when it began.
    pub machines: BTreeMap<M, MachineRestart>,
}

impl<M: Ord> RestartProgress<M> {
    /// Whether all machines are done.
    pub fn is_over(&self) -> bool {
        self.machines.values().all(|machine| matches!(machine.stage, RestartStage::Done(_)))
    }

    fn under_way(&self) -> usize {
        self.machines.values().filter(|machine| machine.stage.is_under_way()).count()
    }
}

/// A machine as the machine list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListedMachine {
    /// When it last started, by its own clock in microseconds.
    pub started_us: i64,
    /// It takes nothing new.
    pub is_draining: bool,
    /// It does not answer.
    pub is_gone: bool,
    /// Nothing runs on it.
    pub is_empty: bool,
}
