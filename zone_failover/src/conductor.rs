//! Who conducts says when a hall is lost and how far it is back. Each word counts once a majority keeps it; a
//! successor goes on from the last that does, with its timers begun anew: late, never early.
use crate::evidence::Evidence;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The parts of a returning hall's machines that are offered work, step by step.
pub const STEPS: [f64; 3] = [0.1, 0.3, 0.6];

/// Launches lately that are too few to say how they go, and the part of refused and failed ones that is too
/// many.
const FEW: f64 = 3.0;
const TOO_MANY: f64 = 0.5;

/// How long things must last, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A hall counts as lost once it was seen to be gone for so long.
    pub confirm: i64,
    /// It begins to return once it was seen to be well for so long, twice that after each flap.
    pub settle: i64,
    /// Each step of the return, twice that after each step back.
    pub step: i64,
    /// Well for so long, its flaps are forgotten.
    pub calm: i64,
    /// What doubles never goes beyond this.
    pub most: i64,
}

impl Pace {
    pub const USUAL: Pace =
        Pace { confirm: 1_500_000, settle: 2_000_000, step: 3_000_000, calm: 60_000_000, most: 60_000_000 };
}

/// Where a hall is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    #[default]
    Well,
    Lost,
    Returning(usize),
}

impl Stage {
    /// The part of its machines that are offered work.
    pub fn part(self) -> f64 {
        match self {
            Stage::Well => 1.0,
            Stage::Lost => 0.0,
            Stage::Returning(step) => STEPS.get(step).copied().unwrap_or(1.0),
        }
    }

    /// Whether its machine of this rank, of so many, is offered work. Ranks are the same at all planners, so
    /// all offer the same machines, and those of a step stay in the next.
    pub fn offers(self, rank: usize, of: usize) -> bool {
        rank < (self.part() * of as f64).ceil() as usize
    }
}

/// What is recorded of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hall {
    pub stage: Stage,
    /// Times that it was lost again while it returned or soon after, and steps back of this return.
    pub flaps: u32,
    pub backs: u32,
}

/// The word: all halls, in the installation's order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    pub halls: Vec<Hall>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// To be kept by a majority; told by `recorded`.
    Write(Word),
}

/// What a conductor sees of one hall: since when the evidence is so, and the stage; whether it goes badly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sight {
    evidence: Evidence,
    since: i64,
    stage_since: i64,
    bad: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conductor {
    pace: Pace,
    word: Word,
    /// Written, and not known to be kept.
    pending: Option<Word>,
    sights: Vec<Sight>,
    calls: VecDeque<Call>,
}

impl Conductor {
    /// The duty was won, with the word that the last holder left, if there is one for so many halls.
    pub fn won(now: i64, pace: Pace, halls: usize, left: Option<Word>) -> Self {
        let word = left.filter(|w| w.halls.len() == halls);
        let word = word.unwrap_or_else(|| Word { halls: vec![Hall::default(); halls] });
        let sight = Sight { evidence: Evidence::CutOff, since: now, stage_since: now, bad: false };
        let sights = vec![sight; halls];
        Conductor { pace, word, pending: None, sights, calls: VecDeque::new() }
    }

    pub fn next_call(&mut self) -> Option<Call> {
        self.calls.pop_front()
    }

    /// The word that counts.
    pub fn word(&self) -> &Word {
        &self.word
    }

    /// What is so of a hall, as all that are heard see it.
    pub fn seen(&mut self, now: i64, hall: usize, evidence: Evidence) {
        let sight = &mut self.sights[hall];
        if sight.evidence != evidence {
            (sight.evidence, sight.since) = (evidence, now);
        }
    }

    /// How launches towards a returning hall went lately, by all planners: so many, and of those refused or
    /// failed.
    pub fn goes(&mut self, hall: usize, launched: f64, wrong: f64) {
        self.sights[hall].bad = launched >= FEW && wrong > TOO_MANY * launched;
    }

    /// A majority keeps what was written last.
    pub fn recorded(&mut self, now: i64) {
        let Some(word) = self.pending.take() else { return };
        for (n, (before, after)) in self.word.halls.iter().zip(&word.halls).enumerate() {
            if (before.stage, before.backs) != (after.stage, after.backs) {
                self.sights[n].stage_since = now;
            }
        }
        self.word = word;
    }

    /// Time passes. One word is under way at a time: what comes of the next rests on it.
    pub fn clock(&mut self, now: i64) {
        if self.pending.is_some() {
            return;
        }
        let next = Word { halls: (0..self.sights.len()).map(|n| self.next_of(now, n)).collect() };
        if next != self.word {
            self.pending = Some(next.clone());
            self.calls.push_back(Call::Write(next));
        }
    }

    fn doubled(&self, time: i64, times: u32) -> i64 {
        time.saturating_mul(1 << times.min(20)).min(self.pace.most.max(time))
    }

    fn next_of(&self, now: i64, n: usize) -> Hall {
        let (hall, sight) = (self.word.halls[n], &self.sights[n]);
        let lasts = |evidence, time| sight.evidence == evidence && now >= sight.since + time;
        let stands = |time| now >= sight.stage_since + time;
        let gone = lasts(Evidence::Gone, self.pace.confirm);
        match hall.stage {
            Stage::Well if gone => {
                // Its flaps count on until it has been well for a while.
                Hall { stage: Stage::Lost, ..hall }
            }
            Stage::Well if hall.flaps > 0 && stands(self.pace.calm) => Hall { flaps: 0, ..hall },
            Stage::Lost if lasts(Evidence::Well, self.doubled(self.pace.settle, hall.flaps)) => {
                Hall { stage: Stage::Returning(0), backs: 0, ..hall }
            }
            Stage::Returning(_) if gone => Hall { stage: Stage::Lost, flaps: hall.flaps + 1, backs: 0 },
            // Nothing moves on what is not seen to be well.
            Stage::Returning(_) if sight.evidence != Evidence::Well => hall,
            Stage::Returning(step) if sight.bad && stands(self.pace.step) => {
                Hall { stage: Stage::Returning(step.saturating_sub(1)), backs: hall.backs + 1, ..hall }
            }
            Stage::Returning(step) if !sight.bad && stands(self.doubled(self.pace.step, hall.backs)) => {
                let stage = if step + 1 < STEPS.len() { Stage::Returning(step + 1) } else { Stage::Well };
                Hall { stage, ..hall }
            }
            _ => hall,
        }
    }
}
