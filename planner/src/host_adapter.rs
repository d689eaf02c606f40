//! The placing module's hands: each of its calls goes into the ledger or becomes a wish of the planner's.
use crate::placement_constraints::PlacementConstraints;
use basaltpitch::host::Host;
use basaltpitch_constraints::TaskAttributes;
use basaltpitch_ledger::{AttemptId, Ledger, LedgerAction};
use basaltpitch_timers::Wheel;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::rc::Rc;

pub type TaskKey = Rc<str>;

/// What a task asks for, as the planner keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskJob {
    pub framework: usize,
    pub tenant: Option<usize>,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
    pub runs_for_us: i64,
    /// How old what was known of tenants was when it was asked for; see `Answer.stale_us`.
    pub stale_us: i64,
    /// What clauses see of it, where the installation has clauses.
    pub facts: Option<Rc<TaskAttributes>>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// The module's, with its token.
    Placement(u64),
    /// The patience with a launch is over.
    AttemptTimeout(AttemptId),
    Probe(u64),
    /// The planner's own round: records and ids that leave.
    Housekeeping,
    /// The admission threshold is recomputed.
    AdmissionThreshold,
    /// The planner's part of the fleet changes with time.
    Subset,
}

/// Calls of the module that are not about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequest {
    Probe(usize),
    Watch(bool),
    Fetch,
}

pub struct HostAdapter {
    pub now: i64,
    pub ledger: Ledger<TaskKey, TaskJob>,
    pub actions: VecDeque<LedgerAction<TaskKey>>,
    pub requests: VecDeque<HostRequest>,
    pub timers: Wheel<TimerKind>,
    /// The module's calls as text, where they are recorded.
    pub transcript: Option<CallTranscript>,
    /// The installation's clauses, where it has any.
    pub constraints: Option<PlacementConstraints>,
    /// What the module asked of clauses, where its calls are recorded; see `recording`.
    answers: RefCell<ConstraintAnswers>,
    buffer: Vec<LedgerAction<TaskKey>>,
}

/// Answers to the module's questions about clauses, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConstraintAnswers {
    pub allows: VecDeque<bool>,
    pub preferences: VecDeque<u64>,
    pub groups: VecDeque<usize>,
}

impl ConstraintAnswers {
    pub fn is_empty(&self) -> bool {
        self.allows.is_empty() && self.preferences.is_empty() && self.groups.is_empty()
    }
}

impl HostAdapter {
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

    /// Asks the ledger for something and keeps the acts that come of it, in order.
    pub fn on_ledger<R>(
        &mut self,
        ask: impl FnOnce(&mut Ledger<TaskKey, TaskJob>, &mut Vec<LedgerAction<TaskKey>>) -> R,
    ) -> R {
        self.ledger.set_clock(self.now);
        let answer = ask(&mut self.ledger, &mut self.buffer);
        for act in self.buffer.drain(..) {
            match (act, &mut self.constraints) {
                // Counted at once: the module may send the next task before this one's act is carried out.
                (LedgerAction::AttemptStarted { attempt: launch, machine, key }, Some(bounds)) => {
                    let facts = self.ledger.record(&key).and_then(|r| r.job.facts.clone());
                    facts.into_iter().for_each(|facts| bounds.attempt_started(launch, machine, &facts));
                }
                (LedgerAction::AttemptEnded { attempt: launch }, Some(bounds)) => {
                    bounds.attempt_ended(launch)
                }
                (LedgerAction::AttemptStarted { .. } | LedgerAction::AttemptEnded { .. }, None) => {}
                (act, _) => self.actions.push_back(act),
            }
        }
        answer
    }

    /// What the module asked of clauses since this was last taken.
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
        self.call(|words| words.launch(task, machine, timeout_us));
        self.on_ledger(|ledger, acts| ledger.launch(task, machine, timeout_us, acts));
    }
    /// The ledger called the launch back already, when it told the module that the task is over.
    fn cancel(&mut self, task: usize, launch: u32) {
        self.call(|words| words.cancel(task, launch));
    }
    fn reject(&mut self, task: usize, retry_after_us: i64) {
        self.call(|words| words.reject(task, retry_after_us));
        self.on_ledger(|ledger, acts| ledger.decline(task, retry_after_us, acts));
    }
    fn abort(&mut self, task: usize) {
        self.call(|words| words.abort(task));
        self.on_ledger(|ledger, acts| ledger.abort(task, acts));
    }
    fn evict(&mut self, task: usize) {
        self.call(|words| words.evict(task));
        self.on_ledger(|ledger, acts| ledger.move_away(task, acts));
    }
    fn probe(&mut self, machine: usize) {
        self.call(|words| words.probe(machine));
        self.requests.push_back(HostRequest::Probe(machine));
    }
    fn watch_list(&mut self, on: bool) {
        self.call(|words| words.watch_list(on));
        self.requests.push_back(HostRequest::Watch(on));
    }
    fn fetch_list(&mut self) {
        self.call(|words| words.fetch_list());
        self.requests.push_back(HostRequest::Fetch);
    }
    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.call(|words| words.set_timer(after_us, token));
        self.timers.set(self.now + after_us, TimerKind::Placement(token));
    }
    fn log(&mut self, text: &str) {
        self.call(|words| words.log(text));
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
