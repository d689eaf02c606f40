//! Drawn rolls: conductors die or stall at any step, their words come late, writes reach some voters only,
//! the list is late, machines restart by themselves, late, or not at all. No more than so many machines are
//! drained at any moment, none twice, none is forgotten. A failing case names its seed.
use basaltpitch_rolling_restart::{Call, Conductor, How, Listed, Pace, Plan, Progress, Stage};
use std::collections::VecDeque;

const TICK: i64 = 100_000;
const PACE: Pace = Pace { quiet: 300_000, again: 600_000 };
const PLAN: Plan = Plan {
    id: 1,
    zone: String::new(),
    at_once: 2,
    empty_us: 3_000_000,
    restart_us: 2_000_000,
    paused: false,
    stopped: false,
};

#[derive(Clone)]
struct Machine {
    started: i64,
    drains: bool,
    drained: u32,
    /// Ticks until it is empty once drained, and whether its updater restarts it then.
    empties_in: u32,
    restarts: bool,
    gone: bool,
}

type Note = (u64, u64, Progress<usize>);
/// A drain on its way: when it comes, token and number, machine, start, on.
type Sent = (i64, (u64, u64), usize, i64, bool);

/// What the check must find when it is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// The register refuses no older token.
    Fence,
    /// Nor an older word of the same conductor.
    Numbers,
    /// A drain is taken whatever the machine's start.
    Start,
    /// What a predecessor left is acted on before a majority keeps it.
    Adopting,
}

struct World {
    without: Without,
    chance: fastrand::Rng,
    now: i64,
    machines: Vec<Machine>,
    /// How the machines were, the newest last: the list is late.
    past: VecDeque<Vec<Machine>>,
    fence: u64,
    /// By machine: token and number of the last word that was taken.
    last: [(u64, u64); 7],
    /// By voter: the token that it last voted for, and the note that it keeps.
    voters: [(u64, Option<Note>); 3],
    token: u64,
    conductor: Option<Conductor<usize>>,
    number: u64,
    writing: Option<Note>,
    under_way: Vec<Sent>,
}

impl World {
    fn new(seed: u64, without: Without) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let machine = |n: i64| Machine {
            started: 1000 + n,
            drains: false,
            drained: 0,
            empties_in: chance.u32(0..20),
            restarts: chance.u8(0..10) > 0,
            gone: chance.u8(0..12) == 0,
        };
        let machines: Vec<Machine> = (0..7).map(machine).collect();
        let past = VecDeque::from([machines.clone()]);
        let (voters, token) = ([const { (0, None) }; 3], 0);
        let (conductor, number, writing, under_way) = (None, 0, None, Vec::new());
        World {
            without,
            chance,
            now: 0,
            machines,
            past,
            fence: 0,
            last: [(0, 0); 7],
            voters,
            token,
            conductor,
            number,
            writing,
            under_way,
        }
    }

    /// Another wins the duty, by two of three voters, with the newest note that these keep.
    fn won(&mut self) {
        self.token += 1;
        let out = self.chance.usize(0..3);
        let mut best: Option<Note> = None;
        for (v, voter) in self.voters.iter_mut().enumerate().filter(|v| v.0 != out) {
            let _ = v;
            voter.0 = self.token;
            let newer = |n: &&Note| best.as_ref().is_none_or(|b| (n.0, n.1) > (b.0, b.1));
            best = voter.1.as_ref().filter(newer).cloned().or(best);
        }
        let left = best.map(|b| b.2);
        let mut c = Conductor::won(self.now, PACE, left);
        if self.without == Without::Adopting {
            c.recorded(self.now);
        }
        c.wished(self.now, PLAN);
        (self.conductor, self.number, self.writing) = (Some(c), 0, None);
    }

    fn tick(&mut self) {
        self.now += TICK;
        match self.chance.u32(0..100) {
            0..20 if self.conductor.is_none() => self.won(),
            _ if self.conductor.is_none() => {}
            // It dies; what it had sent still comes.
            0..4 => self.conductor = None,
            // The link to the register ends.
            4..6 => {
                if let Some(c) = &mut self.conductor {
                    c.unheard();
                }
            }
            _ => {}
        }
        self.write();
        self.hear();
        self.carry_out();
        self.arrive();
        self.machines_go_on();
        self.past.push_back(self.machines.clone());
        while self.past.len() > 3 {
            self.past.pop_front();
        }
    }

    /// What is to be kept reaches a voter or not, each tick; a majority that has it is told.
    fn write(&mut self) {
        let Some(note) = self.writing.clone() else { return };
        for voter in &mut self.voters {
            if self.chance.u8(0..3) == 0 && voter.0 <= note.0 {
                *voter = (note.0, Some(note.clone()));
            }
        }
        let keeps = |v: &&(u64, Option<Note>)| v.1.as_ref().is_some_and(|n| (n.0, n.1) == (note.0, note.1));
        if self.voters.iter().filter(keeps).count() >= 2 {
            if let Some(c) = self.conductor.as_mut().filter(|_| note.0 == self.token) {
                self.writing = None;
                c.recorded(self.now);
            }
        }
    }

    fn hear(&mut self) {
        let late = self.chance.usize(0..self.past.len());
        let Some(c) = &mut self.conductor else { return };
        if self.chance.u8(0..2) == 0 {
            for (m, x) in self.past[late].iter().enumerate() {
                let empty = x.empties_in == 0;
                let is = Listed { started: x.started, drains: x.drains, gone: x.gone, empty };
                c.listed(self.now, m, "", is);
            }
            c.list_was_whole(|_| true);
        }
        c.clock(self.now);
    }

    fn carry_out(&mut self) {
        let Some(c) = &mut self.conductor else { return };
        while let Some(call) = c.next_call() {
            match call {
                Call::Write(progress) => {
                    self.number += 1;
                    self.writing = Some((self.token, self.number, progress));
                }
                Call::Drain { machine, started, on, number } => {
                    // Mostly soon; one of a process that stalled comes much later.
                    let late = if self.chance.u8(0..10) == 0 { self.chance.i64(0..40) } else { 0 };
                    let of = (self.token, number);
                    self.under_way.push((self.now + late * TICK, of, machine, started, on));
                }
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.under_way.extract_if(.., |x| x.0 <= now).collect();
        for (_, of, m, started, on) in due {
            if of.0 < self.fence && self.without != Without::Fence {
                continue;
            }
            let same = of.0 == self.last[m].0;
            if same && of < self.last[m] && self.without != Without::Numbers {
                continue;
            }
            self.fence = self.fence.max(of.0);
            self.last[m] = of;
            let machine = &mut self.machines[m];
            if on && started != machine.started && self.without != Without::Start {
                continue;
            }
            machine.drained += u32::from(on && !machine.drains);
            machine.drains = on;
        }
    }

    fn machines_go_on(&mut self) {
        for m in &mut self.machines {
            if m.drains && m.empties_in > 0 {
                m.empties_in -= 1;
            } else if m.drains && m.restarts && self.chance.u8(0..8) == 0 {
                (m.started, m.drains) = (m.started + 1000, false);
            }
        }
    }

    fn progress(&self) -> Option<&Progress<usize>> {
        self.conductor.as_ref().and_then(|c| c.progress())
    }
}

/// What went wrong in a drawn roll, if anything.
fn play(seed: u64, without: Without) -> Result<(), String> {
    let mut w = World::new(seed, without);
    for _ in 0..6000 {
        w.tick();
        let drained = w.machines.iter().filter(|m| m.drains).count();
        if drained > PLAN.at_once {
            return Err(format!("seed {seed}: {drained} drained at once at {}", w.now));
        }
        if let Some(m) = w.machines.iter().position(|m| m.drained > 1) {
            return Err(format!("seed {seed}: machine {m} drained twice at {}", w.now));
        }
        if w.progress().is_some_and(|p| p.is_over() && p.plan.id == 1) && w.under_way.is_empty() {
            return ended(seed, &w);
        }
    }
    Err(format!("seed {seed}: not over: {:?}", w.progress()))
}

fn ended(seed: u64, w: &World) -> Result<(), String> {
    let p = w.progress().expect("it is over");
    for (m, machine) in w.machines.iter().enumerate() {
        let stage = p.machines.get(&m).map(|x| x.1);
        let right = match stage {
            Some(Stage::Done(How::Restarted)) => machine.started > 1500,
            Some(Stage::Done(How::NotRestarted)) => machine.drained == 1,
            Some(Stage::Done(How::Absent)) | None => machine.gone,
            _ => false,
        };
        if !right || machine.drains {
            let (started, drains) = (machine.started, machine.drains);
            return Err(format!("seed {seed}: machine {m} at {stage:?}, start {started}, drains {drains}"));
        }
    }
    Ok(())
}

#[test]
fn whoever_dies_when_no_machine_is_forgotten_or_drained_twice_or_beyond_the_limit() {
    let wrong: Vec<String> = (0..1000).filter_map(|seed| play(seed, Without::Nothing).err()).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn what_keeps_it_safe_is_missed_where_it_is_left_out() {
    for without in [Without::Fence, Without::Numbers, Without::Start, Without::Adopting] {
        let found = (0..20_000).find(|&seed| play(seed, without).is_err());
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "nothing was found: {without:?}");
    }
}

fn whole(c: &mut Conductor<usize>, now: i64, machines: &[Listed]) {
    machines.iter().enumerate().for_each(|(m, is)| c.listed(now, m, "", *is));
    c.list_was_whole(|m| *m < machines.len());
    c.clock(now);
}

fn calls(c: &mut Conductor<usize>, now: i64) -> Vec<(usize, bool)> {
    let mut drains = Vec::new();
    while let Some(call) = c.next_call() {
        match call {
            Call::Write(_) => c.recorded(now),
            Call::Drain { machine, on, .. } => drains.push((machine, on)),
        }
    }
    drains
}

#[test]
fn paused_it_begins_no_further_turn_and_stopped_it_lets_go_of_what_is_under_way() {
    let ready = Listed { started: 5, drains: false, gone: false, empty: true };
    let mut machines = [ready; 4];
    let mut c = Conductor::won(0, PACE, None);
    c.wished(0, PLAN);
    assert_eq!(calls(&mut c, 0), [], "nothing before the list is heard");
    whole(&mut c, 1, &machines);
    assert_eq!(calls(&mut c, 1), [(0, true), (1, true)]);
    c.wished(2, Plan { paused: true, ..PLAN });
    machines[0] = Listed { started: 6, ..ready };
    machines[1].drains = true;
    whole(&mut c, 3, &machines);
    assert_eq!(calls(&mut c, 3), [(0, false)], "the one that restarted; no other in its place");
    let mut now = 3;
    for _ in 0..2 {
        now += PACE.again;
        whole(&mut c, now, &machines);
        assert!(!calls(&mut c, now).iter().any(|x| x.1), "paused");
    }
    c.wished(now, Plan { stopped: true, ..PLAN });
    assert_eq!(calls(&mut c, now), [(1, false)]);
    machines[1].drains = false;
    now += PACE.again;
    whole(&mut c, now, &machines);
    assert_eq!(calls(&mut c, now), []);
    let stages: Vec<Stage> = c.progress().unwrap().machines.values().map(|m| m.1).collect();
    let stopped = Stage::Done(How::Stopped);
    assert_eq!(stages[0], Stage::Done(How::Restarted));
    assert_eq!(stages[2..], [stopped, stopped]);
    assert!(c.progress().unwrap().is_over());
}
