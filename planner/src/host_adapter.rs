//! The placement module's `Host`: each of the module's calls either goes to the ledger or is queued
//! as a request that the planner carries out after the call. Times are microseconds.
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

/// A task as its client submitted it; the ledger keeps it with the task's record.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskJob {
    /// The framework, as an index of the placement module.
    pub framework: usize,
    /// The tenant, as an index of the placement module; `None` if the task has no known tenant.
    pub tenant: Option<usize>,
    /// The number that clients use for the task's service.
    pub service: u64,
    /// Cores that the task needs.
    pub cores: f64,
    /// Memory that the task needs, in the unit of the settings.
    pub memory: f64,
    /// The expected run time, in microseconds.
    pub runs_for_us: i64,
    /// The age of the tenant data when the request was authorized, in microseconds: 0 is fresh, -1
    /// means that no tenant data was known. Sent to the client as `Answer.stale_us`.
    pub stale_us: i64,
    /// The attributes that constraints match; `None` if the installation has no constraints.
    pub attributes: Option<Rc<TaskAttributes>>,
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// A timer set by the placement module, with the module's token.
    Placement(u64),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// The timeout of a probe, with the probe's number.
    Probe(u64),
    /// Periodic removal of expired task records and unused indices.
    Housekeeping,
    /// Periodic computation of the admission threshold.
    AdmissionThreshold,
    /// Periodic update of the planner's subset of the fleet.
    Subset,
}

/// A call of the placement module that does not concern a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequest {
    /// Send a probe to the machine with this index.
    Probe(usize),
    /// Subscribe to changes of the registry's machine list, or unsubscribe.
    Watch(bool),
    /// Request the registry's machine list once.
    Fetch,
}

/// The host of the placement module: its ledger, timers and pending actions.
pub struct HostAdapter {
    /// The current time, in microseconds, which applies to all calls of the module.
    pub now: i64,
    /// The record of each task.
    pub ledger: Ledger<TaskKey, TaskJob>,
    /// Actions of the ledger that the planner still has to carry out, in order.
    pub actions: VecDeque<LedgerAction<TaskKey>>,
    /// Calls that do not concern a task and that the planner still has to carry out, in order.
    pub requests: VecDeque<HostRequest>,
    /// All timers of the planner.
    pub timers: Wheel<TimerKind>,
    /// The module's calls as text; `None` unless the planner writes a recording.
    pub transcript: Option<CallTranscript>,
    /// The installation's constraints; `None` if there are none.
    pub constraints: Option<PlacementConstraints>,
    /// The constraints' answers to the module that are not yet in the recording; see `recording`.
    answers: RefCell<ConstraintAnswers>,
    /// Receives the actions of one ledger call; kept to reuse its allocation.
    buffer: Vec<LedgerAction<TaskKey>>,
}

/// The constraints' answers to the placement module, in the order of the module's queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConstraintAnswers {
    /// Results of `Host::allows`: whether a task may run on a machine.
    pub allows: VecDeque<bool>,
    /// Results of `Host::preference_score`: how well a machine meets a task's preferences.
    pub preferences: VecDeque<u64>,
    /// Results of `Host::constraint_group`: the group of tasks to which the same constraints apply.
    pub groups: VecDeque<usize>,
}

impl ConstraintAnswers {
    /// Returns whether there is no answer, because the module made no query about constraints.
    pub fn is_empty(&self) -> bool {
        self.allows.is_empty() && self.preferences.is_empty() && self.groups.is_empty()
    }
}

impl HostAdapter {
    /// Creates a host without constraints. `records` says whether the module's calls are recorded.
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

    /// Calls the ledger and queues the actions that the call returns, in order.
    pub fn on_ledger<R>(
        &mut self,
        ledger_call: impl FnOnce(&mut Ledger<TaskKey, TaskJob>, &mut Vec<LedgerAction<TaskKey>>) -> R,
    ) -> R {
        self.ledger.set_clock(self.now);
        let result = ledger_call(&mut self.ledger, &mut self.buffer);
        for action in self.buffer.drain(..) {
            match (action, &mut self.constraints) {
                // Constraints count the attempt immediately: the module may place the next task
                // before this action is carried out.
                (LedgerAction::AttemptStarted { attempt, machine, key }, Some(constraints)) => {
                    let attributes =
                        self.ledger.record(&key).and_then(|record| record.job.attributes.clone());
                    attributes
                        .into_iter()
                        .for_each(|attributes| constraints.attempt_started(attempt, machine, &attributes));
                }
                (LedgerAction::AttemptEnded { attempt }, Some(constraints)) => {
                    constraints.attempt_ended(attempt)
                }
                (LedgerAction::AttemptStarted { .. } | LedgerAction::AttemptEnded { .. }, None) => {}
                (action, _) => self.actions.push_back(action),
            }
        }
        result
    }

    /// Removes and returns the constraints' answers to the module since the last call.
    pub fn take_answers(&mut self) -> ConstraintAnswers {
        self.answers.take()
    }

    /// Stores an answer of the constraints if the planner writes a recording, and returns the
    /// answer.
    fn record_answer<T: Copy>(
        &self,
        answer: T,
        queue: impl FnOnce(&mut ConstraintAnswers) -> &mut VecDeque<T>,
    ) -> T {
        if self.transcript.is_some() && self.constraints.is_some() {
            queue(&mut self.answers.borrow_mut()).push_back(answer);
        }
        answer
    }

    /// Writes a call of the module to the transcript, if there is one.
    fn record_call(&mut self, write: impl FnOnce(&mut CallTranscript)) {
        if let Some(transcript) = &mut self.transcript {
            write(transcript);
        }
    }
}

/// Writes each call of the placement module as one line of text, in the format of a recording.
#[derive(Default)]
pub struct CallTranscript {
    /// The calls, each terminated by a newline.
    pub text: String,
    /// The recorded answers of constraints; a replay returns them to the module.
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
        self.record_call(|transcript| transcript.launch(task, machine, timeout_us));
        self.on_ledger(|ledger, actions| ledger.launch(task, machine, timeout_us, actions));
    }
    /// Only records the call: the ledger already cancelled the attempt when it reported to the
    /// module that the task is over.
    fn cancel(&mut self, task: usize, launch: u32) {
        self.record_call(|transcript| transcript.cancel(task, launch));
    }
    fn reject(&mut self, task: usize, retry_after_us: i64) {
        self.record_call(|transcript| transcript.reject(task, retry_after_us));
        self.on_ledger(|ledger, actions| ledger.decline(task, retry_after_us, actions));
    }
    fn abort(&mut self, task: usize) {
        self.record_call(|transcript| transcript.abort(task));
        self.on_ledger(|ledger, actions| ledger.abort(task, actions));
    }
    fn evict(&mut self, task: usize) {
        self.record_call(|transcript| transcript.evict(task));
        self.on_ledger(|ledger, actions| ledger.move_away(task, actions));
    }
    fn probe(&mut self, machine: usize) {
        self.record_call(|transcript| transcript.probe(machine));
        self.requests.push_back(HostRequest::Probe(machine));
    }
    fn watch_list(&mut self, on: bool) {
        self.record_call(|transcript| transcript.watch_list(on));
        self.requests.push_back(HostRequest::Watch(on));
    }
    fn fetch_list(&mut self) {
        self.record_call(|transcript| transcript.fetch_list());
        self.requests.push_back(HostRequest::Fetch);
    }
    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.record_call(|transcript| transcript.set_timer(after_us, token));
        self.timers.set(self.now + after_us, TimerKind::Placement(token));
    }
    fn log(&mut self, text: &str) {
        self.record_call(|transcript| transcript.log(text));
        tracing::info!(text, "message from the placement module");
    }
    fn allows(&self, task: usize, machine: usize) -> bool {
        let Some(constraints) = &self.constraints else { return true };
        let allowed = constraints.group(task).is_none_or(|group| constraints.state.allows(group, machine));
        self.record_answer(allowed, |answers| &mut answers.allows)
    }
    fn preference_score(&self, task: usize, machine: usize) -> u64 {
        let Some(constraints) = &self.constraints else { return 0 };
        let score =
            constraints.group(task).map_or(0, |group| constraints.state.preference_score(group, machine));
        self.record_answer(score, |answers| &mut answers.preferences)
    }
    fn constraint_group(&self, task: usize) -> usize {
        let Some(constraints) = &self.constraints else { return 0 };
        let group = constraints.group(task).unwrap_or(0);
        self.record_answer(group, |answers| &mut answers.groups)
    }
}
