//! A planner's side of the council on sockets: links to the voters, the seat that it holds, the duties beside
//! it, and the word that comes before each act. It decides nothing: `basaltpitch_lease` says what to ask
//! for and what is held.
use crate::voter_links::{awake, follow, process_name, Heard, VoterEndpoint};
use basaltpitch_agent::link::{Clock, Order};
use basaltpitch_agent::session::{Links, Party};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::member::{Call, Member};
use basaltpitch_lease::record::{Have, Holders, Known, Said};
use basaltpitch_lease::seats::Seats;
use basaltpitch_lease::{agreed, Answer, Note, Terms};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const INBOX: usize = 256;

/// What a process brings to the council.
pub struct LeaseClientConfig {
    /// How long votes bind.
    pub lease_config: Terms,
    /// All voters.
    pub voters: Vec<VoterEndpoint>,
    /// The slots that it may take.
    pub slots: Vec<Rc<str>>,
    /// The leases that it acquires beside a slot.
    pub leases: Vec<Rc<str>>,
    /// The leases whose metadata it follows while it holds one of `leases`.
    pub followed: Vec<Rc<str>>,
    /// What the names of all slots begin with, for a process that is to know of the others while it has a slot.
    pub slot_prefix: Option<Rc<str>>,
    /// The leases whose metadata it is to know of while it has a slot.
    pub announced: Vec<Rc<str>>,
    /// Where events of leases go, for a process that wants them without a slot.
    pub events: Option<mpsc::Sender<LeaseEvent>>,
    /// Who it is: a name of its own and the time of its start.
    pub identity: Party,
    /// What its links to voters share with the others of the process.
    pub links: Links,
    /// Where chance starts from.
    pub seed: u64,
}

/// Until when a seat or duty is held, by the clock that runs on in suspension. To be asked before each act.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseDeadline(Rc<Cell<i64>>);

impl LeaseDeadline {
    /// Held until then, in microseconds of `awake`.
    pub fn at_us(at: i64) -> LeaseDeadline {
        LeaseDeadline(Rc::new(Cell::new(at)))
    }

    pub fn is_held(&self) -> bool {
        awake() < self.0.get()
    }
}

/// What the council tells the process.
#[derive(Debug)]
pub enum SlotEvent {
    /// A slot is held from now on. What comes of other leases meanwhile is received from `lease_events`.
    Acquired {
        /// The slot's name.
        slot: Rc<str>,
        /// Its fencing token.
        token: u64,
        /// Events of the leases beside the slot, until it is lost.
        lease_events: mpsc::Receiver<LeaseEvent>,
    },
    /// The slot is held no more.
    Lost,
}

/// What a voter keeps of one lease that its holder announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The lease's name.
    pub lease: Rc<str>,
    /// The token of its holder, or the one under which the metadata was written.
    pub token: u64,
    /// What the holder has written, if anything.
    pub metadata: Option<Vec<u8>>,
}

/// What becomes of the leases beside a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// It is held from now on, until the deadline passes.
    Acquired {
        /// The lease's name.
        lease: Rc<str>,
        /// Its fencing token.
        token: u64,
        /// What its last holder left.
        metadata: Vec<u8>,
        /// Until when its holder may act.
        deadline: LeaseDeadline,
    },
    /// It is held no more.
    Lost {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// A majority keeps the metadata that was last written.
    MetadataRecorded {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// The metadata of a followed lease, as a majority keeps it.
    MetadataChanged {
        /// The lease's name.
        lease: Rc<str>,
        /// What its holder has written.
        metadata: Vec<u8>,
    },
    /// Slots and announced leases that changed, as one voter keeps them.
    Records(Vec<LeaseRecord>),
    /// All slots that are held now, as one voter keeps them.
    HeldSlots(Vec<Rc<str>>),
}

/// What the process asks of its lease client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCommand {
    /// What acted under the slot has stopped: it is released, and none is wanted any more.
    ReleaseAll,
    /// What acted under a slot that was lost has stopped: another may be taken.
    SeekSlot,
    /// Metadata is to be kept by a majority, if the lease is held under this token.
    WriteMetadata {
        /// The lease's name.
        lease: Rc<str>,
        /// The token under which it is held.
        token: u64,
        /// What is to be kept.
        metadata: Vec<u8>,
    },
}

struct Actor {
    term: i64,
    member: Member<Rc<str>>,
    seats: Seats<Rc<str>>,
    me: Rc<str>,
    voters: Vec<Option<mpsc::Sender<Order>>>,
    tenure: LeaseDeadline,
    words: mpsc::Sender<SlotEvent>,
    seated: Option<Rc<str>>,
    /// Whether a seat is wanted at all.
    seeks: bool,
    duties: Vec<Rc<str>>,
    follows: Vec<Rc<str>>,
    peers: Option<Rc<str>>,
    of_words: Vec<Rc<str>>,
    /// Looks since it was seated: at each, another voter is asked for the seats.
    looked: usize,
    /// What it has of each voter's record, by what the duties' names begin with.
    known: Known<Rc<str>, Rc<str>>,
    /// Which seats are held, as each voter tells it.
    holders: Holders<Rc<str>>,
    /// Of the duties beside the seat that are held: token and tenure, and the number of the last note
    /// written.
    held: BTreeMap<Rc<str>, (u64, LeaseDeadline, u64)>,
    /// Where what comes of them is told, while it is seated.
    acts: Option<mpsc::Sender<LeaseEvent>>,
    /// By followed duty and voter: the note that it keeps. And what was last told of each.
    notes: BTreeMap<(Rc<str>, usize), Note>,
    noted: BTreeMap<Rc<str>, (u64, u64)>,
    /// RollingRestartConfig that are handed on, and to whom; and when what was handed on is wanted again.
    handing: BTreeMap<Rc<str>, String>,
    rests: BTreeMap<Rc<str>, i64>,
}

/// Takes a seat when one is free, holds it, and says when it is lost; until `wishes` ends or says to leave.
pub async fn run(
    start: LeaseClientConfig,
    tenure: LeaseDeadline,
    words: mpsc::Sender<SlotEvent>,
    mut wishes: mpsc::Receiver<LeaseCommand>,
) {
    let LeaseClientConfig {
        lease_config: terms,
        voters,
        slots: seats,
        leases: duties,
        followed: follows,
        slot_prefix: peers,
        announced: of_words,
        events: acts,
        identity: me,
        links,
        seed,
    } = start;
    let clock = Clock::start();
    let (heard_out, mut heard) = mpsc::channel(INBOX);
    for (v, way) in voters.iter().enumerate() {
        tokio::task::spawn_local(follow(v, way.clone(), links.clone(), me.clone(), clock, heard_out.clone()));
    }
    let mut a = Actor {
        term: terms.term,
        member: Member::new(terms, voters.len(), seed, me.epoch),
        seats: Seats::new(seats, voters.len(), seed),
        me: process_name(&me.name, me.epoch),
        voters: vec![None; voters.len()],
        tenure,
        words,
        seated: None,
        seeks: true,
        duties,
        follows,
        peers,
        of_words,
        looked: 0,
        known: Known::default(),
        holders: Holders::default(),
        held: BTreeMap::new(),
        acts,
        notes: BTreeMap::new(),
        noted: BTreeMap::new(),
        handing: BTreeMap::new(),
        rests: BTreeMap::new(),
    };
    if a.acts.is_some() {
        a.duties.iter().for_each(|duty| a.member.want(awake(), duty.clone()));
    }
    let mut looks = tokio::time::interval(Duration::from_micros((terms.term / 4).max(10_000) as u64));
    // Looks that were not needed while a seat was held are not made up.
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        a.want_again();
        a.member.clock(awake());
        a.carry_out().await;
        let wait = a.member.next_at().map_or(1_000_000, |at| (at - awake()).clamp(0, 1_000_000));
        tokio::select! {
            biased;
            wish = wishes.recv() => match wish {
                Some(LeaseCommand::SeekSlot) => a.again(),
                Some(LeaseCommand::WriteMetadata { lease, token, metadata }) => a.write(lease, token, metadata),
                Some(LeaseCommand::ReleaseAll) | None => {
                    a.leave();
                    a.carry_out().await;
                    // The links' tasks hand the last frames over.
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    return;
                }
            },
            Some((v, heard)) = heard.recv() => a.hear(v, heard),
            _ = looks.tick() => a.look(),
            () = tokio::time::sleep(Duration::from_micros(wait as u64)) => {}
        }
    }
}

impl Actor {
    fn all_voters(&mut self, body: impl Fn() -> Body) {
        for orders in self.voters.iter().flatten() {
            // What a voter that does not read is not handed counts as lost.
            let _ = orders.try_send(Order::Send(body(), None));
        }
    }

    /// Asks what the voters keep, as far as it is needed.
    fn look(&mut self) {
        if self.seeks && self.seated.is_none() {
            let record = wire::Record { brief: self.held.is_empty(), ..wire::Record::default() };
            self.all_voters(|| Body::Record(record.clone()));
        } else if !self.held.is_empty() {
            // What a majority keeps is wanted of notes that are followed.
            (0..self.voters.len()).for_each(|v| self.follows.iter().for_each(|of| self.ask_record(v, of)));
        }
        let Some(prefix) = self.peers.as_ref().filter(|_| self.seated.is_some()) else { return };
        // Of a holder that renewed each voter of its majority knows: one is enough, and another each time, as
        // one may be cut off or behind. Just seated, it asks them all.
        self.looked += 1;
        if self.looked == 1 || self.looked.is_multiple_of(2) {
            let linked: Vec<usize> = (0..self.voters.len()).filter(|&v| self.voters[v].is_some()).collect();
            let one = linked.get(self.looked / 2 % linked.len().max(1)).filter(|_| self.looked > 1);
            for v in one.map_or(linked.clone(), |one| vec![*one]) {
                std::iter::once(prefix).chain(&self.of_words).for_each(|prefix| self.ask_record(v, prefix));
            }
        }
    }

    /// Asks a voter for duties whose names begin so, as far as they changed since it was heard.
    fn ask_record(&self, v: usize, prefix: &Rc<str>) {
        let Have { life, revision } = self.known.has(v, prefix);
        let ask = wire::Record { brief: true, prefix: prefix.to_string(), life, revision };
        if let Some(orders) = &self.voters[v] {
            let _ = orders.try_send(Order::Send(Body::Record(ask), None));
        }
    }

    /// Tells who has seats, as a voter keeps it, where that is news: in one word, so that hundreds of them don't
    /// fill the way of what must be told.
    fn tell_seats(&mut self, v: usize, kept: &wire::Kept) {
        let (Some(acts), Some(prefix)) = (&self.acts, &self.peers) else { return };
        let part = Rc::from(kept.prefix.as_str());
        let said = Said { since: kept.since, to: Have { life: kept.life, revision: kept.revision } };
        if !self.known.counts(v, &part, &said) {
            return;
        }
        let held = |d: &&wire::KeptDuty| d.duty.starts_with(&**prefix) && d.renewed && !d.holder.is_empty();
        let is_word =
            |d: &&wire::KeptDuty| !d.note.is_empty() && self.of_words.iter().any(|w| **w == *d.duty);
        let word = |d: &wire::KeptDuty| -> ((u64, u64), LeaseRecord) {
            (
                (d.note_token, d.note_number),
                LeaseRecord {
                    lease: Rc::from(d.duty.as_str()),
                    token: d.note_token,
                    metadata: Some(d.note.clone()),
                },
            )
        };
        let seat = |d: &wire::KeptDuty| -> ((u64, u64), LeaseRecord) {
            let note = (d.note_token == d.token && !d.note.is_empty()).then(|| d.note.clone());
            let number = note.as_ref().map_or(0, |_| d.note_number);
            (
                (d.token, number),
                LeaseRecord { lease: Rc::from(d.duty.as_str()), token: d.token, metadata: note },
            )
        };
        let words = kept.duties.iter().filter(is_word).map(word);
        let all = kept.duties.iter().filter(held).map(seat).chain(words);
        let all = all.filter(|(of, told)| self.known.is_news(&told.lease, *of));
        let (news, all): (Vec<_>, Vec<LeaseRecord>) =
            all.map(|(of, told)| ((told.lease.clone(), of), told)).unzip();
        // Not taken, it is told at one of the next looks; who holds what goes by the same revision.
        if !all.is_empty() && acts.try_send(LeaseEvent::Records(all)).is_err() {
            return;
        }
        self.known.took(v, &part, &said, news);
        if part == *prefix {
            let is_seat = |d: &&wire::KeptDuty| d.duty.starts_with(&**prefix);
            let lasts = |d: &wire::KeptDuty| d.renewed && !d.holder.is_empty() && d.left_us > 0;
            let seats = kept.duties.iter().filter(is_seat).map(|d| (Rc::from(d.duty.as_str()), lasts(d)));
            self.holders.told(v, &said, seats);
            let _ = acts.try_send(LeaseEvent::HeldSlots(self.holders.of(v).cloned().collect()));
        }
    }

    fn hear(&mut self, v: usize, heard: Heard) {
        let now = awake();
        match heard {
            Heard::Up(orders) => {
                let brief = wire::Record { brief: true, ..wire::Record::default() };
                let _ = orders.try_send(Order::Send(Body::Record(brief), None));
                self.voters[v] = Some(orders);
            }
            Heard::Down => {
                self.voters[v] = None;
                self.seats.unheard(v);
            }
            Heard::Frame(Body::Votes(all)) if all.term_us < self.term => {
                // Files that differ: it would hold a seat that its voters have given away.
                let (found, expected) = (all.term_us, self.term);
                tracing::error!(voter = v, found, expected, "council.term: a voter's vote binds for less");
            }
            Heard::Frame(Body::Votes(all)) => {
                for vote in all.votes {
                    let note = Note { token: vote.note_token, number: vote.note_number, text: vote.note };
                    let answer = match vote.granted {
                        true => Answer::Granted { note },
                        false => Answer::Refused { token: vote.token, left: vote.left_us },
                    };
                    self.member.answered(now, v, &vote.duty.into(), vote.round, answer);
                }
            }
            Heard::Frame(Body::Freed(freed)) => {
                let duty = freed.duty.into();
                if freed.handed {
                    // What it has handed on itself a moment ago is no reason to leave this one.
                    let duties = &self.duties;
                    self.rests.retain(|duty, _| duties.contains(duty));
                }
                self.seats.freed(v, &duty);
                self.seek(now);
                self.member.freed(now, &duty);
            }
            Heard::Frame(Body::Kept(kept)) => {
                if self.seated.is_none() {
                    // Seated, it may have asked for some duties alone.
                    let others = kept.duties.iter().filter(|d| d.left_us > 0 && *d.holder != *self.me);
                    self.seats.told(v, others.map(|d| Rc::from(d.duty.as_str())));
                    self.seek(now);
                }
                self.tell_seats(v, &kept);
                for d in kept.duties {
                    if let Some(of) = self.follows.iter().find(|f| ***f == *d.duty && !d.note.is_empty()) {
                        let note = Note { token: d.note_token, number: d.note_number, text: d.note };
                        self.notes.insert((of.clone(), v), note);
                    }
                }
                if !self.held.is_empty() {
                    self.follow_notes();
                }
            }
            Heard::Frame(Body::HandOn(h)) => self.hand_on(now, h.duty.into(), h.to, h.token),
            Heard::Frame(_) => {}
        }
    }

    /// An operator wants what is held here to go to another. A seat is given back once its life has ended.
    fn hand_on(&mut self, now: i64, duty: Rc<str>, to: String, token: u64) {
        let is_seat = self.seated.as_ref() == Some(&duty);
        if self.member.holds(now, &duty) != Some(token) || self.handing.contains_key(&duty) {
            return;
        }
        // Not taken, it is no harm: the operator asks again.
        if is_seat && self.words.try_send(SlotEvent::Lost).is_err() {
            return;
        }
        tracing::info!(duty = &*duty, to, "handed on at an operator's word");
        self.handing.insert(duty.clone(), to);
        if !is_seat {
            self.member.leave(&duty);
        }
    }

    /// What acted under the seat has stopped.
    fn again(&mut self) {
        self.seeks = true;
        if let Some(seat) = self.seated.clone().filter(|seat| self.handing.contains_key(seat)) {
            self.member.leave(&seat);
        }
    }

    /// What was handed on is wanted again after a term; before that it would be taken back.
    fn want_again(&mut self) {
        let now = awake();
        let due = self.rests.extract_if(.., |_, at| now >= *at);
        let due: Vec<Rc<str>> = due.map(|r| r.0).filter(|duty| self.duties.contains(duty)).collect();
        if self.seated.is_some() {
            due.into_iter().for_each(|duty| self.member.want(now, duty));
        }
    }

    /// Asks for a seat that looks free, if none is held.
    fn seek(&mut self, now: i64) {
        // Who handed its seat on takes none before another could.
        if !self.seeks || self.seated.is_some() || !self.rests.is_empty() {
            return;
        }
        let (wants, leaves) = self.seats.choose();
        leaves.iter().for_each(|duty| self.member.leave(duty));
        wants.into_iter().for_each(|duty| self.member.want(now, duty));
    }

    /// Tells of each followed duty the note that a majority keeps, if it is another than before.
    fn follow_notes(&mut self) {
        for duty in &self.follows {
            let kept = self.notes.iter().filter(|n| n.0 .0 == *duty).map(|n| n.1);
            let Some(note) = agreed(self.voters.len(), kept) else { continue };
            let of = (note.token, note.number);
            if self.noted.get(duty) != Some(&of) {
                let word = LeaseEvent::MetadataChanged { lease: duty.clone(), metadata: note.text.clone() };
                // Not taken, it is told at the next look.
                if self.acts.as_ref().is_some_and(|acts| acts.try_send(word).is_ok()) {
                    self.noted.insert(duty.clone(), of);
                }
            }
        }
    }

    fn write(&mut self, duty: Rc<str>, token: u64, text: Vec<u8>) {
        if let Some(held) = self.held.get_mut(&duty).filter(|h| h.0 == token) {
            if let Some(number) = self.member.write(awake(), &duty, text) {
                held.2 = number;
            }
        } else if self.seated.as_ref() == Some(&duty) && self.member.holds(awake(), &duty) == Some(token) {
            self.member.write(awake(), &duty, text);
        }
    }

    /// Tells of a duty beside the seat. Who does not take it does not act on it: others shall have it.
    fn tell(&mut self, word: LeaseEvent) {
        if self.acts.as_ref().is_some_and(|acts| acts.try_send(word).is_err()) {
            self.leave_duties();
        }
    }

    fn leave_duties(&mut self) {
        self.held.values().for_each(|h| h.1 .0.set(0));
        self.held.clear();
        (self.acts, self.noted) = (None, BTreeMap::new());
        self.duties.iter().for_each(|duty| self.member.leave(duty));
    }

    fn leave(&mut self) {
        self.tenure.0.set(0);
        self.leave_duties();
        if let Some(duty) = self.seats.wanted().cloned() {
            self.member.leave(&duty);
        }
    }

    async fn carry_out(&mut self) {
        let mut ballots = Vec::new();
        while let Some(call) = self.member.next_call() {
            match call {
                Call::Ask { duty, token, round, note, renews } => {
                    let (note_number, note) = note.map_or((0, Vec::new()), |n| (n.number, n.text));
                    let ballot =
                        wire::Ballot { duty: duty.to_string(), token, round, note_number, note, renews };
                    ballots.push(ballot);
                    // A voter that cannot be asked is not waited for: votes of the others are given back
                    // sooner.
                    for v in (0..self.voters.len()).filter(|&v| self.voters[v].is_none()) {
                        let refused = Answer::Refused { token: 0, left: 0 };
                        self.member.answered(awake(), v, &duty, round, refused);
                    }
                }
                Call::GiveBack { duty, token } => {
                    // What is given back may be among what is asked for in this moment.
                    self.ask(&mut ballots);
                    let to = self.handing.remove(&duty);
                    if to.is_some() {
                        self.rests.insert(duty.clone(), awake() + self.term);
                    }
                    let to = to.unwrap_or_default();
                    let back = wire::GiveBack { duty: duty.to_string(), token, to };
                    self.all_voters(|| Body::GiveBack(back.clone()));
                }
                Call::Won { duty, token, note } if self.duties.contains(&duty) => {
                    tracing::info!(duty = &*duty, token, "the duty is held");
                    let now = awake();
                    let tenure = LeaseDeadline::at_us(now + self.member.left(now, &duty));
                    self.held.insert(duty.clone(), (token, tenure.clone(), 0));
                    self.noted.clear();
                    self.tell(LeaseEvent::Acquired {
                        lease: duty,
                        token,
                        metadata: note.text,
                        deadline: tenure,
                    });
                }
                Call::Won { duty, token, .. } => {
                    tracing::info!(seat = &*duty, token, "seated");
                    // Another life wants to be told all anew.
                    (self.seated, self.looked, self.known) = (Some(duty.clone()), 0, Known::default());
                    self.holders = Holders::default();
                    let (acts, duties) = mpsc::channel(INBOX);
                    self.acts = Some(acts);
                    let _ = self
                        .words
                        .send(SlotEvent::Acquired { slot: duty, token, lease_events: duties })
                        .await;
                    let (now, all) = (awake(), self.duties.clone());
                    all.into_iter().for_each(|duty| self.member.want(now, duty));
                    // Before its first machine is linked it is to know what is said of halls.
                    self.look();
                }
                Call::Lost { duty, token } if self.duties.contains(&duty) => {
                    tracing::info!(duty = &*duty, token, "the duty is held no more");
                    if let Some((_, tenure, _)) = self.held.remove(&duty) {
                        tenure.0.set(0);
                    }
                    self.tell(LeaseEvent::Lost { lease: duty });
                }
                Call::Lost { duty, token } => {
                    tracing::warn!(seat = &*duty, token, "the seat is lost");
                    // It comes back as a spare once what acted under the seat has stopped.
                    (self.seated, self.seeks) = (None, false);
                    self.leave_duties();
                    self.member.leave(&duty);
                    self.seats.unseated();
                    let _ = self.words.send(SlotEvent::Lost).await;
                }
                Call::Recorded { duty, number } => {
                    if self.held.get(&duty).is_some_and(|h| h.2 == number) {
                        self.tell(LeaseEvent::MetadataRecorded { lease: duty });
                    }
                }
            }
        }
        self.ask(&mut ballots);
        let now = awake();
        let until = |duty: &Rc<str>| match self.member.left(now, duty) {
            0 => 0,
            left => now + left,
        };
        self.tenure.0.set(self.seated.as_ref().map_or(0, until));
        self.held.iter().for_each(|(duty, held)| held.1 .0.set(until(duty)));
    }

    /// All that is asked for in one moment goes in one frame.
    fn ask(&mut self, ballots: &mut Vec<wire::Ballot>) {
        if !ballots.is_empty() {
            let ballots = std::mem::take(ballots);
            self.all_voters(|| Body::Ballots(wire::Ballots { ballots: ballots.clone() }));
        }
    }
}
