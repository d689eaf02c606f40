//! A member: the duties that one process wants, asks for, and holds for a term.
use crate::{Answer, Note, Terms};
use std::collections::{BTreeMap, VecDeque};

/// A holder asks for more time after this part of what it may act for.
const RENEWS: i64 = 3;
/// Askers spread over this part of a term, so that the votes don't split among many.
const SPREAD: i64 = 8;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call<D> {
    /// Ask all voters; who renews what it holds needs no note that stood there.
    Ask { duty: D, token: u64, round: u64, note: Option<Note>, renews: bool },
    /// Tell all voters that their votes are free.
    GiveBack { duty: D, token: u64 },
    /// It is held from now on. The note is the last that a holder is sure to have recorded, or one that was
    /// on its way after that.
    Won { duty: D, token: u64, note: Note },
    /// It is held no more.
    Lost { duty: D, token: u64 },
    /// A majority keeps the note with this number.
    Recorded { duty: D, number: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Duty {
    wanted: bool,
    /// The token that it asks for or holds under; 0: neither.
    token: u64,
    /// The highest token that was seen anywhere.
    seen: u64,
    round: u64,
    /// When the round began; meaningless while none is open.
    sent_at: i64,
    open: bool,
    granted: u32,
    refused: u32,
    /// By voter: how long its vote was not free, counted from when it said so.
    free_at: BTreeMap<usize, i64>,
    holds: bool,
    until: i64,
    /// The best note that a voter brought in this round.
    best: Note,
    /// The note to be recorded, the number of the one that went with the open round, and of the last that
    /// is recorded.
    note: Option<Note>,
    sent_note: u64,
    recorded: u64,
    next_at: i64,
    tries: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member<D> {
    terms: Terms,
    voters: usize,
    seed: u64,
    floor: u64,
    duties: BTreeMap<D, Duty>,
    calls: VecDeque<Call<D>>,
}

impl<D: Ord + Clone> Member<D> {
    /// Of so many voters, at most 32. Its tokens are at least `floor`: as tokens are epochs, and an epoch
    /// without a council is the time of a start, that is the time of its own.
    pub fn new(terms: Terms, voters: usize, seed: u64, floor: u64) -> Self {
        Member { terms, voters, seed, floor, duties: BTreeMap::new(), calls: VecDeque::new() }
    }

    fn majority(&self) -> u32 {
        self.voters as u32 / 2 + 1
    }

    pub fn next_call(&mut self) -> Option<Call<D>> {
        self.calls.pop_front()
    }

    /// When `clock` has something to do.
    pub fn next_at(&self) -> Option<i64> {
        let wanted = self.duties.values().filter(|d| d.wanted);
        let due = |d: &Duty| match (d.holds, d.open) {
            (true, _) => d.until.min(d.next_at),
            (false, true) => d.sent_at + self.terms.patience(),
            (false, false) => d.next_at,
        };
        wanted.map(due).min()
    }

    fn jitter(&self, most: i64, tries: u32) -> i64 {
        fastrand::Rng::with_seed(self.seed.wrapping_add(u64::from(tries) << 32)).i64(0..=most.max(0))
    }

    /// The duty is wanted from now on.
    pub fn want(&mut self, now: i64, duty: D) {
        // A hundred spares learn in one moment that a seat is free: they must not ask in one moment.
        let late = self.jitter(self.terms.term / SPREAD, 1 << 17);
        let d = self.duties.entry(duty).or_default();
        if !std::mem::replace(&mut d.wanted, true) {
            d.next_at = now + late;
        }
    }

    /// The duty is wanted no more; what acts on it has stopped. Its votes are given back.
    pub fn leave(&mut self, duty: &D) {
        let Some(d) = self.duties.get_mut(duty).filter(|d| d.wanted) else { return };
        let (token, held) = (d.token, d.holds);
        // No token is used twice, also not after the duty is wanted again.
        *d = Duty { seen: d.seen, round: d.round, ..Duty::default() };
        if held {
            self.calls.push_back(Call::Lost { duty: duty.clone(), token });
        }
        if token > 0 {
            self.calls.push_back(Call::GiveBack { duty: duty.clone(), token });
        }
    }

    /// The token under which the duty may be acted on at this moment. To be asked before each act, which
    /// carries the token, as this process may be stopped in between.
    pub fn holds(&self, now: i64, duty: &D) -> Option<u64> {
        self.duties.get(duty).filter(|d| d.holds && now < d.until).map(|d| d.token)
    }

    /// Time left of a term that is held.
    pub fn left(&self, now: i64, duty: &D) -> i64 {
        self.duties.get(duty).filter(|d| d.holds).map_or(0, |d| (d.until - now).max(0))
    }

    /// A holder's note, to be recorded by a majority; `Recorded` names its number once it is.
    pub fn write(&mut self, now: i64, duty: &D, text: Vec<u8>) -> Option<u64> {
        let d = self.duties.get_mut(duty).filter(|d| d.holds && now < d.until)?;
        let number = d.note.as_ref().map_or(d.recorded, |n| n.number).max(d.recorded) + 1;
        (d.note, d.next_at) = (Some(Note { token: d.token, number, text }), now);
        Some(number)
    }

    /// Somebody was refused, or saw somebody act, under this token.
    pub fn seen(&mut self, duty: &D, token: u64) {
        if let Some(d) = self.duties.get_mut(duty) {
            d.seen = d.seen.max(token);
        }
    }

    /// A voter says that its vote became free.
    pub fn freed(&mut self, now: i64, duty: &D) {
        let Some(d) = self.duties.get(duty).filter(|d| d.wanted && !d.holds && !d.open) else { return };
        let at = now + self.jitter(self.terms.patience(), d.tries.wrapping_add(1 << 16));
        if let Some(d) = self.duties.get_mut(duty) {
            d.next_at = d.next_at.min(at);
        }
    }

    /// Time passes: terms end, rounds end and begin.
    pub fn clock(&mut self, now: i64) {
        let all: Vec<D> = self.duties.iter().filter(|d| d.1.wanted).map(|d| d.0.clone()).collect();
        // What is held is renewed together, so that it goes in one frame.
        let renews = self.duties.values().any(|d| d.holds && now >= d.next_at);
        for duty in all {
            let Some(mut d) = self.duties.remove(&duty) else { continue };
            if d.holds && now >= d.until {
                self.lose(&duty, &mut d, now);
            }
            if d.open && !d.holds && now >= d.sent_at + self.terms.patience() {
                self.fail(&duty, &mut d, now);
            }
            let due = if d.holds { renews } else { now >= d.next_at && !d.open };
            if due {
                self.begin(&duty, &mut d, now);
            }
            self.duties.insert(duty, d);
        }
    }

    fn begin(&mut self, duty: &D, d: &mut Duty, now: i64) {
        if !d.holds {
            d.token = (d.seen + 1).max(self.floor);
            d.seen = d.token;
            d.best = Note::default();
        }
        d.round += 1;
        (d.sent_at, d.open, d.granted, d.refused) = (now, true, 0, 0);
        d.free_at.clear();
        d.next_at = now + if d.holds { (self.terms.holds() / RENEWS).max(1) } else { 0 };
        d.sent_note = d.note.as_ref().map_or(0, |n| n.number);
        let (duty, token, round) = (duty.clone(), d.token, d.round);
        self.calls.push_back(Call::Ask { duty, token, round, note: d.note.clone(), renews: d.holds });
    }

    /// A voter's answer to the asking of a round; answers to earlier rounds say nothing of this one's term.
    pub fn answered(&mut self, now: i64, voter: usize, duty: &D, round: u64, answer: Answer) {
        let Some(mut d) = self.duties.remove(duty) else { return };
        if d.holds && now >= d.until {
            self.lose(duty, &mut d, now);
        }
        if d.open && d.round == round && voter < self.voters {
            match answer {
                Answer::Granted { note } => {
                    d.granted |= 1 << voter;
                    d.best = note.max(std::mem::take(&mut d.best));
                    if d.granted.count_ones() >= self.majority() {
                        self.carried(duty, &mut d, now);
                    }
                }
                Answer::Refused { token, left } => {
                    d.refused |= 1 << voter;
                    d.seen = d.seen.max(token);
                    d.free_at.insert(voter, now + left);
                    let lost = d.refused.count_ones() > self.voters as u32 - self.majority();
                    if lost && !d.holds {
                        self.fail(duty, &mut d, now);
                    }
                }
            }
        }
        self.duties.insert(duty.clone(), d);
    }

    /// A majority voted for the round that is open.
    fn carried(&mut self, duty: &D, d: &mut Duty, now: i64) {
        let until = d.sent_at + self.terms.holds();
        if !d.holds && now >= until {
            return self.fail(duty, d, now);
        }
        (d.open, d.until, d.tries) = (false, until.max(d.until), 0);
        if !d.holds {
            (d.holds, d.recorded, d.note) = (true, 0, None);
            d.next_at = d.sent_at + (self.terms.holds() / RENEWS).max(1);
            let note = d.best.clone();
            self.calls.push_back(Call::Won { duty: duty.clone(), token: d.token, note });
        } else if let Some(note) = d.note.take_if(|n| n.number == d.sent_note) {
            d.recorded = note.number;
            self.calls.push_back(Call::Recorded { duty: duty.clone(), number: note.number });
        }
    }

    /// The round brought no majority: votes that it did bring are given back, and asked for again once enough
    /// of the others' are free.
    fn fail(&mut self, duty: &D, d: &mut Duty, now: i64) {
        self.calls.push_back(Call::GiveBack { duty: duty.clone(), token: d.token });
        let mut free: Vec<i64> = d.free_at.values().copied().collect();
        free.sort_unstable();
        // With so many votes free, a majority could be had.
        let lacks = self.majority() as usize + d.refused.count_ones() as usize;
        let at = lacks.checked_sub(self.voters + 1).and_then(|i| free.get(i)).copied().unwrap_or(now);
        d.tries = d.tries.saturating_add(1);
        let spread = (self.terms.term / SPREAD).saturating_mul(i64::from(d.tries.min(4)));
        d.next_at = at.max(now + 1) + self.jitter(spread, d.tries);
        (d.open, d.token) = (false, 0);
    }

    fn lose(&mut self, duty: &D, d: &mut Duty, now: i64) {
        self.calls.push_back(Call::Lost { duty: duty.clone(), token: d.token });
        self.calls.push_back(Call::GiveBack { duty: duty.clone(), token: d.token });
        (d.holds, d.open, d.token, d.note) = (false, false, 0, None);
        d.next_at = now + 1;
    }
}
