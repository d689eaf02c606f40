//! Rolling restart: restarts the machines of a zone a few at a time. One planner coordinates it;
//! the progress is stored as the metadata of a lease, so that the next lease holder continues from
//! it. No I/O and no clock: times are whole microseconds of the caller's clock.
//!
//! At most `max_draining` machines are drained at once, even if a coordinator fails at any point. A
//! machine is drained only after a majority of voters has stored that its restart is under way, and
//! it counts until a majority has stored that its drain was cancelled. A new coordinator stores the
//! progress that it found under its own fencing token before it acts on it.
//!
//! No machine is drained twice. A drain request names the machine's start time, so that it does not
//! apply to a machine that has restarted since. It also carries the coordinator's token and an
//! increasing number, so that an older request that arrives late is refused.
mod coordinator;
mod steps;

pub use coordinator::{RestartAction, RestartConfig, RestartCoordinator};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The plan of a rolling restart, as requested by an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartPlan {
    /// Number of the rolling restart, which increases from one to the next.
    pub id: u64,
    /// Zone whose machines restart.
    pub zone: String,
    /// Maximum number of machines that are drained at once.
    #[serde(rename = "at_once")]
    pub max_draining: usize,
    /// Time given to a draining machine to become empty, in microseconds; afterwards its restart is
    /// awaited even if tasks still run on it.
    #[serde(rename = "empty_us")]
    pub drain_timeout_us: i64,
    /// Time to wait for a drained machine to restart, in microseconds.
    #[serde(rename = "restart_us")]
    pub restart_timeout_us: i64,
    /// Whether the rolling restart is paused: no further machine is drained.
    #[serde(default)]
    pub paused: bool,
    /// Whether the rolling restart is stopped: drains that are under way are cancelled.
    #[serde(default)]
    pub stopped: bool,
}

/// Outcome of a machine's restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartOutcome {
    /// The machine restarted.
    Restarted,
    /// The machine did not restart within the restart timeout.
    NotRestarted,
    /// The machine was gone, or drained by another party, when no other machine was left to
    /// restart.
    Absent,
    /// The rolling restart was stopped before the machine restarted.
    Stopped,
}

/// Stage of a machine's restart. The stored names differ from these for compatibility with older
/// progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartStage {
    /// The restart has not begun.
    #[serde(rename = "waits")]
    Waiting,
    /// The machine drains: it accepts no new tasks and is not empty yet.
    #[serde(rename = "drains")]
    Draining,
    /// The machine is empty or the drain timeout has passed; its restart is awaited.
    #[serde(rename = "restarts")]
    Restarting,
    /// The drain is being cancelled.
    Released(RestartOutcome),
    /// The restart is over.
    Done(RestartOutcome),
}

impl RestartStage {
    /// Returns whether the rolling restart may have drained the machine.
    pub fn is_under_way(self) -> bool {
        matches!(self, RestartStage::Draining | RestartStage::Restarting | RestartStage::Released(_))
    }
}

/// State of a machine in a rolling restart; stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(i64, RestartStage)", into = "(i64, RestartStage)")]
pub struct MachineRestart {
    /// Start time of the machine when the rolling restart began, in microseconds of the machine's
    /// clock.
    pub started_us: i64,
    /// Stage of the machine's restart.
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

/// Progress of a rolling restart, as stored by a majority of voters. `M` is the type of machine
/// names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartProgress<M: Ord> {
    /// The plan, as the coordinator last read it.
    pub plan: RestartPlan,
    /// All machines of the zone that were listed when the rolling restart began.
    pub machines: BTreeMap<M, MachineRestart>,
}

impl<M: Ord> RestartProgress<M> {
    /// Returns whether the restarts of all machines are over.
    pub fn is_over(&self) -> bool {
        self.machines.values().all(|machine| matches!(machine.stage, RestartStage::Done(_)))
    }

    fn under_way(&self) -> usize {
        self.machines.values().filter(|machine| machine.stage.is_under_way()).count()
    }
}

/// A machine's entry in the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListedMachine {
    /// Time of the machine's last start, in microseconds of the machine's clock.
    pub started_us: i64,
    /// Whether the machine drains: it accepts no new tasks.
    pub is_draining: bool,
    /// Whether the machine does not answer.
    pub is_gone: bool,
    /// Whether no task runs on the machine.
    pub is_empty: bool,
}
