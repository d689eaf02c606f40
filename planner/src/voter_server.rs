//! A voter of the council on sockets: one actor owns the votes, queues are bounded. What it votes is on the
//! disk before it is said, where it has one.
use crate::voter_links::{awake, follow, process_name, Heard, VoterEndpoint};
use basaltpitch_agent::accepting::Accepting;
use basaltpitch_agent::link::{self, Clock, News, Order};
use basaltpitch_agent::session::{Event, Links, Party};
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_lease::record::{Have, Revisions, Said};
use basaltpitch_lease::voter::{Kept, Voter};
use basaltpitch_lease::{Answer, Note, Terms};
use basaltpitch_snapshot_store::Store;
use prost::Message;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const INBOX: usize = 1024;
const ORDERS: usize = 1024;
/// Frames that are answered together: their votes are written to the disk at once.
const BATCH: usize = 256;
/// How often a voter that lacks what it kept asks the others.
const ASKS_EVERY: Duration = Duration::from_millis(200);
/// Bytes of a duty's name and of a note.
const LONGEST_DUTY: usize = 200;
pub const LONGEST_NOTE: usize = 64 << 10;
/// Holders of a duty that are remembered for operators.
const MOST_PAST: usize = 8;
const VOTES: &str = "votes";
const FORMAT: u32 = 1;

/// What a voter is started with.
pub struct VoterConfig {
    pub name: String,
    pub terms: Terms,
    /// All voters; `me` is its place among them.
    pub voters: Vec<VoterEndpoint>,
    pub me: usize,
    pub store: Option<Store>,
}

/// Who held each duty, the newest last.
type Past = HashMap<Rc<str>, VecDeque<wire::Holding>>;

struct Conn {
    orders: mpsc::Sender<Order>,
    party: Option<Party>,
}

struct Actor {
    term: i64,
    voter: Voter<Rc<str>, Rc<str>>,
    past: Past,
    /// By which it tells what changed.
    revisions: Revisions<Rc<str>>,
    conns: HashMap<u64, Conn>,
    /// The other voters that are linked, by their place among all.
    others: HashMap<usize, mpsc::Sender<Order>>,
    store: Option<Store>,
    links: Links,
}

/// Votes until `stop` is done.
pub async fn serve(listener: TcpListener, start: VoterConfig, stop: impl std::future::Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(actor(listener, start, stop)).await;
}

/// What was kept, or nothing: then the voter has lost what it kept, or never had any.
fn begun(start: &VoterConfig) -> (Voter<Rc<str>, Rc<str>>, Past) {
    let lost = || (Voter::lost(start.terms, awake(), start.voters.len()), Past::new());
    let Some(store) = &start.store else { return lost() };
    match store.get(VOTES, FORMAT) {
        Ok(Some(kept)) => match wire::Kept::decode(&kept.bytes[..]) {
            Ok(kept) => {
                let mut past = Past::new();
                let duties = kept.duties.into_iter().map(|k| {
                    past.insert(k.duty.as_str().into(), k.past.into());
                    let holder = Some(k.holder).filter(|h| !h.is_empty()).map(Rc::from);
                    let note = Note { token: k.note_token, number: k.note_number, text: k.note };
                    (Rc::from(k.duty), Kept { token: k.token, holder, until: 0, renewed: k.renewed, note })
                });
                (Voter::restored(start.terms, awake(), duties), past)
            }
            Err(e) => {
                tracing::error!(error = %e, "what was kept makes no sense; asking the other voters");
                lost()
            }
        },
        Ok(None) => lost(),
        Err(e) => {
            tracing::error!(error = %e, "what was kept cannot be read; asking the other voters");
            lost()
        }
    }
}

/// What is kept of duties whose names begin so, as far as `names` has it.
fn kept(
    voter: &Voter<Rc<str>, Rc<str>>,
    past: &Past,
    now: i64,
    wire::Record { brief, prefix, .. }: &wire::Record,
    said: Said,
    names: impl Fn(&Rc<str>) -> bool,
) -> wire::Kept {
    let brief = *brief;
    let asked = |duty: &Rc<str>| duty.starts_with(prefix.as_str()) && names(duty);
    let past = |duty: &Rc<str>| past.get(duty).into_iter().flatten().cloned().collect();
    let duty = |(duty, k): (&Rc<str>, &Kept<Rc<str>>)| wire::KeptDuty {
        duty: duty.to_string(),
        token: k.token,
        holder: k.holder.as_deref().unwrap_or_default().to_owned(),
        left_us: if k.holder.is_some() { (k.until - now).max(0) } else { 0 },
        renewed: k.renewed,
        note_token: k.note.token,
        note_number: k.note.number,
        note: if brief && prefix.is_empty() { Vec::new() } else { k.note.text.clone() },
        past: if brief { Vec::new() } else { past(duty) },
    };
    wire::Kept {
        whole: voter.is_whole(),
        votes_in_us: (voter.votes_from() - now).max(0),
        duties: voter.kept().filter(|(duty, _)| asked(duty)).map(duty).collect(),
        life: said.to.life,
        revision: said.to.revision,
        since: said.since,
        prefix: if said.to.life == 0 { String::new() } else { prefix.clone() },
    }
}

async fn actor(listener: TcpListener, start: VoterConfig, stop: impl std::future::Future<Output = ()>) {
    let clock = Clock::start();
    let (voter, past) = begun(&start);
    let epoch = clock.now() as u64;
    let me = Party { role: Role::Voter, name: start.name.clone(), epoch, link: 0, login: String::new() };
    let (news, mut inbox) = mpsc::channel(INBOX);
    let (heard, mut voters) = mpsc::channel(INBOX);
    let (conns, others) = (HashMap::new(), HashMap::new());
    let mut a = Actor {
        term: start.terms.term,
        voter,
        past,
        revisions: Revisions::new(epoch.max(1)),
        conns,
        others,
        store: start.store,
        links: Links::default(),
    };
    tracing::info!(whole = a.voter.is_whole(), "the voter begins");
    // Links to the other voters, while there is something to learn from them.
    let mut links = tokio::task::JoinSet::new();
    if !a.voter.is_whole() {
        for (n, way) in start.voters.iter().enumerate().filter(|v| v.0 != start.me) {
            links.spawn_local(follow(n, way.clone(), a.links.clone(), me.clone(), clock, heard.clone()));
        }
    }
    let mut asks = tokio::time::interval(ASKS_EVERY);
    let mut conns = 0;
    let mut accepting = Accepting::new(listener);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some((n, heard)) = voters.recv(), if !links.is_empty() => {
                a.hear_voter(n, heard);
                if a.voter.is_whole() {
                    tracing::info!("heard the other voters");
                    links = tokio::task::JoinSet::new();
                    a.others.clear();
                }
            }
            _ = asks.tick(), if !links.is_empty() => {
                let ask = || Order::Send(Body::Record(wire::Record::default()), None);
                a.others.values().for_each(|orders| drop(orders.try_send(ask())));
            }
            Some((conn, first)) = inbox.recv() => {
                let mut batch = vec![(conn, first)];
                while let Some(next) = (batch.len() < BATCH).then(|| inbox.try_recv().ok()).flatten() {
                    batch.push(next);
                }
                a.hear(batch);
            }
            (stream, _) = accepting.next() => {
                conns += 1;
                let conn: u64 = conns;
                let (orders, orders_in) = mpsc::channel(ORDERS);
                a.conns.insert(conn, Conn { orders, party: None });
                let (links, me, news) = (a.links.clone(), me.clone(), news.clone());
                let wrap = move |n| (conn, n);
                tokio::task::spawn_local(link::run_among(links, stream, me, clock, orders_in, news, wrap));
            }
        }
    }
}

impl Actor {
    fn hear_voter(&mut self, n: usize, heard: Heard) {
        match heard {
            Heard::Up(orders) => drop(self.others.insert(n, orders)),
            Heard::Down => drop(self.others.remove(&n)),
            Heard::Frame(Body::Kept(kept)) => {
                let duty = |k: wire::KeptDuty| {
                    let note = Note { token: k.note_token, number: k.note_number, text: k.note };
                    let holder = Some(k.holder).filter(|h| k.renewed && !h.is_empty()).map(Rc::from);
                    (Rc::from(k.duty), k.token, holder, note)
                };
                self.voter.learnt(n, kept.whole, kept.duties.into_iter().map(duty));
            }
            Heard::Frame(_) => {}
        }
    }

    /// Whether what is voted is on the disk, where there is one.
    fn keep(&self) -> bool {
        let now = awake();
        // Kept while it still waits, it would let the next start vote before the wait is over.
        let Some(store) = self.store.as_ref().filter(|_| self.voter.votes(now)) else { return true };
        let all = kept(&self.voter, &self.past, now, &wire::Record::default(), Said::default(), |_| true);
        let done = store.put(VOTES, FORMAT, now, &all.encode_to_vec());
        if let Err(e) = &done {
            tracing::error!(error = %e, "votes cannot be kept; none is said");
        }
        done.is_ok()
    }

    fn hear(&mut self, batch: Vec<(u64, News)>) {
        let (mut replies, mut voted) = (Vec::new(), false);
        for (conn, news) in batch {
            match news {
                News::Session(Event::Up(party)) => {
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.party = Some(party);
                    }
                }
                News::Session(Event::Frame(body)) => voted |= self.frame(conn, body, &mut replies),
                News::Session(_) => {}
                News::Ended { .. } => drop(self.conns.remove(&conn)),
            }
        }
        // A vote that is not kept must not be said: after a start it would be out twice.
        let kept = !voted || self.keep();
        for (conn, body) in replies {
            if kept || !matches!(body, Body::Votes(_)) {
                self.send(conn, body);
            }
        }
    }

    /// What it keeps, for who asks. Who asks for all duties wants to know how long each is taken, which changes
    /// all the time.
    fn record(&mut self, now: i64, asked: &wire::Record) -> wire::Kept {
        let (mut said, of_some) = (Said::default(), asked.brief && !asked.prefix.is_empty());
        if of_some {
            let has = Have { life: asked.life, revision: asked.revision };
            said = self.revisions.answer(now, has, self.voter.kept());
        }
        let names = |duty: &Rc<str>| !of_some || self.revisions.names(&said, duty);
        kept(&self.voter, &self.past, now, asked, said, names)
    }

    /// Who has a duty is remembered from the first renewal on: before that it may be one of many that try.
    fn remember(&mut self, duty: &Rc<str>) {
        let Some(kept) = self.voter.kept_of(duty).filter(|k| k.renewed) else { return };
        let (Some(holder), token) = (&kept.holder, kept.token) else { return };
        let past = self.past.entry(duty.clone()).or_default();
        if past.back().is_none_or(|p| p.token < token) {
            let since_us = Clock::start().now();
            past.push_back(wire::Holding { holder: holder.to_string(), token, since_us });
            if past.len() > MOST_PAST {
                past.pop_front();
            }
        }
    }

    fn send(&mut self, conn: u64, body: Body) {
        let full = |c: &Conn| c.orders.try_send(Order::Send(body, None)).is_err();
        if self.conns.get(&conn).is_some_and(full) {
            self.conns.remove(&conn);
        }
    }

    /// One frame; true if it changed what is kept.
    fn frame(&mut self, conn: u64, body: Body, replies: &mut Vec<(u64, Body)>) -> bool {
        let now = awake();
        let Some(party) = self.conns.get(&conn).and_then(|c| c.party.clone()) else { return false };
        let member = process_name(&party.name, party.epoch);
        let long = |b: &wire::Ballot| b.duty.len() > LONGEST_DUTY || b.note.len() > LONGEST_NOTE;
        match body {
            Body::Ballots(all) if !all.ballots.iter().any(long) => {
                let vote = |b: wire::Ballot| {
                    let (token, number) = (b.token, b.note_number);
                    let note = (number > 0).then_some(Note { token, number, text: b.note });
                    let duty: Rc<str> = b.duty.as_str().into();
                    let mut vote = wire::Vote { duty: b.duty, round: b.round, ..wire::Vote::default() };
                    match self.voter.asked(now, &duty, &member, token, note) {
                        Answer::Granted { .. } if b.renews => vote.granted = true,
                        Answer::Granted { note } => {
                            (vote.granted, vote.note) = (true, note.text);
                            (vote.note_token, vote.note_number) = (note.token, note.number);
                        }
                        Answer::Refused { token, left } => (vote.token, vote.left_us) = (token, left),
                    }
                    vote
                };
                let votes: Vec<wire::Vote> = all.ballots.into_iter().map(vote).collect();
                let changed = votes.iter().any(|v| v.granted);
                votes.iter().filter(|v| v.granted).for_each(|v| self.remember(&v.duty.as_str().into()));
                replies.push((conn, Body::Votes(wire::Votes { votes, term_us: self.term })));
                changed
            }
            Body::GiveBack(b) => {
                let duty: Rc<str> = b.duty.as_str().into();
                let free = self.voter.given_back(&duty, &member, b.token);
                let named =
                    |c: &Conn| c.party.as_ref().filter(|p| !b.to.is_empty() && p.name == b.to).cloned();
                // Also by a holder that has not renewed yet.
                let its = |k: &Kept<Rc<str>>| k.holder.is_none() && k.token == b.token;
                let its = self.voter.kept_of(&duty).is_some_and(its);
                let to = self.conns.values().find_map(named).filter(|_| its);
                if let Some(to) = &to {
                    self.voter.handed_on(now, &duty, process_name(&to.name, to.epoch));
                }
                // Others than planners want no seat, and a command could take this for the answer to its
                // question.
                let is_one =
                    |p: &Party| p.role == Role::Planner && to.as_ref().is_none_or(|to| p.name == to.name);
                let wants = |c: &Conn| c.party.as_ref().is_some_and(is_one);
                let told = self.conns.iter().filter(|(_, c)| (free || to.is_some()) && wants(c));
                let freed = wire::Freed { duty: b.duty.clone(), handed: to.is_some() };
                let freed = |(c, _): (&u64, &Conn)| (*c, Body::Freed(freed.clone()));
                replies.extend(told.map(freed));
                // What many askers give back is not worth a write: forgotten, it is free after a term.
                free
            }
            Body::HandOn(h) => {
                let duty: Rc<str> = h.duty.as_str().into();
                let kept = self.voter.kept_of(&duty).filter(|k| k.token == h.token);
                let holder = kept.and_then(|k| k.holder.clone());
                let is = |c: &Conn| {
                    c.party.as_ref().is_some_and(|p| Some(process_name(&p.name, p.epoch)) == holder)
                };
                let there =
                    |c: &Conn| c.party.as_ref().is_some_and(|p| p.role == Role::Planner && p.name == h.to);
                let holding = self.conns.iter().find(|(_, c)| is(c)).map(|(conn, _)| *conn);
                let fault = match holding {
                    None => Some("duty: no process linked here holds it under this token"),
                    _ if !h.to.is_empty() && !self.conns.values().any(there) => {
                        Some("to: found no process of that name linked here; expected a spare or planner")
                    }
                    Some(conn) => {
                        replies.push((conn, Body::HandOn(h)));
                        None
                    }
                };
                let json = serde_json::json!({"passed_on": fault.is_none(), "fault": fault}).to_string();
                replies.push((conn, Body::Told(wire::Told { json, more: false })));
                false
            }
            Body::Record(r) => {
                replies.push((conn, Body::Kept(self.record(now, &r))));
                false
            }
            Body::Query(q) if q.what == "traffic" => {
                let json = crate::view::traffic(&self.links.traffic).to_string();
                replies.push((conn, Body::Told(wire::Told { json, more: false })));
                false
            }
            _ => {
                let why = "found a frame that no voter takes; expected ballots (a duty of up to 200 bytes, \
                           a note of up to 64 KiB), give_back, hand_on, record or a query of traffic";
                tracing::warn!(peer = party.name, why);
                if let Some(c) = self.conns.get(&conn) {
                    let _ = c.orders.try_send(Order::Close(why.into()));
                }
                false
            }
        }
    }
}
