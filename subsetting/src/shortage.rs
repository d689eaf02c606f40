//! When a part is too small. A task that waits too long for its limit, or that nothing linked could ever
//! take, is a question to the register: who has room for this? What it names are guests. Where that goes on
//! while others have room, the part widens; it narrows again slowly. No I/O; times are whole microseconds.
use std::collections::BTreeMap;

/// A task may wait for this part of its time before guests are asked for.
const PATIENCE: i64 = 8;
/// Between two questions, and until one that was not answered counts as lost.
const EVERY: i64 = 200_000;
const LOST: i64 = 1_000_000;
/// A task that still waits is asked for again after this time.
const AGAIN: i64 = 1_000_000;
/// Machines that one question asks for at the most.
pub const MOST: u32 = 4;
/// Names that one question to the register holds at the most.
pub const MOST_NAMES: usize = 32;
/// Shortage is weighed over this time: it takes this many cases, and this part of all askings.
const WINDOW: i64 = 5_000_000;
const CASES: u64 = 5;
const PART: f64 = 0.05;
/// Without shortage for so long, the part narrows by a step.
const QUIET: i64 = 60_000_000;
/// A step up, a step down, and the most, in percent.
const WIDER: u32 = 150;
const NARROWER: u32 = 80;
pub const WIDEST: u32 = 300;

/// What a machine must have to take a task: free cores and memory, and where the task is bound, kind and zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    pub cores: f64,
    pub memory: f64,
    pub kind: Option<usize>,
    pub zone: Option<usize>,
}

impl Need {
    /// What has room for the other has room for this.
    fn within(&self, other: &Need) -> bool {
        let same = self.kind == other.kind && self.zone == other.zone;
        same && self.cores <= other.cores && self.memory <= other.memory
    }
}

/// A question to the register.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    pub number: u64,
    pub task: usize,
    pub need: Need,
    pub most: u32,
}

#[derive(Clone, Debug)]
struct Waiting {
    need: Need,
    ask_at: i64,
}

#[derive(Clone, Debug)]
pub struct Shortage {
    waiting: BTreeMap<usize, Waiting>,
    number: u64,
    /// The question that is out, and when it was asked.
    out: Option<(u64, i64)>,
    asked_at: i64,
    /// The last answer named machines: others have room.
    room_outside: bool,
    /// In this window: askings, and cases of shortage.
    window: (i64, u64, u64),
    short_at: i64,
    width: u32,
    why: Option<String>,
    /// Since the start: questions, and those of them that named machines.
    pub questions: u64,
    pub named: u64,
}

impl Shortage {
    pub fn new(now: i64) -> Shortage {
        Shortage {
            waiting: BTreeMap::new(),
            number: 0,
            out: None,
            asked_at: i64::MIN / 2,
            room_outside: false,
            window: (now, 0, 0),
            short_at: now,
            width: 100,
            why: None,
            questions: 0,
            named: 0,
        }
    }

    /// A task waits from now on, with so much time left. `could`: something linked could take it one day.
    pub fn waits(&mut self, now: i64, task: usize, need: Need, left: i64, could: bool) {
        let ask_at = if could { now + left.max(0) / PATIENCE } else { now };
        self.waiting.insert(task, Waiting { need, ask_at });
        self.window.1 += 1;
    }

    /// A task was placed, or is over.
    pub fn over(&mut self, task: usize) {
        self.waiting.remove(&task);
    }

    /// A machine refused a task for want of room, or one was declined for it.
    pub fn refused(&mut self) {
        self.window.2 += 1;
    }

    /// The register answered; false if it was no question of now. `named`: machines that are not of the part.
    pub fn answered(&mut self, number: u64, named: usize) -> bool {
        if self.out.take_if(|out| out.0 == number).is_none() {
            return false;
        }
        self.room_outside = named > 0;
        self.named += u64::from(named > 0);
        true
    }

    /// How wide the part is to be, in percent of the even part.
    pub fn width(&self) -> u32 {
        self.width
    }

    /// Why it was last widened.
    pub fn why(&self) -> Option<&str> {
        self.why.as_deref()
    }

    pub fn next_at(&self) -> i64 {
        let next = self.waiting.values().map(|w| w.ask_at).min().unwrap_or(i64::MAX);
        let free = self.out.map_or(self.asked_at + EVERY, |out| out.1 + LOST);
        next.max(free).min(self.window.0 + WINDOW)
    }

    /// Time passes: the next question, if there is one.
    pub fn clock(&mut self, now: i64) -> Option<Ask> {
        if now >= self.window.0 + WINDOW {
            self.weigh(now);
        }
        self.out.take_if(|out| now >= out.1 + LOST);
        if self.out.is_some() || now < self.asked_at + EVERY {
            return None;
        }
        let (&task, first) = self.waiting.iter().filter(|w| w.1.ask_at <= now).min_by_key(|w| w.1.ask_at)?;
        let need = first.need;
        for (_, w) in self.waiting.iter_mut().filter(|w| w.1.ask_at <= now && w.1.need.within(&need)) {
            w.ask_at = now + AGAIN;
            self.window.2 += 1;
        }
        (self.number, self.questions) = (self.number + 1, self.questions + 1);
        (self.out, self.asked_at) = (Some((self.number, now)), now);
        Some(Ask { number: self.number, task, need, most: MOST })
    }

    fn weigh(&mut self, now: i64) {
        let (_, askings, cases) = std::mem::replace(&mut self.window, (now, 0, 0));
        if cases >= CASES && cases as f64 > PART * askings as f64 {
            self.short_at = now;
            // Where nobody has room, more links bring nothing.
            if self.room_outside && self.width < WIDEST {
                self.width = (self.width * WIDER / 100).min(WIDEST);
                self.why = Some(format!("{cases} refusals and long waits at {askings} askings in 5 s"));
            }
        } else if now - self.short_at >= QUIET && self.width > 100 {
            self.short_at = now;
            self.width = (self.width * NARROWER / 100).max(100);
        }
    }
}
