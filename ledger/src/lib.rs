//! The one record of each task, by the owner's key. No I/O and no clock of its own: what happened comes in as
//! calls, what must be done goes out as `Act`s, in order. The ledger says which launch is out, what a late
//! answer means, what a broken link proves, and that each asking gets exactly one final answer. Where a task
//! goes is the placing module's; the ledger tells it of outcomes and carries out its calls. Times are whole
//! microseconds; tasks and machines are the module's small indices.
#![allow(clippy::too_many_arguments)]
pub mod doubt;
mod record;

pub use doubt::{proof, Proof, Seen};
pub use record::{Copy, CopyState, Phase, Record};

use basaltpitch::host::AttemptOutcome;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;

/// How often a task may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    Repeatable,
    Keyed,
    OnceOnly,
}

/// A launch: the planner's epoch and a number that it uses once in that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Launch {
    pub epoch: u64,
    pub number: u64,
}

/// Why an asking ended without a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The placing module found nothing in time.
    NoRoom,
    /// A launch may have run, and a further one could do harm.
    MayHaveRun,
    /// A launch may still run: ask again after the time that it takes to make sure.
    MakingSure,
    /// A newer asking of the same task came.
    Superseded,
    /// The planner has no room for more open tasks.
    Crowded,
    /// Too little time is left for any launch to be answered.
    TooLate,
    /// Who asked may not; the caller's words say why.
    NotAllowed(&'static str),
    /// No machine that is known could ever meet the task's clauses.
    NoMachine,
    /// Its time would be over before its turn.
    NoSlack,
}

impl Reason {
    pub fn words(self) -> &'static str {
        match self {
            Reason::NoRoom => "no machine had room in time",
            Reason::MayHaveRun => "a launch may have run",
            Reason::MakingSure => "a launch may still run; ask again later",
            Reason::Superseded => "a newer asking of this task came",
            Reason::Crowded => "too many open tasks here",
            Reason::TooLate => "too little time is left",
            Reason::NotAllowed(words) => words,
            Reason::NoMachine => "no machine could ever meet its clauses",
            Reason::NoSlack => "its time would be over before its turn",
        }
    }
}

/// One asking of an owner's: which task, under which number, from whom, and what it asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Asking<K, J> {
    pub key: K,
    pub ask: u64,
    pub owner: u64,
    pub kind: Kind,
    pub job: J,
}

/// The final answer to an asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Placed {
        machine: usize,
    },
    /// Asking again does no harm, from then on.
    Declined {
        retry_after_us: i64,
        reason: Reason,
    },
    /// Nothing is promised.
    Aborted {
        reason: Reason,
    },
}

/// How a placed task went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Life {
    Ended,
    Lost,
    Evicted,
    Moved,
    Stopped,
}

/// How a machine says that a copy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    Done,
    Evicted,
    PushedOut,
    SentAway,
    Stopped,
}

/// What must be done, in order. The first five go to the placing module, the last two to whoever counts
/// copies, the rest to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act<K> {
    Wanted {
        task: usize,
        left_us: i64,
    },
    Found {
        task: usize,
        machine: usize,
    },
    Accepted {
        task: usize,
    },
    Resolved {
        task: usize,
        outcome: AttemptOutcome,
        why: i64,
        over: bool,
    },
    Expired {
        task: usize,
    },
    Launch {
        key: K,
        launch: Launch,
        machine: usize,
        time_out_us: i64,
    },
    Cancel {
        launch: Launch,
        machine: usize,
    },
    Stop {
        launch: Launch,
        machine: usize,
    },
    /// The ending was taken note of: the machine may forget it.
    Noted {
        launch: Launch,
        machine: usize,
    },
    Answer {
        key: K,
        ask: u64,
        owner: u64,
        answer: Answer,
    },
    Life {
        key: K,
        ask: u64,
        owner: u64,
        how: Life,
    },
    /// From now on a copy of the task counts on the machine: it may run there.
    Began {
        launch: Launch,
        machine: usize,
        key: K,
    },
    /// That copy counts no more.
    Over {
        launch: Launch,
    },
}

/// What a machine says it holds of this planner's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held<K, J> {
    pub launch: Launch,
    pub key: K,
    pub ask: u64,
    pub kind: Kind,
    pub accepted: bool,
    pub job: J,
}

/// What owners and the ledger may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promises {
    /// How long an unproven launch of a keyed or once-only task holds back a new asking.
    pub settle_us: i64,
    /// How long, and how many, answered records are kept, so that a repeat gets the same answer.
    pub keep_us: i64,
    pub keep: usize,
    /// Open tasks at one time; more are declined at once.
    pub most_open: usize,
    /// Taken off the owner's time limit: the answer's way back.
    pub travel_us: i64,
}

/// Ten minutes and a hundred thousand answers.
pub const PROMISES: Promises = Promises {
    settle_us: 3_000_000,
    keep_us: 600_000_000,
    keep: 100_000,
    most_open: 200_000,
    travel_us: 20_000,
};

/// A task index that the module knows, and whether a launch of it has no outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot<K> {
    key: K,
    awaits: bool,
    over: bool,
}

/// All records of one planner. `J` is what a task asks for; the ledger only keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger<K, J> {
    epoch: u64,
    next: u64,
    now: i64,
    promises: Promises,
    records: BTreeMap<K, Record<J>>,
    launches: BTreeMap<Launch, K>,
    on_machine: BTreeSet<(usize, Launch)>,
    slots: Vec<Option<Slot<K>>>,
    free: BTreeSet<usize>,
    /// Indices that the module needs no more once it has heard all acts so far.
    leaving: Vec<usize>,
    /// Records that were answered or are over, the oldest first.
    closed: VecDeque<(i64, K)>,
    open: usize,
}

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    pub fn new(epoch: u64, now: i64, promises: Promises) -> Self {
        Ledger {
            epoch,
            next: 0,
            now,
            promises,
            records: BTreeMap::new(),
            launches: BTreeMap::new(),
            on_machine: BTreeSet::new(),
            slots: Vec::new(),
            free: BTreeSet::new(),
            leaving: Vec::new(),
            closed: VecDeque::new(),
            open: 0,
        }
    }

    pub fn clock(&mut self, now: i64) {
        self.now = self.now.max(now);
    }

    // What an operator or the door asks.

    pub fn record(&self, key: &K) -> Option<&Record<J>> {
        self.records.get(key)
    }

    pub fn records(&self) -> impl Iterator<Item = (&K, &Record<J>)> {
        self.records.iter()
    }

    /// The key of a task that the module knows by this index.
    pub fn key_of(&self, task: usize) -> Option<&K> {
        self.slots.get(task)?.as_ref().map(|slot| &slot.key)
    }

    /// The record that a launch belongs to.
    pub fn key_of_launch(&self, launch: Launch) -> Option<&K> {
        self.launches.get(&launch)
    }

    /// The module's index for the copy with this launch, for notes about it.
    pub fn task_of_launch(&self, launch: Launch) -> Option<usize> {
        let record = self.records.get(self.launches.get(&launch)?)?;
        record.copy(launch).filter(|c| c.state == CopyState::Held).and_then(|c| c.task)
    }

    /// Open askings: waiting or with a launch out.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether no copy is known on a machine, so that its index may leave.
    pub fn is_free(&self, machine: usize) -> bool {
        self.on_machine
            .range((machine, Launch { epoch: 0, number: 0 })..)
            .next()
            .is_none_or(|x| x.0 != machine)
    }

    // Owners.

    /// An owner asks for a task. The same asking again joins the record it has; a new one of a task that runs
    /// is told where; one that could run a second time beside a launch in doubt is held off.
    pub fn submit(&mut self, asking: Asking<K, J>, left_us: i64, acts: &mut Vec<Act<K>>) {
        self.ask_for(asking, Ok(left_us), acts);
    }

    /// The same for an asking that is to be declined at the door, and the time after which to ask again. A
    /// repeat of an asking that is open or answered goes on, a task that runs is answered as placed, and what
    /// may have run is not declined.
    pub fn declined_at_door(&mut self, asking: Asking<K, J>, refusal: (Reason, i64), acts: &mut Vec<Act<K>>) {
        let (reason, retry_after_us) = refusal;
        let declined = Answer::Declined { retry_after_us, reason };
        self.ask_for(asking, Err(declined), acts);
    }

    fn ask_for(&mut self, asking: Asking<K, J>, left_us: Result<i64, Answer>, acts: &mut Vec<Act<K>>) {
        let Asking { key, ask, owner, kind, job } = asking;
        let at_door = left_us.err();
        let left_us = left_us.unwrap_or_default() - self.promises.travel_us;
        let say = |answer| Act::Answer { key: key.clone(), ask, owner, answer };
        if let Some(record) = self.records.get_mut(&key) {
            if ask < record.ask {
                return acts.push(say(Answer::Aborted { reason: Reason::Superseded }));
            }
            record.owner = owner;
            if ask == record.ask {
                // A repeat: what is open goes on, what was answered is answered alike.
                return acts.extend(record.answer.map(say));
            }
            if let (Phase::Placed, Some(copy)) = (record.phase, record.held()) {
                let answer = Answer::Placed { machine: copy.machine };
                (record.ask, record.answer) = (ask, Some(answer));
                return acts.push(say(answer));
            }
            if record.phase.is_open() {
                self.close_open(&key, Answer::Aborted { reason: Reason::Superseded }, acts);
            }
        }
        let refusal = self.held_off(&key, kind).or(at_door).or_else(|| {
            let crowded = self.open >= self.promises.most_open;
            let late = left_us <= 0;
            let reason = if crowded { Reason::Crowded } else { Reason::TooLate };
            let retry_after_us = if crowded { 1_000_000 } else { 0 };
            (crowded || late).then_some(Answer::Declined { retry_after_us, reason })
        });
        if let Some(answer) = refusal {
            if let Some(record) = self.records.get_mut(&key) {
                (record.ask, record.answer, record.phase) = (ask, Some(answer), Phase::Answered);
            }
            return acts.push(say(answer));
        }
        let task = self.enter(&key);
        let born_at = self.now;
        let record = self.records.entry(key).or_insert_with(|| Record::new(kind, job.clone(), born_at));
        record.reopen(kind, job, ask, owner, task, born_at);
        self.open += 1;
        acts.push(Act::Wanted { task, left_us });
    }

    /// Whether a new asking must wait or end because an earlier launch may run or have run.
    fn held_off(&self, key: &K, kind: Kind) -> Option<Answer> {
        let record = self.records.get(key)?;
        let wait = record.unsettled_until(self.promises.settle_us) - self.now;
        match kind {
            Kind::Repeatable => None,
            _ if wait > 0 => Some(Answer::Declined { retry_after_us: wait, reason: Reason::MakingSure }),
            Kind::OnceOnly if record.may_have_run() => Some(Answer::Aborted { reason: Reason::MayHaveRun }),
            _ => None,
        }
    }

    /// The owner gives this asking up, or wants its task no longer.
    pub fn withdraw(&mut self, key: &K, ask: u64, acts: &mut Vec<Act<K>>) {
        let now = self.now;
        let Some(record) = self.records.get_mut(key).filter(|r| r.ask == ask) else { return };
        match record.phase {
            Phase::Waiting | Phase::Out => self.drop_open(key, Phase::Over(Life::Stopped), acts),
            Phase::Placed => {
                record.close(Phase::Over(Life::Stopped), record.answer, now);
                self.closed.push_back((now, key.clone()));
                self.stop_held(key, acts);
            }
            _ => {}
        }
    }

    /// An owner's connection ended: nobody is told until it asks again.
    pub fn owner_left(&mut self, owner: u64) {
        self.records.values_mut().filter(|r| r.owner == owner).for_each(|r| r.owner = 0);
    }

    // The placing module's calls.

    /// The module launches a task. A task that ended in the same moment, of which the module has not heard
    /// yet, is not launched: it hears that instead.
    pub fn launched(&mut self, task: usize, machine: usize, time_out_us: i64, acts: &mut Vec<Act<K>>) {
        let slot = self.slots[task].as_mut().expect("the module launches tasks it was told of");
        let key = slot.key.clone();
        let record = self.records.get_mut(&key).expect("a slot has a record");
        if record.task != Some(task) || record.phase != Phase::Waiting {
            let outcome = AttemptOutcome::Moot;
            acts.push(Act::Resolved { task, outcome, why: 0, over: true });
            slot.over = true;
            return self.free_slot(task);
        }
        debug_assert!(record.copies.iter().all(|c| c.state != CopyState::Out), "one launch out at a time");
        slot.awaits = true;
        self.next += 1;
        let launch = Launch { epoch: self.epoch, number: self.next };
        record.phase = Phase::Out;
        record.launches += 1;
        record.copies.push(Copy {
            launch,
            machine,
            state: CopyState::Out,
            task: Some(task),
            since: self.now,
        });
        acts.push(Act::Began { launch, machine, key: key.clone() });
        self.launches.insert(launch, key.clone());
        self.on_machine.insert((machine, launch));
        acts.push(Act::Launch { key, launch, machine, time_out_us });
    }

    /// The module's final answer without a place.
    pub fn declined(&mut self, task: usize, retry_after_us: i64, acts: &mut Vec<Act<K>>) {
        let answer = Answer::Declined { retry_after_us, reason: Reason::NoRoom };
        self.answered(task, answer, acts);
    }

    pub fn aborted(&mut self, task: usize, acts: &mut Vec<Act<K>>) {
        self.answered(task, Answer::Aborted { reason: Reason::MayHaveRun }, acts);
    }

    fn answered(&mut self, task: usize, answer: Answer, acts: &mut Vec<Act<K>>) {
        let Some(key) = self.key_of(task).cloned() else { return };
        let now = self.now;
        if let Some(record) = self.records.get_mut(&key).filter(|r| r.task == Some(task) && r.phase.is_open())
        {
            record.close(Phase::Answered, Some(answer), now);
            acts.push(Act::Answer { key: key.clone(), ask: record.ask, owner: record.owner, answer });
            self.open -= 1;
            self.closed.push_back((now, key));
        }
        self.slot_over(task);
    }

    /// The module stops a placed task, so that its owner asks again.
    pub fn moved(&mut self, task: usize, acts: &mut Vec<Act<K>>) {
        let Some(key) = self.key_of(task).cloned() else { return };
        let now = self.now;
        let record = self.records.get_mut(&key).expect("a slot has a record");
        if record.phase == Phase::Placed && record.task == Some(task) {
            record.close(Phase::Over(Life::Moved), record.answer, now);
            acts.push(Act::Life { key: key.clone(), ask: record.ask, owner: record.owner, how: Life::Moved });
            self.closed.push_back((now, key.clone()));
            self.stop_held(&key, acts);
        }
    }

    // Machines.

    /// A machine accepted a launch. A late yes, after the launch was given up, is decided by the task's kind:
    /// a repeatable copy is stopped, any other has come to stay and is found.
    pub fn yes(&mut self, launch: Launch, acts: &mut Vec<Act<K>>) {
        let Some(key) = self.launches.get(&launch).cloned() else { return };
        let record = self.records.get_mut(&key).expect("a launch has a record");
        let (kind, phase) = (record.kind, record.phase);
        let copy = record.copy_mut(launch).expect("a known launch is a copy");
        match copy.state {
            CopyState::Held | CopyState::Stopping => {}
            CopyState::Out => {
                copy.state = CopyState::Held;
                let (task, machine) = (copy.task, copy.machine);
                self.placed(&key, machine, acts);
                acts.extend(task.map(|task| Act::Accepted { task }));
            }
            CopyState::Doubt if kind == Kind::Repeatable || phase == Phase::Placed => {
                copy.state = CopyState::Stopping;
                acts.push(Act::Stop { launch, machine: copy.machine });
            }
            CopyState::Doubt => self.adopt(&key, launch, acts),
        }
    }

    /// A copy that runs though nobody waited for it is the task's copy from now on: an open asking is
    /// answered with it, and a launch that is out for that asking is called back.
    fn adopt(&mut self, key: &K, launch: Launch, acts: &mut Vec<Act<K>>) {
        let record = &self.records[key];
        if record.phase.is_open() {
            let (ask, owner) = (record.ask, record.owner);
            let machine = record.copy(launch).expect("the copy is the record's").machine;
            self.drop_open(key, Phase::Placed, acts);
            let answer = Answer::Placed { machine };
            self.records.get_mut(key).expect("it was there").answer = Some(answer);
            acts.push(Act::Answer { key: key.clone(), ask, owner, answer });
        }
        let task = self.enter(key);
        self.slots[task].as_mut().expect("just entered").awaits = true;
        let record = self.records.get_mut(key).expect("it was there");
        record.phase = Phase::Placed;
        record.task = Some(task);
        let copy = record.copy_mut(launch).expect("the copy is the record's");
        (copy.state, copy.task) = (CopyState::Held, Some(task));
        acts.push(Act::Found { task, machine: copy.machine });
    }

    /// The asking's one launch is placed.
    fn placed(&mut self, key: &K, machine: usize, acts: &mut Vec<Act<K>>) {
        let record = self.records.get_mut(key).expect("a placed task has a record");
        let answer = Answer::Placed { machine };
        (record.phase, record.answer) = (Phase::Placed, Some(answer));
        acts.push(Act::Answer { key: key.clone(), ask: record.ask, owner: record.owner, answer });
        self.open -= 1;
    }

    /// A machine turned a launch off: it never ran and never will.
    pub fn refused(&mut self, launch: Launch, why: i64, acts: &mut Vec<Act<K>>) {
        self.gone(launch, Seen::Refused, AttemptOutcome::Full, why, acts);
    }

    /// A machine tried to start a launch and failed.
    pub fn failed(&mut self, launch: Launch, machine: usize, acts: &mut Vec<Act<K>>) {
        self.gone(launch, Seen::Failed, AttemptOutcome::Error, 0, acts);
        acts.push(Act::Noted { launch, machine });
    }

    /// A copy ended on its machine, which keeps saying so until it is noted.
    pub fn ended(&mut self, launch: Launch, machine: usize, how: Ending, acts: &mut Vec<Act<K>>) {
        if let Some(key) = self.launches.get(&launch).cloned() {
            if self.records[&key].copy(launch).is_some_and(|c| c.state == CopyState::Out) {
                // Its yes was lost with a link: the task was placed, and has ended since.
                self.yes(launch, acts);
            }
            let (outcome, why, life) = match how {
                Ending::Done => (AttemptOutcome::Ended, 0, Life::Ended),
                Ending::Stopped => (AttemptOutcome::Cancelled, 0, Life::Stopped),
                Ending::Evicted => (AttemptOutcome::Reset, 5, Life::Evicted),
                Ending::PushedOut => (AttemptOutcome::Reset, 6, Life::Evicted),
                Ending::SentAway => (AttemptOutcome::Reset, 7, Life::Lost),
            };
            self.life_over(&key, launch, life, acts);
            self.gone(launch, Seen::Ended, outcome, why, acts);
        }
        acts.push(Act::Noted { launch, machine });
    }

    /// The planner's patience with a launch is over.
    pub fn timed_out(&mut self, launch: Launch, acts: &mut Vec<Act<K>>) {
        let Some(copy) = self.copy(launch).filter(|c| c.state == CopyState::Out) else { return };
        acts.push(Act::Cancel { launch, machine: copy.machine });
        self.doubted(launch, AttemptOutcome::TimedOut, acts);
    }

    /// The link to a machine ended. `unsent` are launches of which no byte was handed over: they never ran.
    /// Any other may have run. A repeatable one is given up at once; for the others the machine's next
    /// inventory is waited for, as long as the launch's time lasts.
    pub fn link_cut(&mut self, machine: usize, unsent: &[u64], acts: &mut Vec<Act<K>>) {
        for launch in self.launches_on(machine) {
            let Some(copy) = self.copy(launch) else { continue };
            let ours = launch.epoch == self.epoch && unsent.contains(&launch.number);
            if ours && matches!(copy.state, CopyState::Out | CopyState::Doubt) {
                self.gone(launch, Seen::Unsent, AttemptOutcome::ConnectFailed, 0, acts);
            } else if copy.state == CopyState::Out && self.kind_of(launch) == Some(Kind::Repeatable) {
                self.doubted(launch, AttemptOutcome::Reset, acts);
            }
        }
    }

    /// One launch was not even handed to the link.
    pub fn unsent(&mut self, launch: Launch, acts: &mut Vec<Act<K>>) {
        self.gone(launch, Seen::Unsent, AttemptOutcome::ConnectFailed, 0, acts);
    }

    /// A machine is gone for good, or has started anew: what it held runs no more.
    pub fn machine_lost(&mut self, machine: usize, acts: &mut Vec<Act<K>>) {
        for launch in self.launches_on(machine) {
            if let Some(key) = self.launches.get(&launch).cloned() {
                self.life_over(&key, launch, Life::Lost, acts);
            }
            self.gone(launch, Seen::MachineLost, AttemptOutcome::Reset, 0, acts);
        }
    }

    /// All that a machine holds of this planner's, after it put older links out of use. What it does not
    /// hold has never run and never will, unless it was accepted once.
    pub fn inventory(&mut self, machine: usize, held: Vec<Held<K, J>>, acts: &mut Vec<Act<K>>) {
        let there: BTreeSet<Launch> = held.iter().map(|h| h.launch).collect();
        for launch in self.launches_on(machine).into_iter().filter(|l| !there.contains(l)) {
            let Some(copy) = self.copy(launch) else { continue };
            if copy.state == CopyState::Held {
                let key = self.launches[&launch].clone();
                self.life_over(&key, launch, Life::Lost, acts);
                self.gone(launch, Seen::MachineLost, AttemptOutcome::Reset, 0, acts);
            } else {
                self.gone(launch, Seen::Absent, AttemptOutcome::ConnectFailed, 0, acts);
            }
        }
        for h in held {
            self.met(machine, h, acts);
        }
    }

    /// One entry of an inventory.
    fn met(&mut self, machine: usize, held: Held<K, J>, acts: &mut Vec<Act<K>>) {
        if !self.launches.contains_key(&held.launch) {
            // A launch of an earlier life of this planner, or of a record that has left.
            let (now, launch) = (self.now, held.launch);
            let key = held.key.clone();
            let known = self.records.contains_key(&key);
            let record =
                self.records.entry(key.clone()).or_insert_with(|| Record::new(held.kind, held.job, now));
            if !known {
                (record.ask, record.phase) = (held.ask, Phase::Answered);
                self.closed.push_back((now, key.clone()));
            }
            record.copies.push(Copy { launch, machine, state: CopyState::Doubt, task: None, since: now });
            acts.push(Act::Began { launch, machine, key: key.clone() });
            self.launches.insert(launch, key.clone());
            self.on_machine.insert((machine, launch));
            let record = &self.records[&key];
            if held.accepted && record.phase != Phase::Placed && record.launches == 0 {
                // Nobody of this life has launched it: of whatever kind, it is the task's copy.
                return self.adopt(&key, launch, acts);
            }
        }
        if held.accepted {
            self.yes(held.launch, acts);
            if self.copy(held.launch).is_some_and(|c| c.state == CopyState::Stopping) {
                acts.push(Act::Stop { launch: held.launch, machine });
            }
        }
    }

    // Parts of the above.

    fn copy(&self, launch: Launch) -> Option<&Copy> {
        self.records.get(self.launches.get(&launch)?)?.copy(launch)
    }

    fn kind_of(&self, launch: Launch) -> Option<Kind> {
        Some(self.records.get(self.launches.get(&launch)?)?.kind)
    }

    fn launches_on(&self, machine: usize) -> Vec<Launch> {
        let from = (machine, Launch { epoch: 0, number: 0 });
        self.on_machine.range(from..).take_while(|x| x.0 == machine).map(|x| x.1).collect()
    }

    /// A launch that is out is given up, though it may run.
    fn doubted(&mut self, launch: Launch, outcome: AttemptOutcome, acts: &mut Vec<Act<K>>) {
        let now = self.now;
        let Some(key) = self.launches.get(&launch).cloned() else { return };
        let record = self.records.get_mut(&key).expect("a launch has a record");
        let copy = record.copy_mut(launch).expect("a known launch is a copy");
        let task = copy.task.take();
        (copy.state, copy.since) = (CopyState::Doubt, now);
        record.back_to_waiting();
        self.resolve(task, outcome, 0, false, acts);
    }

    /// A copy is no more. What that proves is in `doubt`.
    fn gone(
        &mut self,
        launch: Launch,
        seen: Seen,
        outcome: AttemptOutcome,
        why: i64,
        acts: &mut Vec<Act<K>>,
    ) {
        let Some(key) = self.launches.remove(&launch) else { return };
        acts.push(Act::Over { launch });
        let now = self.now;
        let record = self.records.get_mut(&key).expect("a launch has a record");
        let at = record.copies.iter().position(|c| c.launch == launch).expect("a known launch is a copy");
        let copy = record.copies.remove(at);
        self.on_machine.remove(&(copy.machine, launch));
        let unanswered = matches!(copy.state, CopyState::Out | CopyState::Doubt);
        if unanswered && proof(seen) == Proof::MayHaveRun {
            record.ran_at = Some(now);
        }
        if copy.state == CopyState::Out {
            record.back_to_waiting();
        }
        let over = matches!(copy.state, CopyState::Held | CopyState::Stopping);
        self.resolve(copy.task, outcome, why, over, acts);
    }

    /// The placed copy of a record ends: the owner is told how, once.
    fn life_over(&mut self, key: &K, launch: Launch, how: Life, acts: &mut Vec<Act<K>>) {
        let now = self.now;
        let record = self.records.get_mut(key).expect("a launch has a record");
        let held = record.copy(launch).is_some_and(|c| c.state == CopyState::Held);
        if held && record.phase == Phase::Placed {
            record.close(Phase::Over(how), record.answer, now);
            if how == Life::Lost {
                record.lost_at = Some(now);
            }
            acts.push(Act::Life { key: key.clone(), ask: record.ask, owner: record.owner, how });
            self.closed.push_back((now, key.clone()));
        }
    }

    fn stop_held(&mut self, key: &K, acts: &mut Vec<Act<K>>) {
        let record = self.records.get_mut(key).expect("a placed task has a record");
        for copy in record.copies.iter_mut().filter(|c| c.state == CopyState::Held) {
            copy.state = CopyState::Stopping;
            acts.push(Act::Stop { launch: copy.launch, machine: copy.machine });
        }
    }

    /// An open asking ends with an answer that is not the module's.
    fn close_open(&mut self, key: &K, answer: Answer, acts: &mut Vec<Act<K>>) {
        let record = &self.records[key];
        acts.push(Act::Answer { key: key.clone(), ask: record.ask, owner: record.owner, answer });
        self.drop_open(key, Phase::Answered, acts);
        self.records.get_mut(key).expect("it was there").answer = Some(answer);
    }

    /// An open asking ends without a word; the module is told, and a launch that is out is called back.
    fn drop_open(&mut self, key: &K, phase: Phase, acts: &mut Vec<Act<K>>) {
        let now = self.now;
        let record = self.records.get_mut(key).expect("an open asking has a record");
        let task = record.task;
        record.close(phase, None, now);
        self.open -= 1;
        self.closed.push_back((now, key.clone()));
        acts.extend(task.map(|task| Act::Expired { task }));
        let mut awaited = None;
        for copy in record.copies.iter_mut().filter(|c| c.state == CopyState::Out) {
            (copy.state, copy.since) = (CopyState::Doubt, now);
            awaited = copy.task.take();
            acts.push(Act::Cancel { launch: copy.launch, machine: copy.machine });
        }
        self.resolve(awaited, AttemptOutcome::Cancelled, 0, true, acts);
        if let Some(task) = task {
            self.slot_over(task);
        }
    }

    fn resolve(
        &mut self,
        task: Option<usize>,
        outcome: AttemptOutcome,
        why: i64,
        over: bool,
        acts: &mut Vec<Act<K>>,
    ) {
        let Some(task) = task else { return };
        acts.push(Act::Resolved { task, outcome, why, over });
        if let Some(slot) = self.slots[task].as_mut() {
            slot.awaits = false;
            slot.over |= over;
        }
        self.free_slot(task);
    }

    fn enter(&mut self, key: &K) -> usize {
        let task = self.free.pop_first().unwrap_or(self.slots.len());
        if task == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[task] = Some(Slot { key: key.clone(), awaits: false, over: false });
        task
    }

    fn slot_over(&mut self, task: usize) {
        if let Some(slot) = self.slots[task].as_mut() {
            slot.over = true;
        }
        self.free_slot(task);
    }

    /// The module needs an index no more once the task is over for it and no launch of it lacks an outcome.
    fn free_slot(&mut self, task: usize) {
        if self.slots[task].as_ref().is_some_and(|s| s.over && !s.awaits) {
            self.leaving.push(task);
        }
    }

    /// To be called when the module has heard every act so far: indices that it needs no more leave, and are
    /// named. Until then a call of the module for one of them still finds it, so that it can be turned off.
    pub fn settled(&mut self) -> Vec<usize> {
        let mut left = std::mem::take(&mut self.leaving);
        left.retain(|&task| self.slots[task].as_ref().is_some_and(|s| s.over && !s.awaits));
        left.sort_unstable();
        left.dedup();
        for &task in &left {
            self.slots[task] = None;
            self.free.insert(task);
        }
        left
    }

    /// What each task asks for, to be changed where it does not matter to the ledger.
    pub fn jobs_mut(&mut self) -> impl Iterator<Item = (&K, &mut J)> {
        self.records.iter_mut().map(|(key, r)| (key, &mut r.job))
    }

    /// Forgets answered records by age and by count. A record with a copy anywhere stays. Returns how many
    /// left.
    pub fn forget(&mut self) -> usize {
        let mut left = 0;
        for _ in 0..self.closed.len() {
            let Some((at, _)) = self.closed.front() else { break };
            let old = *at + self.promises.keep_us <= self.now;
            if !old && self.closed.len() <= self.promises.keep {
                break;
            }
            let (at, key) = self.closed.pop_front().expect("it has a front");
            let now = self.now;
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.closed_at != at || record.phase.is_open() || record.phase == Phase::Placed {
                continue;
            }
            if record.copies.is_empty() {
                self.records.remove(&key);
                left += 1;
            } else {
                // Still in doubt: looked at again later.
                record.closed_at = now;
                self.closed.push_back((now, key));
            }
        }
        left
    }
}
