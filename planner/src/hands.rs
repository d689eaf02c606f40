//! The placing module's hands: each of its calls goes into the ledger or becomes a wish of the planner's.
use basaltpitch::host::Host;
use basaltpitch_ledger::{Act, Launch, Ledger};
use basaltpitch_timers::Wheel;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::rc::Rc;

pub type Key = Rc<str>;

/// What a task asks for, as the planner keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub framework: usize,
    pub tenant: Option<usize>,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
    pub runs_for_us: i64,
    /// How old what was known of tenants was when it was asked for; see `Answer.stale_us`.
    pub stale_us: i64,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The module's, with its token.
    Module(u64),
    /// The patience with a launch is over.
    Launch(Launch),
    Probe(u64),
    /// The planner's own round: records and ids that leave.
    Round,
}

/// Calls of the module that are not about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Probe(usize),
    Watch(bool),
    Fetch,
}

pub struct Hands {
    pub now: i64,
    pub ledger: Ledger<Key, Job>,
    pub acts: VecDeque<Act<Key>>,
    pub wishes: VecDeque<Wish>,
    pub timers: Wheel<Due>,
    /// The module's calls as text, where they are recorded.
    pub calls: Option<Words>,
    buffer: Vec<Act<Key>>,
}

impl Hands {
    pub fn new(now: i64, ledger: Ledger<Key, Job>, records: bool) -> Self {
        Hands {
            now,
            ledger,
            acts: VecDeque::new(),
            wishes: VecDeque::new(),
            timers: Wheel::new(now),
            calls: records.then(Words::default),
            buffer: Vec::new(),
        }
    }

    /// Asks the ledger for something and keeps the acts that come of it, in order.
    pub fn on_ledger<R>(&mut self, ask: impl FnOnce(&mut Ledger<Key, Job>, &mut Vec<Act<Key>>) -> R) -> R {
        self.ledger.clock(self.now);
        let answer = ask(&mut self.ledger, &mut self.buffer);
        self.acts.extend(self.buffer.drain(..));
        answer
    }

    fn call(&mut self, write: impl FnOnce(&mut Words)) {
        if let Some(calls) = &mut self.calls {
            write(calls);
        }
    }
}

/// How each call of the module is written in a recording, a line each.
#[derive(Default)]
pub struct Words(pub String);

impl Host for Words {
    fn launch(&mut self, task: usize, machine: usize, time_out_us: i64) {
        let _ = writeln!(self.0, "> launch {task} on {machine} for {time_out_us}");
    }
    fn cancel(&mut self, task: usize, launch: u32) {
        let _ = writeln!(self.0, "> cancel {task} launch {launch}");
    }
    fn decline(&mut self, task: usize, retry_after_us: i64) {
        let _ = writeln!(self.0, "> decline {task} after {retry_after_us}");
    }
    fn abort(&mut self, task: usize) {
        let _ = writeln!(self.0, "> abort {task}");
    }
    fn move_task(&mut self, task: usize) {
        let _ = writeln!(self.0, "> move {task}");
    }
    fn probe(&mut self, machine: usize) {
        let _ = writeln!(self.0, "> probe {machine}");
    }
    fn watch(&mut self, on: bool) {
        let _ = writeln!(self.0, "> watch {on}");
    }
    fn fetch(&mut self) {
        let _ = writeln!(self.0, "> fetch");
    }
    fn timer(&mut self, after_us: i64, token: u64) {
        let _ = writeln!(self.0, "> timer {token} after {after_us}");
    }
    fn log(&mut self, text: &str) {
        let _ = writeln!(self.0, "> log {text:?}");
    }
}

impl Host for Hands {
    fn launch(&mut self, task: usize, machine: usize, time_out_us: i64) {
        self.call(|words| words.launch(task, machine, time_out_us));
        self.on_ledger(|ledger, acts| ledger.launched(task, machine, time_out_us, acts));
    }
    /// The ledger called the launch back already, when it told the module that the task is over.
    fn cancel(&mut self, task: usize, launch: u32) {
        self.call(|words| words.cancel(task, launch));
    }
    fn decline(&mut self, task: usize, retry_after_us: i64) {
        self.call(|words| words.decline(task, retry_after_us));
        self.on_ledger(|ledger, acts| ledger.declined(task, retry_after_us, acts));
    }
    fn abort(&mut self, task: usize) {
        self.call(|words| words.abort(task));
        self.on_ledger(|ledger, acts| ledger.aborted(task, acts));
    }
    fn move_task(&mut self, task: usize) {
        self.call(|words| words.move_task(task));
        self.on_ledger(|ledger, acts| ledger.moved(task, acts));
    }
    fn probe(&mut self, machine: usize) {
        self.call(|words| words.probe(machine));
        self.wishes.push_back(Wish::Probe(machine));
    }
    fn watch(&mut self, on: bool) {
        self.call(|words| words.watch(on));
        self.wishes.push_back(Wish::Watch(on));
    }
    fn fetch(&mut self) {
        self.call(|words| words.fetch());
        self.wishes.push_back(Wish::Fetch);
    }
    fn timer(&mut self, after_us: i64, token: u64) {
        self.call(|words| words.timer(after_us, token));
        self.timers.set(self.now + after_us, Due::Module(token));
    }
    fn log(&mut self, text: &str) {
        self.call(|words| words.log(text));
        tracing::info!(text, "the placing module");
    }
}
