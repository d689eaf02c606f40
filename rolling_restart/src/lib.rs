//! A roll: the machines of a zone restart, a few at a time. One planner conducts it; how far it is stands in
//! the council's record, so that a successor goes on from there. No I/O, no clock of its own: times are whole
//! microseconds of the caller's clock.
//!
//! Why no more than so many are drained at once, whoever died when: a machine is told to drain only once a
//! majority keeps that it is under way, and counts until a majority keeps that its drain was taken back. A
//! successor writes what it found under its own token before it acts on it. Why none is drained twice: a
//! drain names the machine's start that it is for, so it is nothing to a machine that has started since; and
//! it carries the conductor's token and a number that rises, so that what was under way before a newer word
//! is refused.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What operators want.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Rises from roll to roll.
    pub id: u64,
    pub zone: String,
    pub at_once: usize,
    /// A machine is given so long to become empty, and then so long to restart, in microseconds.
    pub empty_us: i64,
    pub restart_us: i64,
    /// No further machine is drained.
    #[serde(default)]
    pub paused: bool,
    /// It ends: what is under way is let go.
    #[serde(default)]
    pub stopped: bool,
}

/// How a machine's turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    Restarted,
    /// It did not restart in its time.
    NotRestarted,
    /// It was gone, or held back by others, when all else was done.
    Absent,
    /// The roll was ended before its turn was over.
    Stopped,
}

/// Where a machine's turn stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    Waits,
    /// Told to take nothing new, and not empty yet.
    Drains,
    /// Empty, or its time for that is up: its restart is waited for.
    Restarts,
    /// Its drain is taken back.
    Released(How),
    Done(How),
}

impl Stage {
    /// Whether it may stand drained by the roll.
    pub fn is_under_way(self) -> bool {
        matches!(self, Stage::Drains | Stage::Restarts | Stage::Released(_))
    }
}

/// What stands in the record: each machine's start at which it joined the roll, and its stage.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress<M: Ord> {
    pub plan: Plan,
    pub machines: BTreeMap<M, (i64, Stage)>,
}

impl<M: Ord> Progress<M> {
    pub fn is_over(&self) -> bool {
        self.machines.values().all(|m| matches!(m.1, Stage::Done(_)))
    }

    fn under_way(&self) -> usize {
        self.machines.values().filter(|m| m.1.is_under_way()).count()
    }
}

/// A machine as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Listed {
    /// The machine's clock time at which it last started.
    pub started: i64,
    pub drains: bool,
    pub gone: bool,
    /// Nothing stands on it.
    pub empty: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call<M: Ord> {
    /// Have this kept by a majority, then call `recorded`.
    Write(Progress<M>),
    /// Tell a machine that it takes nothing new, if it is of this start; or that it does again, whatever its
    /// start. The number rises from word to word of a conductor.
    Drain { machine: M, started: i64, on: bool, number: u64 },
}

/// The patience of a conductor that no plan names, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A machine counts as empty once the list has it so, drained, for so long: launches that were on their
    /// way.
    pub quiet: i64,
    /// What the list does not show yet is said again after this time.
    pub again: i64,
}

/// One conductor, from when it won the duty until it lost it.
#[derive(Clone, Debug)]
pub struct Conductor<M: Ord> {
    pace: Pace,
    wish: Option<Plan>,
    /// What a majority keeps under this conductor's token.
    recorded: Option<Progress<M>>,
    /// What is being written.
    out: Option<Progress<M>>,
    /// Machines of each zone, as the list has them, and whether it was heard whole.
    fleet: BTreeMap<M, (String, Listed)>,
    heard: bool,
    /// When each machine came to its stage, as far as this conductor knows: a successor counts anew.
    since: BTreeMap<M, (Stage, i64)>,
    /// Since when each machine has been drained and empty.
    quiet: BTreeMap<M, i64>,
    /// What was last said to each machine, and when.
    told: BTreeMap<M, (bool, i64)>,
    number: u64,
    /// Since when nothing could be begun though machines wait.
    stuck: Option<i64>,
    calls: VecDeque<Call<M>>,
}

impl<M: Ord + Clone> Conductor<M> {
    /// The duty is won, with what the last conductor left.
    pub fn won(now: i64, pace: Pace, left: Option<Progress<M>>) -> Self {
        let mut c = Conductor {
            pace,
            wish: None,
            recorded: None,
            out: None,
            fleet: BTreeMap::new(),
            heard: false,
            since: BTreeMap::new(),
            quiet: BTreeMap::new(),
            told: BTreeMap::new(),
            number: 0,
            stuck: None,
            calls: VecDeque::new(),
        };
        // It may be with a minority only: it must not be acted on before a majority keeps it.
        if let Some(left) = left {
            c.write(left);
        }
        c.clock(now);
        c
    }

    pub fn next_call(&mut self) -> Option<Call<M>> {
        self.calls.pop_front()
    }

    /// What is known of the roll under way, or the last one.
    pub fn progress(&self) -> Option<&Progress<M>> {
        self.out.as_ref().or(self.recorded.as_ref())
    }

    fn write(&mut self, next: Progress<M>) {
        self.out = Some(next.clone());
        self.calls.push_back(Call::Write(next));
    }

    /// A majority keeps what was last to be written.
    pub fn recorded(&mut self, now: i64) {
        if let Some(out) = self.out.take() {
            self.recorded = Some(out);
        }
        self.clock(now);
    }

    /// What operators want, as a majority keeps it.
    pub fn wished(&mut self, now: i64, plan: Plan) {
        if self.wish.as_ref() != Some(&plan) {
            self.wish = Some(plan);
            self.clock(now);
        }
    }

    /// A machine of a zone, as the list has it now.
    pub fn listed(&mut self, now: i64, machine: M, zone: &str, is: Listed) {
        let quiet = is.drains && is.empty && !is.gone;
        if quiet {
            self.quiet.entry(machine.clone()).or_insert(now);
        } else {
            self.quiet.remove(&machine);
        }
        self.fleet.insert(machine, (zone.to_owned(), is));
    }

    /// A list came in whole: machines that are not in it are gone.
    pub fn list_was_whole(&mut self, there: impl Fn(&M) -> bool) {
        self.heard = true;
        self.fleet.retain(|m, _| there(m));
        self.quiet.retain(|m, _| there(m));
    }

    /// The list is not heard any more. What was said may not have come through: it is said again once it is.
    pub fn unheard(&mut self) {
        self.heard = false;
        self.told.clear();
    }

    /// Time passes, or something was heard: what is recorded is acted on, and what comes next is written.
    pub fn clock(&mut self, now: i64) {
        if !self.heard {
            return;
        }
        self.act(now);
        if self.out.is_some() {
            return;
        }
        let next = match &self.recorded {
            Some(r) if !r.is_over() => Some(self.moved_on(now, r.clone())),
            r => self.begun(r.as_ref().map_or(0, |r| r.plan.id)),
        };
        if let Some(next) = next.filter(|n| Some(n) != self.recorded.as_ref()) {
            self.write(next);
        }
    }

    /// A roll that is wanted and newer than the last.
    fn begun(&self, last: u64) -> Option<Progress<M>> {
        let plan = self.wish.clone().filter(|w| w.id > last && !w.stopped)?;
        let of_zone = self.fleet.iter().filter(|(_, (zone, is))| *zone == plan.zone && !is.gone);
        let machines = of_zone.map(|(m, (_, is))| (m.clone(), (is.started, Stage::Waits))).collect();
        Some(Progress { plan, machines })
    }

    fn since(&mut self, now: i64, machine: &M, stage: Stage) -> i64 {
        let known = self.since.entry(machine.clone()).or_insert((stage, now));
        if known.0 != stage {
            *known = (stage, now);
        }
        known.1
    }

    /// Each machine's turn by a step, if it is time for it; then further turns, as many as may be under way.
    fn moved_on(&mut self, now: i64, mut p: Progress<M>) -> Progress<M> {
        if let Some(wish) = self.wish.clone().filter(|w| w.id == p.plan.id) {
            p.plan = wish;
        }
        let (plan, stopped) = (p.plan.clone(), p.plan.stopped);
        for (m, (started, stage)) in &mut p.machines {
            let since = self.since(now, m, *stage);
            let is = self.fleet.get(m).map(|f| f.1).filter(|f| !f.gone);
            let anew = is.is_some_and(|is| is.started != *started);
            *stage = match *stage {
                Stage::Waits if stopped => Stage::Done(How::Stopped),
                Stage::Waits if anew => Stage::Done(How::Restarted),
                Stage::Drains | Stage::Restarts if anew => Stage::Released(How::Restarted),
                Stage::Drains | Stage::Restarts if stopped => Stage::Released(How::Stopped),
                Stage::Drains => {
                    let empty = self.quiet.get(m).is_some_and(|&at| now >= at + self.pace.quiet);
                    if empty || now >= since + plan.empty_us {
                        Stage::Restarts
                    } else {
                        Stage::Drains
                    }
                }
                Stage::Restarts if now >= since + plan.restart_us => Stage::Released(How::NotRestarted),
                Stage::Released(how) => {
                    // The list must have had the time to show that the drain is gone.
                    let said = self.told.get(m).is_some_and(|t| !t.0 && now >= t.1 + self.pace.again);
                    let drains = is.is_some_and(|is| is.drains);
                    if said && !drains {
                        Stage::Done(how)
                    } else {
                        Stage::Released(how)
                    }
                }
                stage => stage,
            };
        }
        let room = if plan.paused || stopped { 0 } else { plan.at_once.saturating_sub(p.under_way()) };
        let free = |m: &M| self.fleet.get(m).is_some_and(|f| !f.1.gone && !f.1.drains);
        let waits: Vec<M> =
            p.machines.iter().filter(|x| x.1 .1 == Stage::Waits).map(|x| x.0.clone()).collect();
        let next: Vec<&M> = waits.iter().filter(|m| free(m)).take(room).collect();
        let idle = next.is_empty() && p.under_way() == 0 && !waits.is_empty() && !plan.paused;
        let stuck = *self.stuck.get_or_insert(now);
        if !idle {
            self.stuck = None;
        } else if now >= stuck + plan.restart_us {
            let waiting = p.machines.values_mut().filter(|m| m.1 == Stage::Waits);
            waiting.for_each(|m| m.1 = Stage::Done(How::Absent));
        }
        for m in next {
            if let Some(turn) = p.machines.get_mut(m) {
                turn.1 = Stage::Drains;
            }
        }
        p
    }

    /// Says to machines what is recorded, once, and again where the list shows otherwise after a while.
    fn act(&mut self, now: i64) {
        let Some(recorded) = &self.recorded else { return };
        for (m, &(started, stage)) in &recorded.machines {
            let is = self.fleet.get(m).map(|f| f.1);
            let on = match stage {
                Stage::Drains | Stage::Restarts => true,
                Stage::Released(_) => false,
                Stage::Waits | Stage::Done(_) => continue,
            };
            // A machine that started anew is not drained again; its drain is taken back whatever its start.
            let started = if on { started } else { 0 };
            if on && is.is_some_and(|is| is.started != started) {
                continue;
            }
            let shown = is.is_some_and(|is| is.drains == on);
            let due = match self.told.get(m) {
                Some(&(said, at)) if said == on => !shown && now >= at + self.pace.again,
                _ => true,
            };
            if due {
                self.told.insert(m.clone(), (on, now));
                self.number += 1;
                self.calls.push_back(Call::Drain { machine: m.clone(), started, on, number: self.number });
            }
        }
    }
}
