//! What the placement module actions through: each of its calls goes into the ledger or becomes a request to the
//! planner.
use crate::placement_constraints::PlacementConstraints;
use basaltpitch::host::Host;
use basaltpitch_constraints::TaskAttributes;
use basaltpitch_ledger::{AttemptId, Ledger, LedgerAction};
use basaltpitch_timers::Wheel;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::rc::Rc;

/// The client's key of a task.
pub type TaskKey = Rc<str>;

/// What a task needs, as the planner keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskJob {
    /// Its framework, as the module's index.
    pub framework: usize,
    /// Its tenant, as the module's index.
    pub tenant: Option<usize>,
    /// Its service, as clients number them.
    pub service: u64,
    /// The cores that it needs.
    pub cores: f64,
    /// The memory that it needs, in the unit of the settings.
    pub memory: f64,
    /// How long it is expected to run.
    pub runs_for_us: i64,
    /// How old what was known of tenants was when it was asked for; see `Answer.stale_us`.
    pub stale_us: i64,
    /// What constraints see of it, where the installation has constraints.
    pub facts: Option<Rc<TaskAttributes>>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// The module's, with its token.
    Placement(u64),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// The timeout of a health check, by its number.
    Probe(u64),
    /// Records and ids that nothing needs leave.
    Housekeeping,
    /// The admission threshold is recomputed.
    AdmissionThreshold,
    /// The planner's subset of the fleet changes with time.
    Subset,
}

/// Calls of the module that are not about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequest {
    /// Check the health of a machine.
    Probe(usize),
    /// Have the registry send changes of the list, or no more.
    Watch(bool),
    /// Have the registry send the list once.
    Fetch,
}

/// The host of the placement module.
pub struct HostAdapter {
    /// The time of the calls that are being made.
    pub now: i64,
    /// The record of each task.
    pub ledger: Ledger<TaskKey, TaskJob>,
    /// What the ledger wants done, in order.
    pub actions: VecDeque<LedgerAction<TaskKey>>,
    /// Calls that are not about a task, in order.
    pub requests: VecDeque<HostRequest>,
    /// All timers of the planner.
    pub timers: Wheel<TimerKind>,
    /// The module's calls as text, where they are recorded.
    pub transcript: Option<CallTranscript>,
    /// The installation's constraints, where it has any.
    pub constraints: Option<PlacementConstraints>,
    /// What constraints answered the module, where its calls are recorded; see `recording`.
    answers: RefCell<ConstraintAnswers>,
    buffer: Vec<LedgerAction<TaskKey>>,
}

/// Answers to the module's questions about constraints, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConstraintAnswers {
    /// Whether a task may go to a machine.
    pub allows: VecDeque<bool>,
    /// How much a machine is preferred for a task.
    pub preferences: VecDeque<u64>,
    /// The group of tasks that constraints do not tell apart.
    pub groups: VecDeque<usize>,
}

impl ConstraintAnswers {
    /// Whether nothing was asked.
    pub fn is_empty(&self) -> bool {
        self.allows.is_empty() && self.preferences.is_empty() && self.groups.is_empty()
    }
}

impl HostAdapter {
    /// A host without constraints; `records`: whether calls are written down.
    pub fn new(now: i64, ledger: Ledger<TaskKey, TaskJob>, records: bool) -> Self {
        HostAdapter {
            now,
            ledger,
            actions: VecDeque::new(),
            requests: VecDeque::new(),
            timers: Wheel::new(now),
            transcript: records.then(CallTranscript::default),
            constraints: None,
            answers: RefCell::default(),
            buffer: Vec::new(),
        }
    }

    /// Calls the ledger and keeps the actions that come of it, in order.
    pub fn on_ledger<R>(
        &mut self,
        ask: impl FnOnce(&mut Ledger<TaskKey, TaskJob>, &mut Vec<LedgerAction<TaskKey>>) -> R,
    ) -> R {
        self.ledger.set_clock(self.now);
        let answer = ask(&mut self.ledger, &mut self.buffer);
        for action in self.buffer.drain(..) {
            match (action, &mut self.constraints) {
                // Counted at once: the module may send the next task before this one's action is carried out.
                (LedgerAction::AttemptStarted { attempt, machine, key }, Some(bounds)) => {
                    let facts = self.ledger.record(&key).and_then(|r| r.job.facts.clone());
                    facts.into_iter().for_each(|facts| bounds.attempt_started(attempt, machine, &facts));
                }
                (LedgerAction::AttemptEnded { attempt }, Some(bounds)) => bounds.attempt_ended(attempt),
                (LedgerAction::AttemptStarted { .. } | LedgerAction::AttemptEnded { .. }, None) => {}
                (action, _) => self.actions.push_back(action),
            }
        }
        answer
    }

    /// What constraints answered the module since this was last taken.
    pub fn take_answers(&mut self) -> ConstraintAnswers {
        self.answers.take()
    }

    fn noted<T: Copy>(&self, answer: T, to: impl FnOnce(&mut ConstraintAnswers) -> &mut VecDeque<T>) -> T {
        if self.transcript.is_some() && self.constraints.is_some() {
            to(&mut self.answers.borrow_mut()).push_back(answer);
        }
        answer
    }

    fn call(&mut self, write: impl FnOnce(&mut CallTranscript)) {
        if let Some(transcript) = &mut self.transcript {
            write(transcript);
        }
    }
}

/// How each call of the module is written in a recording, a line each.
#[derive(Default)]
pub struct CallTranscript {
    /// The calls, each with its line end.
    pub text: String,
    /// What was answered when this was recorded, for a replay.
    pub answers: RefCell<ConstraintAnswers>,
}

impl Host for CallTranscript {
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64) {
        let _ = writeln!(self.text, "> launch {task} on {machine} for {timeout_us}");
    }
    fn cancel(&mut self, task: usize, launch: u32) {
        let _ = writeln!(self.text, "> cancel {task} launch {launch}");
    }
    fn reject(&mut self, task: usize, retry_after_us: i64) {
        let _ = writeln!(self.text, "> decline {task} after {retry_after_us}");
    }
    fn abort(&mut self, task: usize) {
        let _ = writeln!(self.text, "> abort {task}");
    }
    fn evict(&mut self, task: usize) {
        let _ = writeln!(self.text, "> move {task}");
    }
    fn probe(&mut self, machine: usize) {
        let _ = writeln!(self.text, "> probe {machine}");
    }
    fn watch_list(&mut self, on: bool) {
        let _ = writeln!(self.text, "> watch {on}");
    }
    fn fetch_list(&mut self) {
        let _ = writeln!(self.text, "> fetch");
    }
    fn set_timer(&mut self, after_us: i64, token: u64) {
        let _ = writeln!(self.text, "> timer {token} after {after_us}");
    }
    fn log(&mut self, text: &str) {
        let _ = writeln!(self.text, "> log {text:?}");
    }
    fn allows(&self, _: usize, _: usize) -> bool {
        self.answers.borrow_mut().allows.pop_front().unwrap_or(true)
    }
    fn preference_score(&self, _: usize, _: usize) -> u64 {
        self.answers.borrow_mut().preferences.pop_front().unwrap_or(0)
    }
    fn constraint_group(&self, _: usize) -> usize {
        self.answers.borrow_mut().groups.pop_front().unwrap_or(0)
    }
}

impl Host for HostAdapter {
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64) {
        self.call(|transcript| transcript.launch(task, machine, timeout_us));
        self.on_ledger(|ledger, actions| ledger.launch(task, machine, timeout_us, actions));
    }
    /// The ledger called the launch back already, when it told the module that the task is over.
    fn cancel(&mut self, task: usize, launch: u32) {
        self.call(|transcript| transcript.cancel(task, launch));
    }
    fn reject(&mut self, task: usize, retry_after_us: i64) {
        self.call(|transcript| transcript.reject(task, retry_after_us));
        self.on_ledger(|ledger, actions| ledger.decline(task, retry_after_us, actions));
    }
    fn abort(&mut self, task: usize) {
        self.call(|transcript| transcript.abort(task));
        self.on_ledger(|ledger, actions| ledger.abort(task, actions));
    }
    fn evict(&mut self, task: usize) {
        self.call(|transcript| transcript.evict(task));
        self.on_ledger(|ledger, actions| ledger.move_away(task, actions));
    }
    fn probe(&mut self, machine: usize) {
        self.call(|transcript| transcript.probe(machine));
        self.requests.push_back(HostRequest::Probe(machine));
    }
    fn watch_list(&mut self, on: bool) {
        self.call(|transcript| transcript.watch_list(on));
        self.requests.push_back(HostRequest::Watch(on));
    }
    fn fetch_list(&mut self) {
        self.call(|transcript| transcript.fetch_list());
        self.requests.push_back(HostRequest::Fetch);
    }
    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.call(|transcript| transcript.set_timer(after_us, token));
        self.timers.set(self.now + after_us, TimerKind::Placement(token));
    }
    fn log(&mut self, text: &str) {
        self.call(|transcript| transcript.log(text));
        tracing::info!(text, "the placing module");
    }
    fn allows(&self, task: usize, machine: usize) -> bool {
        let Some(bounds) = &self.constraints else { return true };
        let allows = bounds.group(task).is_none_or(|g| bounds.state.allows(g, machine));
        self.noted(allows, |a| &mut a.allows)
    }
    fn preference_score(&self, task: usize, machine: usize) -> u64 {
        let Some(bounds) = &self.constraints else { return 0 };
        let wishes = bounds.group(task).map_or(0, |g| bounds.state.preference_score(g, machine));
        self.noted(wishes, |a| &mut a.preferences)
    }
    fn constraint_group(&self, task: usize) -> usize {
        let Some(bounds) = &self.constraints else { return 0 };
        let alike = bounds.group(task).unwrap_or(0);
        self.noted(alike, |a| &mut a.groups)
    }
}
