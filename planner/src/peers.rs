//! A planner's links to other planners: between the council, which tells who has which seat and where, the
//! sockets, and the decisions of `basaltpitch_exchange`. What is heard goes in; frames, links to dial and
//! links to end come out.
use crate::core::Core;
use crate::council::{Duty, Tenure, Wish};
use crate::halls::{Halls, OfHall};
use basaltpitch::host::Readiness;
use basaltpitch_agent::link::Order;
use basaltpitch_agent::session::Party;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_exchange::{Call, Exchange, Heard, Pace, Told, Wrong, MOST_FIGURES};
use basaltpitch_slack::Share;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::mpsc;

/// A summary of its own each so often, in microseconds.
const PUBLISHES: i64 = 1_000_000;
/// Links that this side dials are numbered from here; the others have the numbers of their connections.
const DIALLED: u64 = 1 << 63;
/// Figures: counts; the hall in which the planner stands; token and number of the word on halls that it goes
/// by; what it shares of its askings; and of each hall its figures, and the word.
const COUNTS: [&str; 4] = ["open", "placed", "declined", "aborted"];
const STANDS_AT: usize = COUNTS.len();
const SHARE_AT: usize = STANDS_AT + 3;
const HALLS_AT: usize = SHARE_AT + Share::FIGURES;
const OF_HALL: [&str; 8] = ["machines", "ready", "cores", "used", "answer", "launched", "refused", "word"];
/// What was counted of a hall fades by this part each time it is said.
const FADES: f64 = 0.7;

/// What a planner under a seat needs to meet the others.
pub struct Meeting {
    /// All seats, in the installation's order, and which of them is this planner's.
    pub seats: Vec<Rc<str>>,
    pub me: usize,
    /// Where others reach it.
    pub address: Option<String>,
    pub halls: Vec<String>,
    /// The hall in which it stands.
    pub stands: usize,
    /// What others say is not weighed in what is declined here.
    pub alone: bool,
    pub tenure: Tenure,
    pub wishes: mpsc::Sender<Wish>,
}

/// The other planners, as this one knows them.
pub struct Peers {
    meeting: Meeting,
    exchange: Exchange<Rc<[f64]>>,
    /// Where frames for each link go.
    orders: HashMap<u64, mpsc::Sender<Order>>,
    /// The seats that are dialled, by link.
    dialled: HashMap<u64, usize>,
    links: u64,
    publishes_at: i64,
    halls: Halls,
    /// By hall: launches, and those refused or failed, as they were counted last and as they fade.
    counted: Vec<([u64; 2], [f64; 2])>,
    /// Whom what is wrong was said of, and when: it is said again after a while.
    said: BTreeMap<usize, i64>,
}

impl Peers {
    pub fn new(now: i64, meeting: Meeting, token: u64, seed: u64) -> Self {
        let exchange = Exchange::new(now, Pace::USUAL, meeting.seats.len(), meeting.me, token, seed);
        if let Some(address) = &meeting.address {
            // Where it listens is the note of its seat.
            let (duty, text) = (meeting.seats[meeting.me].clone(), address.clone().into_bytes());
            if meeting.wishes.try_send(Wish::Write { duty, token, text }).is_err() {
                tracing::error!("the council takes no note of the address: other planners do not link here");
            }
        }
        let (orders, dialled, said) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        let halls = Halls::new(meeting.halls.clone(), meeting.wishes.clone());
        let counted = vec![Default::default(); meeting.halls.len()];
        let (links, publishes_at) = (DIALLED, now);
        Peers { meeting, exchange, orders, dialled, links, publishes_at, halls, counted, said }
    }

    /// A word of the council on the duty of who conducts halls.
    pub fn conducts(&mut self, now: i64, word: Duty) {
        self.halls.hear(now, word);
    }

    /// The time at which `clock` has something to do.
    pub fn next_at(&self) -> i64 {
        self.exchange.next_at().min(self.publishes_at)
    }

    /// Time passes. A planner that lost its seat, and does not know it yet, says nothing of itself.
    pub fn clock(&mut self, now: i64, core: &mut Core) {
        // The service lets time pass at each timer of the core's: what hundreds of seats say is read anew only
        // when something is due here.
        if now < self.next_at() {
            return;
        }
        if now >= self.publishes_at {
            self.publishes_at = now + PUBLISHES;
            self.fade(core);
            self.see_halls(now, core);
            if self.meeting.tenure.holds() {
                if let Err(e) = self.exchange.publish(now, self.share(now, core)) {
                    tracing::error!(error = %e, "what this planner would say of itself cannot be true");
                }
            }
        }
        self.exchange.clock(now);
        if let Some(door) = core.door.as_mut().filter(|_| !self.meeting.alone) {
            let others = (0..self.exchange.seats()).filter(|seat| *seat != self.meeting.me);
            let fresh = |seat| {
                let (age, figures) = self.exchange.heard(now, seat).fresh()?;
                Some((age, Share::read(figures.get(SHARE_AT..)?)?))
            };
            door.hear(now, others.filter_map(fresh));
        }
    }

    /// What this planner says of itself: its counts, what it shares of its askings, and by hall what it
    /// believes of machines.
    fn share(&self, now: i64, core: &mut Core) -> Rc<[f64]> {
        let counts = core.counts;
        let mut all =
            vec![core.open() as f64, counts.placed as f64, counts.declined as f64, counts.aborted as f64];
        let (token, number, codes) = self.halls.says();
        all.extend([self.meeting.stands as f64, token, number]);
        all.extend(core.door.as_mut().map(|door| door.share(now)).unwrap_or_default().figures());
        let halls = self.meeting.halls.len().min((MOST_FIGURES - HALLS_AT) / OF_HALL.len());
        all.resize(HALLS_AT + halls * OF_HALL.len(), 0.0);
        let of_halls = self.of_halls(core);
        for (hall, (of, code)) in of_halls.iter().zip(codes).take(halls).enumerate() {
            let to = &mut all[HALLS_AT + hall * OF_HALL.len()..];
            to[..of.len()].copy_from_slice(of);
            to[of.len()] = code;
        }
        all.into()
    }

    fn fade(&mut self, core: &Core) {
        for (hall, (last, fading)) in self.counted.iter_mut().enumerate() {
            let now = core.hall_counts(hall);
            for i in 0..2 {
                fading[i] = fading[i] * FADES + (now[i] - last[i]) as f64;
            }
            *last = now;
        }
    }

    /// What this planner itself sees of each hall.
    fn of_halls(&self, core: &Core) -> Vec<OfHall> {
        let mut all: Vec<OfHall> =
            self.counted.iter().map(|c| [0.0, 0.0, 0.0, 0.0, 0.0, c.1[0], c.1[1]]).collect();
        // Cores are those of the fleet, of which a part is a sample.
        let fleet = core.fleet_over_part();
        for (_, standing, belief) in core.machines_worked() {
            let Some(of) = all.get_mut(standing.place.1) else { continue };
            of[0] += 1.0;
            of[4] += f64::from(standing.answers());
            if standing.readiness() == Readiness::Ready {
                of[1] += 1.0;
                of[2] += fleet * belief.cores;
                of[3] += fleet * belief.ucac;
            }
        }
        all
    }

    /// What all that are heard say of halls; machines are held back by the word that counts.
    fn see_halls(&mut self, now: i64, core: &mut Core) {
        let count = self.meeting.halls.len();
        let mut all = vec![(self.meeting.stands, self.of_halls(core))];
        for seat in (0..self.exchange.seats()).filter(|seat| *seat != self.meeting.me) {
            let Some((_, figures)) = self.exchange.heard(now, seat).fresh() else { continue };
            // Files that differ: what it says of halls is not of these.
            if figures.len() != HALLS_AT + count * OF_HALL.len() {
                continue;
            }
            let of = figures[HALLS_AT..].chunks_exact(OF_HALL.len());
            self.halls.said(figures[STANDS_AT + 1], figures[STANDS_AT + 2], of.clone().map(|h| h[7]));
            let of = of.map(|h| [h[0], h[1], h[2], h[3], h[4], h[5], h[6]]).collect();
            all.push((figures[STANDS_AT] as usize, of));
        }
        self.halls.see(now, self.exchange.seats(), &all);
        core.hold_halls(now, self.halls.stages());
    }

    /// A voter tells the word on halls, as the conductor under this token wrote it.
    pub fn word(&mut self, now: i64, core: &mut Core, token: u64, note: &[u8]) {
        if self.halls.noted(token, note) {
            core.hold_halls(now, self.halls.stages());
        }
    }

    /// The council tells who has a seat.
    pub fn seated(&mut self, now: i64, seat: &str, token: u64, address: Option<&str>) {
        if let Some(seat) = self.meeting.seats.iter().position(|s| **s == *seat) {
            self.exchange.seated(now, seat, token, address.map(Rc::from));
        }
    }

    /// A planner said hello, over a link of either side. An error ends the link.
    pub fn up(
        &mut self,
        now: i64,
        link: u64,
        peer: &Party,
        orders: mpsc::Sender<Order>,
    ) -> Result<(), Wrong> {
        let dialled = self.dialled.get(&link).copied();
        let seats = self.meeting.seats.len();
        let seat = self.meeting.seats.iter().position(|s| **s == *peer.name).unwrap_or(seats);
        self.orders.insert(link, orders);
        if let Some(expected) = dialled.filter(|d| *d != seat) {
            // Its address went to another process.
            return Err(Wrong::Seat { peer: expected, found: seat, seats });
        }
        let linked = self.exchange.linked(now, link, seat, peer.epoch, dialled.is_some());
        if let (Err(_), Some(seat)) = (&linked, dialled) {
            // Dialled again at once, it would answer the same.
            self.exchange.failed(now, seat);
        }
        linked
    }

    /// A frame of a planner's. An error ends the link.
    pub fn frame(&mut self, now: i64, link: u64, body: Body) -> Result<(), Wrong> {
        match body {
            Body::Digest(d) => {
                let lists = (d.seats.len(), d.tokens.len(), d.numbers.len());
                if lists.0 != lists.1 || lists.0 != lists.2 {
                    let peer = self.exchange.peer(link).unwrap_or_default();
                    return Err(Wrong::Lists { peer, seats: lists.0, tokens: lists.1, numbers: lists.2 });
                }
                let has = d.seats.iter().zip(&d.tokens).zip(&d.numbers);
                let has = has.map(|((&seat, &token), &number)| (seat as usize, token, number));
                self.exchange.asked(now, link, d.question, has)
            }
            Body::Summaries(s) => {
                let told = |s: wire::Summary| {
                    let (seat, carried) = (s.seat as usize, s.figures.into());
                    Told { seat, token: s.token, number: s.number, age: s.age_us, carried }
                };
                let wrong = self.exchange.answered(now, link, s.question, s.all.into_iter().map(told));
                wrong.iter().for_each(|w| self.say(now, w));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// One summary of a crowd may be wrong in each frame: it is said of each peer once in a while.
    fn say(&mut self, now: i64, wrong: &Wrong) {
        let help = wrong.advice();
        if wrong.is_usual() {
            return tracing::debug!(error = %wrong, help, "a summary is dropped");
        }
        let at = self.said.entry(wrong.peer()).or_insert(i64::MIN);
        if now.saturating_sub(10 * PUBLISHES) >= *at {
            *at = now;
            tracing::error!(error = %wrong, help, "a summary is dropped");
        }
    }

    /// Whether this link is one to a planner.
    pub fn knows(&self, link: u64) -> bool {
        self.orders.contains_key(&link)
    }

    /// A link is gone, or a planner that was dialled did not answer.
    pub fn down(&mut self, now: i64, link: u64) {
        let stood = self.orders.remove(&link).is_some();
        match self.dialled.remove(&link) {
            Some(seat) if !stood => self.exchange.failed(now, seat),
            _ => self.exchange.unlinked(now, link),
        }
    }

    /// Hands frames and endings to links; the next planner to dial.
    pub fn next_out(&mut self) -> Option<(u64, Rc<str>)> {
        while let Some(call) = self.exchange.next_call() {
            match call {
                Call::Dial { seat, address } => {
                    self.links += 1;
                    self.dialled.insert(self.links, seat);
                    return Some((self.links, address));
                }
                Call::Hang { link } => self.order(link, Order::Close("linked to another planner".into())),
                Call::Ask { link, question, has } => {
                    let seats = has.iter().map(|h| h.0 as u32).collect();
                    let tokens = has.iter().map(|h| h.1).collect();
                    let numbers = has.iter().map(|h| h.2).collect();
                    let digest = wire::Digest { question, seats, tokens, numbers };
                    self.order(link, Order::Send(Body::Digest(digest), None));
                }
                Call::Answer { link, question, all } => {
                    let summary = |t: Told<Rc<[f64]>>| {
                        let (seat, figures) = (t.seat as u32, t.carried.to_vec());
                        wire::Summary { seat, token: t.token, number: t.number, age_us: t.age, figures }
                    };
                    let all = all.into_iter().map(summary).collect();
                    let body = Body::Summaries(wire::Summaries { question, all });
                    self.order(link, Order::Send(body, None));
                }
            }
        }
        None
    }

    /// What a link does not take counts as lost: the next round asks again.
    fn order(&self, link: u64, order: Order) {
        if let Some(orders) = self.orders.get(&link) {
            let _ = orders.try_send(order);
        }
    }

    /// What operators see: each seat, how it is heard, how old that is, and what it says.
    pub fn view(&self, now: i64) -> Value {
        let row = |seat: usize| {
            let heard = self.exchange.heard(now, seat);
            let (token, age, figures) = match heard {
                Heard::Nobody => (None, None, &[][..]),
                Heard::Unheard { token, age } => (Some(token), age, &[][..]),
                Heard::Fresh { token, age, carried, .. } => (Some(token), Some(age), &carried[..]),
            };
            let state = match heard {
                _ if seat == self.meeting.me => "this planner",
                Heard::Fresh { .. } if figures.first() == Some(&0.0) => "quiet",
                heard => heard.words(),
            };
            let counts: serde_json::Map<String, Value> =
                COUNTS.iter().zip(figures).map(|(name, x)| ((*name).to_owned(), json!(x))).collect();
            let of_halls = figures.get(HALLS_AT..).unwrap_or(&[]).chunks(OF_HALL.len());
            let halls = self.meeting.halls.iter().zip(of_halls).map(|(hall, of)| {
                let of: serde_json::Map<String, Value> =
                    OF_HALL.iter().zip(of).map(|(name, x)| ((*name).to_owned(), json!(x))).collect();
                (hall.clone(), Value::Object(of))
            });
            json!({
                "seat": &*self.meeting.seats[seat], "state": state, "epoch": token,
                "age_ms": age.map(|us| us / 1000), "counts": counts,
                "halls": halls.collect::<serde_json::Map<String, Value>>(),
            })
        };
        json!({
            "halls": self.halls.view(),
            "links": self.exchange.linked_to().map(|s| &*self.meeting.seats[s]).collect::<Vec<&str>>(),
            "seats": (0..self.exchange.seats()).map(row).collect::<Vec<Value>>(),
        })
    }
}
