//! A planner's side of the council on sockets: links to the voters, the seat that it holds, and the word that
//! comes before each act. It decides nothing: `basaltpitch_council` says what to ask for and what is held.
use basaltpitch_agent::link::{self, Clock, News, Order};
use basaltpitch_agent::session::{Event, Party};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_council::member::{Call, Member};
use basaltpitch_council::seats::Seats;
use basaltpitch_council::{Answer, Note, Terms};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const INBOX: usize = 256;
const ORDERS: usize = 256;
const CONNECTS: Duration = Duration::from_millis(500);
/// A voter that did not answer is dialled again after this time.
const AGAIN: Duration = Duration::from_millis(100);

/// Microseconds of a clock that runs on while the machine is suspended.
pub fn awake() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec * 1_000_000 + t.tv_nsec / 1000
}

/// The way to a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    pub name: String,
    pub address: String,
}

/// What a process brings to the council.
pub struct Start {
    pub terms: Terms,
    pub voters: Vec<Way>,
    /// The seats that it may take.
    pub seats: Vec<Rc<str>>,
    /// Who it is: a name of its own and the time of its start.
    pub me: Party,
    pub seed: u64,
}

/// Until when a seat is held, by the clock that runs on in suspension. To be asked before each act.
#[derive(Clone, Default)]
pub struct Tenure(Rc<Cell<i64>>);

impl Tenure {
    pub fn holds(&self) -> bool {
        awake() < self.0.get()
    }
}

/// What the council tells the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    Seated { seat: Rc<str>, token: u64 },
    Unseated,
}

/// What the process asks of the council.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// What acted under the seat has stopped: it is given back, and none is wanted any more.
    Leave,
    /// What acted under a seat that was lost has stopped: another may be taken.
    Again,
}

/// Runs one link: orders in, news out; `Ended` is the last of them.
fn dial(way: Way, me: Party, clock: Clock) -> (mpsc::Sender<Order>, mpsc::Receiver<News>) {
    let (orders, orders_in) = mpsc::channel(ORDERS);
    let (news_out, news) = mpsc::channel(INBOX);
    tokio::task::spawn_local(async move {
        let why = match tokio::time::timeout(CONNECTS, TcpStream::connect(&way.address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                return link::run(stream, me, clock, orders_in, news_out, |n| n).await;
            }
            Ok(Err(e)) => format!("no connection: {e}"),
            Err(_) => "no connection in time".into(),
        };
        let _ = news_out.send(News::Ended { why, unsent: Vec::new() }).await;
    });
    (orders, news)
}

struct Actor {
    term: i64,
    member: Member<Rc<str>>,
    seats: Seats<Rc<str>>,
    me: Rc<str>,
    voters: Vec<Option<mpsc::Sender<Order>>>,
    tenure: Tenure,
    words: mpsc::Sender<Word>,
    seated: Option<Rc<str>>,
    /// Whether a seat is wanted at all.
    seeks: bool,
}

/// Takes a seat when one is free, holds it, and says when it is lost; until `wishes` ends or says to leave.
pub async fn run(start: Start, tenure: Tenure, words: mpsc::Sender<Word>, mut wishes: mpsc::Receiver<Wish>) {
    let Start { terms, voters, seats, me, seed } = start;
    let clock = Clock::start();
    let (heard_out, mut heard) = mpsc::channel(INBOX);
    for (v, way) in voters.iter().enumerate() {
        tokio::task::spawn_local(follow(v, way.clone(), me.clone(), clock, heard_out.clone()));
    }
    let mut a = Actor {
        term: terms.term,
        member: Member::new(terms, voters.len(), seed, me.epoch),
        seats: Seats::new(seats, voters.len(), seed),
        me: crate::voter::member_name(&me.name, me.epoch),
        voters: vec![None; voters.len()],
        tenure,
        words,
        seated: None,
        seeks: true,
    };
    let mut looks = tokio::time::interval(Duration::from_micros((terms.term / 4).max(10_000) as u64));
    // Looks that were not needed while a seat was held are not made up.
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        a.member.clock(awake());
        a.carry_out().await;
        let wait = a.member.next_at().map_or(1_000_000, |at| (at - awake()).clamp(0, 1_000_000));
        tokio::select! {
            biased;
            wish = wishes.recv() => match wish {
                Some(Wish::Again) => a.seeks = true,
                Some(Wish::Leave) | None => {
                    a.leave();
                    a.carry_out().await;
                    // The links' tasks hand the last frames over.
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    return;
                }
            },
            Some((v, heard)) = heard.recv() => a.hear(v, heard),
            _ = looks.tick(), if a.seeks && a.seated.is_none() => {
                a.all_voters(|| Body::Record(wire::Record {}));
            }
            () = tokio::time::sleep(Duration::from_micros(wait as u64)) => {}
        }
    }
}

/// What is heard of one voter's link: a way to order it, a frame, or its end.
pub(crate) enum Heard {
    Up(mpsc::Sender<Order>),
    Frame(Body),
    Down,
}

/// Keeps a link to one voter, whose place among all is `v`.
pub(crate) async fn follow(v: usize, way: Way, me: Party, clock: Clock, heard: mpsc::Sender<(usize, Heard)>) {
    let mut links = 0;
    loop {
        links += 1;
        let (orders, mut news) = dial(way.clone(), Party { link: links, ..me.clone() }, clock);
        while let Some(news) = news.recv().await {
            let word = match news {
                News::Session(Event::Up(party))
                    if party.role == wire::Role::Voter && party.name == way.name =>
                {
                    Heard::Up(orders.clone())
                }
                News::Session(Event::Up(party)) => {
                    tracing::error!(voter = way.name, found = party.name, "another than the voter answers");
                    break;
                }
                News::Session(Event::Frame(body)) => Heard::Frame(body),
                News::Session(_) => continue,
                News::Ended { why, .. } => {
                    tracing::debug!(voter = way.name, why, "no link");
                    break;
                }
            };
            if heard.send((v, word)).await.is_err() {
                return;
            }
        }
        if heard.send((v, Heard::Down)).await.is_err() {
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

impl Actor {
    fn all_voters(&mut self, body: impl Fn() -> Body) {
        for orders in self.voters.iter().flatten() {
            // What a voter that does not read is not handed counts as lost.
            let _ = orders.try_send(Order::Send(body(), None));
        }
    }

    fn hear(&mut self, v: usize, heard: Heard) {
        let now = awake();
        match heard {
            Heard::Up(orders) => {
                let _ = orders.try_send(Order::Send(Body::Record(wire::Record {}), None));
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
                self.seats.freed(v, &duty);
                self.seek(now);
                self.member.freed(now, &duty);
            }
            Heard::Frame(Body::Kept(kept)) => {
                let others = kept.duties.iter().filter(|d| d.left_us > 0 && *d.holder != *self.me);
                self.seats.told(v, others.map(|d| Rc::from(d.duty.as_str())));
                self.seek(now);
            }
            Heard::Frame(_) => {}
        }
    }

    /// Asks for a seat that looks free, if none is held.
    fn seek(&mut self, now: i64) {
        if !self.seeks || self.seated.is_some() {
            return;
        }
        let (wants, leaves) = self.seats.choose();
        leaves.iter().for_each(|duty| self.member.leave(duty));
        wants.into_iter().for_each(|duty| self.member.want(now, duty));
    }

    fn leave(&mut self) {
        self.tenure.0.set(0);
        if let Some(duty) = self.seats.wanted().cloned() {
            self.member.leave(&duty);
        }
    }

    async fn carry_out(&mut self) {
        while let Some(call) = self.member.next_call() {
            match call {
                Call::Ask { duty, token, round, note } => {
                    let (note_number, note) = note.map_or((0, Vec::new()), |n| (n.number, n.text));
                    let ballot = wire::Ballot { duty: duty.to_string(), token, round, note_number, note };
                    self.all_voters(|| Body::Ballots(wire::Ballots { ballots: vec![ballot.clone()] }));
                    // A voter that cannot be asked is not waited for: votes of the others are given back
                    // sooner.
                    for v in (0..self.voters.len()).filter(|&v| self.voters[v].is_none()) {
                        let refused = Answer::Refused { token: 0, left: 0 };
                        self.member.answered(awake(), v, &duty, round, refused);
                    }
                }
                Call::GiveBack { duty, token } => {
                    let back = wire::GiveBack { duty: duty.to_string(), token };
                    self.all_voters(|| Body::GiveBack(back.clone()));
                }
                Call::Won { duty, token, .. } => {
                    tracing::info!(seat = &*duty, token, "seated");
                    self.seated = Some(duty.clone());
                    let _ = self.words.send(Word::Seated { seat: duty, token }).await;
                }
                Call::Lost { duty, token } => {
                    tracing::warn!(seat = &*duty, token, "the seat is lost");
                    // It comes back as a spare once what acted under the seat has stopped.
                    (self.seated, self.seeks) = (None, false);
                    self.member.leave(&duty);
                    self.seats.unseated();
                    let _ = self.words.send(Word::Unseated).await;
                }
                Call::Recorded { .. } => {}
            }
        }
        let now = awake();
        let left = self.seated.as_ref().map_or(0, |duty| self.member.left(now, duty));
        self.tenure.0.set(if left > 0 { now + left } else { 0 });
    }
}
