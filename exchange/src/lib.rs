//! What planners know of each other. Each seat of the council publishes a summary under its token and a
//! number that rises; planners pass on the newest of every seat to a few others by chance (anti-entropy by
//! push and pull: Demers and others, "Epidemic algorithms for replicated database maintenance", 1987). What
//! a summary says is the caller's matter. No I/O, no clock of its own: times are whole microseconds of the
//! caller's clock, which never goes back.
//!
//! Why no age is understated: nothing is taken but in answer to a question of one's own. The answer says how
//! old each summary was when it was sent; that was after the question, so each is at most so old, and the
//! time since the question, by the asker's own clock. Slow links make summaries look older, never younger.
//!
//! Why an old holder is not believed: a summary counts only under the token that the council told of its
//! seat. What a seat's earlier holder says once it wakes is under a lower one.
pub mod heard;
pub mod wrong;

pub use heard::Heard;
pub use wrong::Wrong;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What summaries carry.
pub trait Carried: Clone {
    /// The field that cannot be true, with what was found and what was expected; none where all can.
    fn wrong(&self) -> Option<(String, String, String)>;
}

/// Figures, at most so many of them: 2 KiB on the wire.
pub const MOST_FIGURES: usize = 256;

impl Carried for Rc<[f64]> {
    fn wrong(&self) -> Option<(String, String, String)> {
        let expected = format!("{MOST_FIGURES} at most");
        if self.len() > MOST_FIGURES {
            return Some(("figures".into(), self.len().to_string(), expected));
        }
        let n = self.iter().position(|x| !x.is_finite())?;
        Some((format!("figures[{n}]"), self[n].to_string(), "a finite number".into()))
    }
}

/// How often, how many, how long. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A question to one linked planner each so often, give or take a quarter.
    pub round: i64,
    /// An answer is waited for so long; then the link is given up.
    pub patience: i64,
    /// A summary that is older says nothing any more: its seat counts as unheard.
    pub fresh: i64,
    /// Planners that this one links to. Others link to it.
    pub partners: usize,
    /// One partner goes for another each so often, so that no split of the links lasts.
    pub swap: i64,
    /// Summaries in one answer.
    pub most: usize,
}

impl Pace {
    pub const USUAL: Pace = Pace {
        round: 250_000,
        patience: 5_000_000,
        fresh: 4_000_000,
        partners: 4,
        swap: 10_000_000,
        most: 128,
    };
}

/// A summary on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Told<C> {
    pub seat: usize,
    pub token: u64,
    pub number: u64,
    /// Microseconds since it was made, at most, when it was sent.
    pub age: i64,
    pub carried: C,
}

/// What somebody has of a seat: token and number.
pub type Has = (usize, u64, u64);

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call<C> {
    /// Link to a seat's planner, there.
    Dial {
        seat: usize,
        address: Rc<str>,
    },
    /// The link to this planner is wanted no more.
    Hang {
        link: u64,
    },
    /// A question: what is newer than this?
    Ask {
        link: u64,
        question: u64,
        has: Vec<Has>,
    },
    Answer {
        link: u64,
        question: u64,
        all: Vec<Told<C>>,
    },
}

/// What is held of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held<C> {
    number: u64,
    /// It was made at this time or later.
    made_at: i64,
    carried: C,
}

/// A seat as the council tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seat<C> {
    /// 0: nobody was seated yet, as far as is known.
    token: u64,
    address: Option<Rc<str>>,
    held: Option<Held<C>>,
    /// Not dialled before this time.
    again_at: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    seat: usize,
    /// Under which it holds its seat, as it says.
    token: u64,
    /// This side dialled.
    ours: bool,
    /// The question that waits for its answer, and when it was asked.
    open: Option<(u64, i64)>,
    asked_at: i64,
}

/// One planner's part in the exchange, and what it knows of the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange<C> {
    me: usize,
    pace: Pace,
    seed: u64,
    draws: u64,
    seats: Vec<Seat<C>>,
    links: BTreeMap<u64, Link>,
    /// Seats that are dialled, and no link came yet.
    dialling: BTreeMap<usize, i64>,
    questions: u64,
    round_at: i64,
    swap_at: i64,
    calls: VecDeque<Call<C>>,
}

impl<C: Carried> Exchange<C> {
    /// Of so many seats; `me` is this planner's own, held under `token`.
    pub fn new(now: i64, pace: Pace, seats: usize, me: usize, token: u64, seed: u64) -> Self {
        let seat = Seat { token: 0, address: None, held: None, again_at: now };
        let mut all = vec![seat; seats];
        all[me].token = token;
        Exchange {
            me,
            pace,
            seed,
            draws: 0,
            seats: all,
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            questions: 0,
            round_at: now,
            swap_at: now + pace.swap,
            calls: VecDeque::new(),
        }
    }

    pub fn next_call(&mut self) -> Option<Call<C>> {
        self.calls.pop_front()
    }

    /// The time at which `clock` has something to do.
    pub fn next_at(&self) -> i64 {
        self.round_at
    }

    fn chance(&mut self) -> fastrand::Rng {
        self.draws += 1;
        fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 32))
    }

    // What can happen.

    /// The council tells who has a seat: under which token, and where its planner listens, if that is known.
    /// What an earlier holder said of it counts no more.
    pub fn seated(&mut self, now: i64, seat: usize, token: u64, address: Option<Rc<str>>) {
        let me = self.me;
        let Some(s) = self.seats.get_mut(seat).filter(|_| seat != me) else { return };
        if token > s.token {
            // Links to the one before: its successor is to be linked to.
            let older = |l: &Link| l.seat == seat && l.token < token;
            let older: Vec<u64> = self.links.iter().filter(|(_, l)| older(l)).map(|(n, _)| *n).collect();
            older.into_iter().for_each(|link| self.hang(now, link));
            self.seats[seat] = Seat { token, address, held: None, again_at: now };
        } else if token == s.token && address.is_some() {
            s.address = address;
        }
    }

    /// This planner says anew how it is.
    pub fn publish(&mut self, now: i64, carried: C) -> Result<(), Wrong> {
        if let Some((field, found, expected)) = carried.wrong() {
            return Err(Wrong::Carried { peer: self.me, seat: self.me, field, found, expected });
        }
        let mine = &mut self.seats[self.me];
        let number = mine.held.as_ref().map_or(0, |h| h.number) + 1;
        mine.held = Some(Held { number, made_at: now, carried });
        Ok(())
    }

    /// A link to a planner stands, whoever dialled. It is asked at once: a planner that has just been seated
    /// knows nothing.
    pub fn linked(&mut self, now: i64, link: u64, seat: usize, token: u64, ours: bool) -> Result<(), Wrong> {
        if ours {
            self.dialling.remove(&seat);
        }
        let known = self.seats.get(seat).map_or(0, |s| s.token);
        if seat >= self.seats.len() || seat == self.me {
            return Err(Wrong::Seat { peer: seat, found: seat, seats: self.seats.len() });
        }
        if token < known {
            return Err(Wrong::OldHolder { peer: seat, found: token, expected: known });
        }
        self.links.insert(link, Link { seat, token, ours, open: None, asked_at: i64::MIN });
        self.ask(now, link);
        Ok(())
    }

    /// A link is gone.
    pub fn unlinked(&mut self, now: i64, link: u64) {
        if let Some(l) = self.links.remove(&link).filter(|l| l.ours) {
            self.seats[l.seat].again_at = now + self.pace.patience;
        }
    }

    /// A planner that was dialled does not answer.
    pub fn failed(&mut self, now: i64, seat: usize) {
        self.dialling.remove(&seat);
        self.seats[seat].again_at = now + self.pace.patience;
    }

    /// A linked planner asks for what is newer than it has.
    pub fn asked(
        &mut self,
        now: i64,
        link: u64,
        question: u64,
        has: impl IntoIterator<Item = Has>,
    ) -> Result<(), Wrong> {
        let Some(l) = self.links.get(&link) else { return Ok(()) };
        let (peer, asked_at) = (l.seat, l.asked_at);
        let mut theirs = vec![(0, 0); self.seats.len()];
        for (seat, token, number) in has {
            let Some(there) = theirs.get_mut(seat) else {
                return Err(Wrong::Seat { peer, found: seat, seats: self.seats.len() });
            };
            *there = (token, number);
        }
        let mut newer = Vec::new();
        let mut lacks = false;
        for (seat, &theirs) in theirs.iter().enumerate() {
            let mine = self.has(now, seat);
            if mine > theirs {
                newer.push(seat);
            }
            // A token that the council has not told of would be refused again and again.
            lacks |= seat != self.me && theirs > mine && theirs.0 == self.seats[seat].token;
        }
        if newer.len() > self.pace.most {
            // Others are as likely to have what is left out: each asker gets another part.
            self.chance().shuffle(&mut newer);
            newer.truncate(self.pace.most);
        }
        let told = |seat: usize| {
            let s = &self.seats[seat];
            let h = s.held.as_ref()?;
            let age = (now - h.made_at).max(0);
            Some(Told { seat, token: s.token, number: h.number, age, carried: h.carried.clone() })
        };
        let all = newer.into_iter().filter_map(told).collect();
        self.calls.push_back(Call::Answer { link, question, all });
        // Two planners that refuse each other's summaries would otherwise ask as fast as the link carries.
        if lacks && now.saturating_sub(self.pace.round / 2) >= asked_at {
            self.ask(now, link);
        }
        Ok(())
    }

    /// A linked planner answers. What cannot be true is dropped, each with what is wrong.
    pub fn answered(
        &mut self,
        now: i64,
        link: u64,
        question: u64,
        all: impl IntoIterator<Item = Told<C>>,
    ) -> Vec<Wrong> {
        let Some(l) = self.links.get_mut(&link) else { return Vec::new() };
        let peer = l.seat;
        let Some((_, asked_at)) = l.open.take_if(|open| open.0 == question) else {
            // Doubled, or late beyond patience: how old it is by now is not known.
            return vec![Wrong::Question { peer, found: question }];
        };
        let on_the_way = now - asked_at;
        all.into_iter().filter_map(|told| self.take(now, peer, on_the_way, told).err()).collect()
    }

    fn take(&mut self, now: i64, peer: usize, on_the_way: i64, told: Told<C>) -> Result<(), Wrong> {
        let Told { seat, token, number, age, carried } = told;
        let (me, seats) = (self.me, self.seats.len());
        let Some(s) = self.seats.get_mut(seat) else { return Err(Wrong::Seat { peer, found: seat, seats }) };
        if token < s.token {
            // An earlier holder's, from who has not heard of the newer one.
            return Ok(());
        }
        if token > s.token {
            return Err(Wrong::Token { peer, seat, found: token, expected: s.token });
        }
        let has = s.held.as_ref().map_or(0, |h| h.number);
        if seat == me {
            let expected = has;
            return if number > has {
                Err(Wrong::Number { peer, seat, found: number, expected })
            } else {
                Ok(())
            };
        }
        if age < 0 {
            return Err(Wrong::Age { peer, seat, found: age });
        }
        if let Some((field, found, expected)) = carried.wrong() {
            return Err(Wrong::Carried { peer, seat, field, found, expected });
        }
        if number > has {
            // It was made after the one before, of which this is known as well.
            let before = s.held.as_ref().map_or(i64::MIN, |h| h.made_at);
            let made_at = now.saturating_sub(age).saturating_sub(on_the_way).max(before);
            s.held = Some(Held { number, made_at, carried });
        }
        Ok(())
    }

    /// Time passes: a planner is asked, links that stall are given up, partners are looked for.
    pub fn clock(&mut self, now: i64) {
        if now < self.round_at {
            return;
        }
        let quarter = self.pace.round / 4;
        self.round_at = now + self.pace.round + self.chance().i64(-quarter..=quarter);
        self.give_up(now);
        self.look_for_partners(now);
        let idle: Vec<u64> = self.links.iter().filter(|(_, l)| l.open.is_none()).map(|(n, _)| *n).collect();
        if !idle.is_empty() {
            let n = self.chance().usize(0..idle.len());
            self.ask(now, idle[n]);
        }
    }

    fn give_up(&mut self, now: i64) {
        let patience = self.pace.patience;
        let stalls = |l: &Link| l.open.is_some_and(|open| now >= open.1 + patience);
        let stalled: Vec<u64> = self.links.iter().filter(|(_, l)| stalls(l)).map(|(n, _)| *n).collect();
        stalled.into_iter().for_each(|link| self.hang(now, link));
        let dead: Vec<usize> =
            self.dialling.iter().filter(|(_, at)| now >= **at + patience).map(|x| *x.0).collect();
        dead.into_iter().for_each(|seat| self.failed(now, seat));
    }

    fn hang(&mut self, now: i64, link: u64) {
        self.unlinked(now, link);
        self.calls.push_back(Call::Hang { link });
    }

    /// Planners that it links to, or is about to.
    fn partners(&self) -> usize {
        self.links.values().filter(|l| l.ours).count() + self.dialling.len()
    }

    fn look_for_partners(&mut self, now: i64) {
        let linked = |seat: usize| self.links.values().any(|l| l.seat == seat);
        let may = |(seat, s): (usize, &Seat<C>)| {
            let free = seat != self.me && !linked(seat) && !self.dialling.contains_key(&seat);
            (free && s.address.is_some() && now >= s.again_at).then_some(seat)
        };
        let mut may: Vec<usize> = self.seats.iter().enumerate().filter_map(may).collect();
        self.chance().shuffle(&mut may);
        if now >= self.swap_at {
            self.swap_at = now + self.pace.swap;
            let ours: Vec<u64> = self.links.iter().filter(|(_, l)| l.ours).map(|(n, _)| *n).collect();
            if self.partners() >= self.pace.partners && !may.is_empty() && !ours.is_empty() {
                let n = self.chance().usize(0..ours.len());
                self.hang(now, ours[n]);
            }
        }
        let lacks = self.pace.partners.saturating_sub(self.partners());
        for seat in may.into_iter().take(lacks) {
            let Some(address) = self.seats[seat].address.clone() else { continue };
            self.dialling.insert(seat, now);
            self.calls.push_back(Call::Dial { seat, address });
        }
    }

    fn ask(&mut self, now: i64, link: u64) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.open.is_none()) else { return };
        self.questions += 1;
        let question = self.questions;
        (l.open, l.asked_at) = (Some((question, now)), now);
        let has = |seat| {
            let (token, number) = self.has(now, seat);
            (number > 0).then_some((seat, token, number))
        };
        let has = (0..self.seats.len()).filter_map(has).collect();
        self.calls.push_back(Call::Ask { link, question, has });
    }

    /// What is held of a seat that is worth passing on.
    fn has(&self, now: i64, seat: usize) -> (u64, u64) {
        let s = &self.seats[seat];
        let fresh = s.held.as_ref().filter(|h| now - h.made_at <= self.pace.fresh);
        fresh.map_or((0, 0), |h| (s.token, h.number))
    }

    // What it knows.

    /// What is known of a seat at this moment.
    pub fn heard(&self, now: i64, seat: usize) -> Heard<'_, C> {
        let Some(s) = self.seats.get(seat).filter(|s| s.token > 0) else { return Heard::Nobody };
        let Some(h) = &s.held else { return Heard::Unheard { token: s.token, age: None } };
        let age = (now - h.made_at).max(0);
        if age > self.pace.fresh {
            return Heard::Unheard { token: s.token, age: Some(age) };
        }
        Heard::Fresh { token: s.token, number: h.number, age, carried: &h.carried }
    }

    /// Seats that there are, this planner's own among them.
    pub fn seats(&self) -> usize {
        self.seats.len()
    }

    /// Who is at the other end of a link.
    pub fn peer(&self, link: u64) -> Option<usize> {
        self.links.get(&link).map(|l| l.seat)
    }

    /// The planners to which a link stands.
    pub fn linked_to(&self) -> impl Iterator<Item = usize> + '_ {
        self.links.values().map(|l| l.seat)
    }
}
