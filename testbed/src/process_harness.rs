//! Runs voters, planners with slots and spare planners as processes of their own. Each process
//! reaches the voters through relays of its own, and other planners reach each planner through its
//! relay, so that links can be cut; processes are killed, stopped, resumed and terminated. Planners
//! print each slot that they acquire, which shows from outside how long a slot is without a
//! planner.
mod faults;
mod report;
mod setup;

use crate::client::PlannerAddresses;
use crate::context::TestbedContext;
use crate::drill_config::DrillConfig;
use crate::relay::RelayControl;
use hdrhistogram::Histogram;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

pub use self::report::{SlotReport, TakeoverTimes};
pub use self::setup::{free_addresses, HarnessSetup};

/// Time within which a process must exit after its signal.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the harness checks that all slots have planners after the start.
const START_CHECK_EVERY: Duration = Duration::from_millis(50);
/// Number of checks after which the start fails.
const START_CHECKS: u32 = 600;

/// The line that `serve` prints whenever it acquires a slot.
#[derive(serde::Deserialize)]
struct SlotAcquiredLine {
    listening: String,
    name: String,
    epoch: u64,
}

/// A slot's number, and its holder's epoch.
type HeldSlot = (usize, u64);

/// A planner or voter process, and its relays.
#[derive(Default)]
struct HarnessProcess {
    name: String,
    args: Vec<String>,
    child: RefCell<Option<Child>>,
    /// The process id, kept until the process has exited: a stopped process is resumed while the
    /// harness waits for its exit.
    pid: Cell<Option<Pid>>,
    /// Whether the harness has killed or terminated the process, so that its exit is no error.
    ends: Cell<bool>,
    /// Of planners: the slot that the process acquired last, while it holds it.
    slot: Cell<Option<HeldSlot>>,
    /// Relays from the process to each voter.
    relays: Vec<Rc<RelayControl>>,
    /// Of planners: the relay that other planners connect through.
    own_relay: Rc<RelayControl>,
    /// Of voters: the folder of their stored votes.
    state: Option<PathBuf>,
}

/// State of a slot, as seen from the planners' output.
#[derive(Default)]
struct SlotState {
    /// Highest epoch under which the slot was acquired.
    epoch: Cell<u64>,
    /// Index of the planner process that acquired the slot last.
    holder: Cell<Option<usize>>,
    /// When a fault first affected the holder, in microseconds, and the kind of the fault; `None`
    /// once another process has acquired the slot.
    affected: RefCell<Option<(i64, String)>>,
    /// When the slot was first acquired, in microseconds.
    since: Cell<Option<i64>>,
    /// Total time between faults of holders and the takeovers by their successors, in microseconds.
    without_us: Cell<i64>,
}

/// The processes of a scenario with slots.
pub struct ProcessHarness {
    /// Weak reference to the harness itself, for the tasks that read the output of processes.
    self_weak: Weak<ProcessHarness>,
    config: Rc<DrillConfig>,
    zones: Vec<String>,
    context: Rc<TestbedContext>,
    addresses: PlannerAddresses,
    lease_duration_us: i64,
    /// Files for operator commands, with the voters' addresses without relays, so that no cut
    /// affects operators.
    files: Vec<String>,
    slots: Vec<SlotState>,
    /// Processes that compete for the slots: as many as there are slots, and the spares.
    planners: Vec<HarnessProcess>,
    voters: Vec<HarnessProcess>,
    /// Slots whose planners are cut off from the other planners, and whether the isolated planners
    /// still receive what the others send.
    isolated: RefCell<Option<(BTreeSet<usize>, bool)>>,
    /// Processes that `kill` has killed and `start` will restart, by slot.
    killed: RefCell<BTreeMap<usize, usize>>,
    /// Times that slots were without a planner, in microseconds, by the kind of fault.
    gaps: RefCell<BTreeMap<String, Histogram<u64>>>,
    /// Errors for the drill's report.
    errors: RefCell<Vec<String>>,
}

impl ProcessHarness {
    /// Starts all processes, and waits until each slot has a planner.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started, or slots stay without a planner.
    pub async fn start_all(&self) -> io::Result<()> {
        (0..self.voters.len()).try_for_each(|voter| self.spawn(&self.voters[voter], None))?;
        (0..self.planners.len())
            .try_for_each(|planner| self.spawn(&self.planners[planner], Some(planner)))?;
        for _ in 0..START_CHECKS {
            if self.slots.iter().all(|slot| slot.holder.get().is_some()) {
                return Ok(());
            }
            tokio::time::sleep(START_CHECK_EVERY).await;
        }
        Err(io::Error::other(
            "found slots without a planner 30 s after the start; expected a planner in each slot",
        ))
    }

    /// Returns all planner and voter processes.
    fn processes(&self) -> impl Iterator<Item = &HarnessProcess> {
        self.planners.iter().chain(&self.voters)
    }

    /// Records an error for the drill's report.
    fn error(&self, what: String) {
        self.errors.borrow_mut().push(what);
    }

    /// Starts a process. `planner` is the index of a planner process, and `None` for a voter.
    fn spawn(&self, process: &HarnessProcess, planner: Option<usize>) -> io::Result<()> {
        let mut command = Command::new(&self.config.binary);
        command.args(&process.args).stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let stdout =
            child.stdout.take().ok_or_else(|| io::Error::other("the process has no piped stdout"))?;
        process.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        process.ends.set(false);
        *process.child.borrow_mut() = Some(child);
        let (self_weak, mut lines) = (self.self_weak.clone(), BufReader::new(stdout).lines());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let (Some(harness), Some(planner)) = (self_weak.upgrade(), planner) else { continue };
                if let Ok(line) = serde_json::from_str(&line) {
                    harness.slot_acquired(planner, line);
                }
            }
        });
        Ok(())
    }

    /// Handles the line by which a planner process reports an acquired slot.
    fn slot_acquired(&self, planner: usize, line: SlotAcquiredLine) {
        let number = line.name.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        let Some((number, slot)) = number.and_then(|number| Some((number, self.slots.get(number)?))) else {
            return self
                .error(format!("a planner acquired slot {:?}, which the scenario does not have", line.name));
        };
        let now = self.context.clock.now();
        if line.epoch <= slot.epoch.get() {
            let (before, who) = (slot.epoch.get(), &self.planners[planner].name);
            self.error(format!(
                "slot {}, acquired by {who}: epoch {} is not higher than the slot's last epoch {before}",
                line.name, line.epoch
            ));
        }
        if slot.since.get().is_none() {
            slot.since.set(Some(now));
        } else {
            // A holder that no fault affected lost its slot by itself, for example because the host
            // stalled or a voter exited.
            let (at, fault) = slot.affected.take().unwrap_or((now, "nothing".into()));
            slot.without_us.set(slot.without_us.get() + now - at);
            let mut gaps = self.gaps.borrow_mut();
            let histogram = gaps.entry(fault).or_insert_with(report::new_histogram);
            histogram.saturating_record((now - at).max(1) as u64);
        }
        for process in &self.planners {
            process.slot.set(process.slot.get().filter(|held| held.0 != number));
        }
        slot.epoch.set(line.epoch);
        slot.holder.set(Some(planner));
        self.planners[planner].slot.set(Some((number, line.epoch)));
        // The cut applies to slots, so it moves with the slot to another process.
        self.cut_between_planners();
        self.addresses.borrow_mut()[number] = line.listening;
    }

    /// Sends a signal to a process. After `KILL` and `TERM` the exit of the process is expected.
    fn signal(&self, process: &HarnessProcess, signal: Signal) {
        self.check_running(process);
        process.ends.set(process.ends.get() || matches!(signal, Signal::KILL | Signal::TERM));
        if let Some(pid) = process.pid.get() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Records an error if a process has exited that the harness did not end, also when a fault is
    /// about to end it.
    fn check_running(&self, process: &HarnessProcess) {
        let ended = process.child.borrow_mut().as_mut().and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = ended.filter(|_| !process.ends.get()) {
            process.ends.set(true);
            self.error(format!("{} exited, though no fault ended it: {status}", process.name));
        }
    }

    /// Ends a process and waits for its exit. The checker expects no more answers from a planner
    /// that is ended.
    async fn end(&self, process: &HarnessProcess, signal: Signal) {
        if let Some((number, epoch)) = process.slot.take() {
            let (now, name) = (self.context.clock.now(), format!("planner-{number}"));
            self.context.checker.borrow_mut().planner_killed(now, &name, epoch);
        }
        self.signal(process, signal);
        let child = process.child.borrow_mut().take();
        if let Some(mut child) = child {
            match tokio::time::timeout(END_TIMEOUT, child.wait()).await {
                Ok(Ok(status)) if signal == Signal::TERM && !status.success() => {
                    self.error(format!("{} exited after SIGTERM with an error: {status}", process.name));
                }
                Ok(_) => {}
                Err(_) => {
                    self.error(format!(
                        "{} did not exit within 10 s of the signal that should end it",
                        process.name
                    ));
                    let _ = child.kill().await;
                }
            }
            process.pid.set(None);
        }
    }

    /// Starts a process again.
    fn restart(&self, process: &HarnessProcess, planner: Option<usize>) {
        if let Err(e) = self.spawn(process, planner) {
            self.error(format!("{} could not be started again: {e}", process.name));
        }
    }

    /// Runs a command of the binary on the installation, as an operator would, and returns its
    /// output.
    async fn command(&self, name: &str, options: &[&str]) -> Option<serde_json::Value> {
        let files = self.files.iter().map(String::as_str);
        self.run([name].into_iter().chain(files).chain(options.iter().copied())).await
    }

    /// Runs the binary with these arguments, and returns its output; `None` if the binary could not
    /// be run or printed no JSON.
    async fn run<'a>(&self, args: impl Iterator<Item = &'a str>) -> Option<serde_json::Value> {
        let mut command = Command::new(&self.config.binary);
        command.args(args).args(["-o", "json"]).kill_on_drop(true);
        let output = command.stderr(Stdio::inherit()).output().await.ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Returns the planner process that holds a lease according to a majority of the voters.
    async fn coordinator(&self, lease: &str) -> Option<usize> {
        let rows = self.command("council", &[]).await?;
        let held = |row: &&serde_json::Value| row["duty"] == *lease && row["state"] == "vote is out";
        let rows = rows.as_array()?.iter().filter(held);
        let holders: Vec<&str> = rows.filter_map(|row| row["holder"].as_str()).collect();
        let votes = |holder: &&str| holders.iter().filter(|other| *other == holder).count();
        let most = holders.iter().find(|holder| 2 * votes(holder) > self.voters.len())?;
        let pid = most.strip_prefix("process-")?.split(' ').next()?.parse::<i32>().ok()?;
        let has_pid = |process: &HarnessProcess| process.pid.get().is_some_and(|own| own.as_raw_pid() == pid);
        self.planners.iter().position(has_pid)
    }
}
