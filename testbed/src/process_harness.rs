//! Voters, planners with slots, and spares as processes of their own. Each process reaches the voters through
//! relays of its own, and others reach each planner through one; processes are killed, stopped, resumed and
//! told to stop, their links cut. What each prints says who has a slot, so the time that a slot is without a
//! planner is known from outside.
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

/// How long a process may take to end.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is looked at whether all slots have planners, and how many times.
const START_CHECK_EVERY: Duration = Duration::from_millis(50);
const START_CHECKS: u32 = 600;

/// A line that `serve` prints whenever it acquires a slot.
#[derive(serde::Deserialize)]
struct SlotAcquiredLine {
    listening: String,
    name: String,
    epoch: u64,
}

/// A slot's number, and the epoch of its holder.
type HeldSlot = (usize, u64);

/// One process, and its relays.
#[derive(Default)]
struct HarnessProcess {
    name: String,
    args: Vec<String>,
    child: RefCell<Option<Child>>,
    /// Set until it has ended: one that was stopped is resumed while its end is waited for.
    pid: Cell<Option<Pid>>,
    /// It was killed or told to stop: that it ended is no error.
    ends: Cell<bool>,
    /// Of planners: the slot that it last said it has.
    slot: Cell<Option<HeldSlot>>,
    /// From it to each voter.
    relays: Vec<Rc<RelayControl>>,
    /// Of planners: from other planners to it.
    own_relay: Rc<RelayControl>,
    /// Of voters: where it keeps what it voted.
    state: Option<PathBuf>,
}

#[derive(Default)]
struct SlotState {
    epoch: Cell<u64>,
    holder: Cell<Option<usize>>,
    /// Since when its holder is affected by a fault, and by which, until another has it.
    affected: RefCell<Option<(i64, String)>>,
    since: Cell<Option<i64>>,
    /// Microseconds without a holder that no fault had affected.
    without_us: Cell<i64>,
}

/// The processes of a scenario with slots.
pub struct ProcessHarness {
    me: Weak<ProcessHarness>,
    config: Rc<DrillConfig>,
    zones: Vec<String>,
    context: Rc<TestbedContext>,
    addresses: PlannerAddresses,
    lease_duration_us: i64,
    /// The installation's files, with the voters' own addresses: operators are not cut off.
    files: Vec<String>,
    slots: Vec<SlotState>,
    /// Holders of slots and spares.
    planners: Vec<HarnessProcess>,
    voters: Vec<HarnessProcess>,
    /// Slots that the others are cut off from, and whether those receive from the others all the same.
    isolated: RefCell<Option<(BTreeSet<usize>, bool)>>,
    /// Processes that `kill` ended and `start` brings back, by their slot.
    killed: RefCell<BTreeMap<usize, usize>>,
    /// By fault: how long slots were without a planner.
    gaps: RefCell<BTreeMap<String, Histogram<u64>>>,
    errors: RefCell<Vec<String>>,
}

impl ProcessHarness {
    /// Starts everything and waits until each slot has a planner.
    ///
    /// # Errors
    ///
    /// Where a process does not start, or slots stay without a planner.
    pub async fn begin(&self) -> io::Result<()> {
        (0..self.voters.len()).try_for_each(|voter| self.spawn(&self.voters[voter], None))?;
        (0..self.planners.len())
            .try_for_each(|planner| self.spawn(&self.planners[planner], Some(planner)))?;
        for _ in 0..START_CHECKS {
            if self.slots.iter().all(|slot| slot.holder.get().is_some()) {
                return Ok(());
            }
            tokio::time::sleep(START_CHECK_EVERY).await;
        }
        Err(io::Error::other("found seats without a planner 30 s after the start"))
    }

    fn processes(&self) -> impl Iterator<Item = &HarnessProcess> {
        self.planners.iter().chain(&self.voters)
    }

    fn error(&self, what: String) {
        self.errors.borrow_mut().push(what);
    }

    fn spawn(&self, process: &HarnessProcess, planner: Option<usize>) -> io::Result<()> {
        let mut command = Command::new(&self.config.binary);
        command.args(&process.args).stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        process.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        process.ends.set(false);
        *process.child.borrow_mut() = Some(child);
        let (me, mut lines) = (self.me.clone(), BufReader::new(out).lines());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let (Some(me), Some(planner)) = (me.upgrade(), planner) else { continue };
                if let Ok(line) = serde_json::from_str(&line) {
                    me.slot_acquired(planner, line);
                }
            }
        });
        Ok(())
    }

    /// A process says that it has a slot.
    fn slot_acquired(&self, planner: usize, line: SlotAcquiredLine) {
        let number = line.name.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        let Some((number, slot)) = number.and_then(|number| Some((number, self.slots.get(number)?))) else {
            return self.error(format!("found seat {:?}", line.name));
        };
        let now = self.context.clock.now();
        if line.epoch <= slot.epoch.get() {
            let (before, who) = (slot.epoch.get(), &self.planners[planner].name);
            self.error(format!("{} of {who}: epoch {} after {before}", line.name, line.epoch));
        }
        if slot.since.get().is_none() {
            slot.since.set(Some(now));
        } else {
            // One that no fault affected lost it by itself: a machine that stalls, or a voter that went.
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
        // Slots stay on their side of a cut, whichever process has them.
        self.cut_between_planners();
        self.addresses.borrow_mut()[number] = line.listening;
    }

    fn signal(&self, process: &HarnessProcess, signal: Signal) {
        self.check_running(process);
        process.ends.set(process.ends.get() || matches!(signal, Signal::KILL | Signal::TERM));
        if let Some(pid) = process.pid.get() {
            let _ = kill_process(pid, signal);
        }
    }

    /// A process that nothing has ended must run, also if a fault would end it next.
    fn check_running(&self, process: &HarnessProcess) {
        let ended = process.child.borrow_mut().as_mut().and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = ended.filter(|_| !process.ends.get()) {
            process.ends.set(true);
            self.error(format!("{} ended by itself: {status}", process.name));
        }
    }

    /// Ends a process and waits for its end; a planner's clients are owed no answer any more.
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
                    self.error(format!("{}, told to stop: {status}", process.name));
                }
                Ok(_) => {}
                Err(_) => {
                    self.error(format!("{} did not end in 10 s", process.name));
                    let _ = child.kill().await;
                }
            }
            process.pid.set(None);
        }
    }

    fn restart(&self, process: &HarnessProcess, planner: Option<usize>) {
        if let Err(e) = self.spawn(process, planner) {
            self.error(format!("{} did not come back: {e}", process.name));
        }
    }

    /// A command of the binary about the installation, as an operator gives it; what it prints.
    async fn command(&self, name: &str, more: &[&str]) -> Option<serde_json::Value> {
        let files = self.files.iter().map(String::as_str);
        self.run([name].into_iter().chain(files).chain(more.iter().copied())).await
    }

    async fn run<'a>(&self, args: impl Iterator<Item = &'a str>) -> Option<serde_json::Value> {
        let mut command = Command::new(&self.config.binary);
        command.args(args).args(["-o", "json"]).kill_on_drop(true);
        let out = command.stderr(Stdio::inherit()).output().await.ok()?;
        serde_json::from_slice(&out.stdout).ok()
    }

    /// Which process has this lease, as most voters have it.
    async fn coordinator(&self, lease: &str) -> Option<usize> {
        let rows = self.command("council", &[]).await?;
        let held = |row: &&serde_json::Value| row["duty"] == *lease && row["state"] == "vote is out";
        let rows = rows.as_array()?.iter().filter(held);
        let holders: Vec<&str> = rows.filter_map(|row| row["holder"].as_str()).collect();
        let votes = |holder: &&str| holders.iter().filter(|other| *other == holder).count();
        let most = holders.iter().find(|holder| 2 * votes(holder) > self.voters.len())?;
        let pid = most.strip_prefix("process-")?.split(' ').next()?.parse::<i32>().ok()?;
        let has_pid = |process: &HarnessProcess| process.pid.get().is_some_and(|p| p.as_raw_pid() == pid);
        self.planners.iter().position(has_pid)
    }
}
