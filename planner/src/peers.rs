//! A planner's links to other planners: between the council, which tells who has which seat and where, the
//! sockets, and the decisions of `basaltpitch_gossip`. What is heard goes in; frames, links to dial and
//! links to end come out.
use crate::figures::{self, Says, COUNTS};
use crate::halls::{Halls, Seen};
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::state::PlannerState;
use crate::summaries;
use basaltpitch::host::Readiness;
use basaltpitch_admission::PeerSummary;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::session::PeerIdentity;
use basaltpitch_agent::wire::Body;
use basaltpitch_gossip::{Call, Exchange, Figures, Heard, Layout, Pace, Place, Site, Wrong};
use basaltpitch_zone_failover::{OfHall, OF_HALL};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::mpsc;

/// It looks at itself anew each so often, in microseconds.
const PUBLISHES: i64 = 1_000_000;
/// Links that this side dials are numbered from here; the others have the numbers of their connections.
const DIALLED: u64 = 1 << 63;
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
    /// The hall in which it stands, and the region of each hall.
    pub stands: usize,
    pub regions: Vec<usize>,
    /// Bytes a second for control, in and out; none: no bound.
    pub bytes_a_second: Option<f64>,
    /// What others say is not weighed in what is declined here.
    pub alone: bool,
    pub tenure: LeaseDeadline,
    pub wishes: mpsc::Sender<LeaseCommand>,
}

/// The other planners, as this one knows them.
pub struct Peers {
    meeting: Meeting,
    exchange: Exchange<Layout>,
    /// Where frames for each link go.
    orders: HashMap<u64, mpsc::Sender<LinkCommand>>,
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
        let (seats, halls) = (meeting.seats.len(), meeting.halls.len());
        let pace = Pace::of(seats, halls, meeting.bytes_a_second);
        let site = Site { seats, me: meeting.me, zone: meeting.stands, regions: meeting.regions[..].into() };
        let exchange = Exchange::new(now, pace, site, figures::layout(halls), token, seed);
        if let Some(address) = &meeting.address {
            // Where it listens, and where it stands, is the note of its seat.
            let hall = meeting.halls.get(meeting.stands).map_or("", String::as_str);
            let (duty, text) = (meeting.seats[meeting.me].clone(), format!("{address} {hall}").into_bytes());
            if meeting
                .wishes
                .try_send(LeaseCommand::WriteMetadata { lease: duty, token, metadata: text })
                .is_err()
            {
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
    pub fn conducts(&mut self, now: i64, core: &mut PlannerState, word: LeaseEvent) {
        self.halls.hear(now, word);
        // Who conducts goes by its own word as soon as it is kept: others may have it, and count on it.
        core.hold_back_zones(now, self.halls.stages());
    }

    /// The time at which `clock` has something to do.
    pub fn next_at(&self) -> i64 {
        self.exchange.next_at().min(self.publishes_at)
    }

    /// Time passes. A planner that lost its seat, and does not know it yet, says nothing of itself.
    pub fn clock(&mut self, now: i64, core: &mut PlannerState) {
        // The service lets time pass at each timer of the core's: what hundreds of seats say is read anew only
        // when something is due here.
        if now < self.next_at() {
            return;
        }
        if now >= self.publishes_at {
            self.publishes_at = now + PUBLISHES;
            self.fade(core);
            self.see_halls(now, core);
            if self.meeting.tenure.is_held() {
                if let Err(e) = self.exchange.publish(now, self.share(now, core)) {
                    tracing::error!(error = %e, "what this planner would say of itself cannot be true");
                }
            }
        }
        self.exchange.clock(now);
        if let Some(admission) = core.admission.as_mut().filter(|_| !self.meeting.alone) {
            let other = |(planners, age, says): (usize, i64, Says)| PeerSummary {
                age_us: age,
                planners,
                summary: says.share,
            };
            admission.receive_summaries(now, self.heard(now).into_iter().map(other));
        }
    }

    /// What is heard of others: planners one by one, and those of other zones as one; of how many each, how old,
    /// and what it says.
    fn heard(&self, now: i64) -> Vec<(usize, i64, Says)> {
        let halls = self.meeting.halls.len();
        let says = |planners, age, figures: &Figures| Some((planners, age, Says::read(figures, halls)?));
        let seats = (0..self.exchange.seats()).filter(|seat| *seat != self.meeting.me);
        let one = |seat| self.exchange.heard(now, seat).fresh().and_then(|(age, f)| says(1, age, f));
        let zone =
            |zone| self.exchange.zone_heard(now, zone).and_then(|z| says(z.planners, z.age, z.figures));
        seats.filter_map(one).chain(self.exchange.zones().filter_map(zone)).collect()
    }

    /// What this planner says of itself: its counts, what it shares of its askings, and by hall what it
    /// believes of machines.
    fn share(&self, now: i64, core: &mut PlannerState) -> Figures {
        let counts = core.counts;
        let says = Says {
            counts: [
                core.open_requests() as f64,
                counts.placed as f64,
                counts.declined as f64,
                counts.aborted as f64,
            ],
            stands: self.meeting.stands,
            word: self.halls.says(),
            share: core.admission.as_mut().map(|admission| admission.summary(now)).unwrap_or_default(),
            halls: self.of_halls(core),
        };
        says.figures(self.meeting.halls.len())
    }

    fn fade(&mut self, core: &PlannerState) {
        for (hall, (last, fading)) in self.counted.iter_mut().enumerate() {
            let now = core.zone_attempts(hall);
            for i in 0..2 {
                fading[i] = fading[i] * FADES + (now[i] - last[i]) as f64;
            }
            *last = now;
        }
    }

    /// What this planner itself sees of each hall.
    fn of_halls(&self, core: &PlannerState) -> Vec<OfHall> {
        let mut all: Vec<OfHall> =
            self.counted.iter().map(|c| [0.0, 0.0, 0.0, 0.0, 0.0, c.1[0], c.1[1]]).collect();
        // Cores are those of the fleet, of which a part is a sample.
        let fleet = core.fleet_to_subset_ratio();
        for (_, standing, belief) in core.observable_machines() {
            let Some(of) = all.get_mut(standing.location.1) else { continue };
            of[0] += 1.0;
            of[4] += f64::from(standing.is_responsive());
            if standing.readiness() == Readiness::Ready {
                of[1] += 1.0;
                of[2] += fleet * belief.cores;
                of[3] += fleet * belief.ucac;
            }
        }
        all
    }

    /// What all that are heard say of halls; machines are held back by the word that counts.
    fn see_halls(&mut self, now: i64, core: &mut PlannerState) {
        let mut all = vec![Seen { stands: self.meeting.stands, planners: 1, halls: self.of_halls(core) }];
        for (planners, _, says) in self.heard(now) {
            let (token, number, stages) = says.word;
            self.halls.said(token, number, stages.into_iter());
            all.push(Seen { stands: says.stands, planners, halls: says.halls });
        }
        self.halls.see(now, self.exchange.seats(), &all);
        core.hold_back_zones(now, self.halls.stages());
    }

    /// A voter tells the word on halls, as the conductor under this token wrote it.
    pub fn word(&mut self, now: i64, core: &mut PlannerState, token: u64, note: &[u8]) {
        if self.halls.noted(token, note) {
            core.hold_back_zones(now, self.halls.stages());
        }
    }

    /// The council tells who has a seat, and in its note where its planner listens and stands.
    pub fn seated(&mut self, now: i64, seat: &str, token: u64, note: Option<&str>) {
        let Some(seat) = self.meeting.seats.iter().position(|s| **s == *seat) else { return };
        let place = |note: &str| {
            let (address, hall) = note.split_once(' ')?;
            let zone = self.meeting.halls.iter().position(|h| *h == *hall)?;
            Some(Place { address: address.into(), zone })
        };
        let place = note.filter(|note| !note.is_empty()).map(|note| place(note).ok_or(note));
        if let Some(Err(note)) = &place {
            let found = (*note).to_owned();
            self.say(now, &Wrong::Place { peer: seat, found });
        }
        self.exchange.seated(now, seat, token, place.and_then(Result::ok));
    }

    /// A planner said hello, over a link of either side. An error ends the link.
    pub fn up(
        &mut self,
        now: i64,
        link: u64,
        peer: &PeerIdentity,
        orders: mpsc::Sender<LinkCommand>,
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
            Body::Digest(digest) => {
                let peer = self.exchange.peer(link).unwrap_or_default();
                self.exchange.asked(now, link, summaries::asked(peer, digest)?)
            }
            Body::Summaries(all) => {
                let peer = self.exchange.peer(link).unwrap_or_default();
                let (question, all) = summaries::told(peer, all)?;
                let wrong = self.exchange.answered(now, link, question, all);
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
                Call::Hang { link } => {
                    self.order(link, LinkCommand::Close("linked to another planner".into()))
                }
                call => {
                    if let Some((link, body)) = summaries::frame(&call) {
                        self.order(link, LinkCommand::Send(body, None));
                    }
                }
            }
        }
        None
    }

    /// What a link does not take counts as lost: the next round asks again.
    fn order(&self, link: u64, order: LinkCommand) {
        if let Some(orders) = self.orders.get(&link) {
            let _ = orders.try_send(order);
        }
    }

    /// What operators see: each seat, how it is heard, how old that is, and what it says; the same of each zone
    /// of which only a summary is heard.
    pub fn view(&self, now: i64) -> Value {
        let hall = |zone: usize| self.meeting.halls.get(zone).cloned();
        let says = |figures: Option<&Figures>| {
            let says = figures.and_then(|f| Says::read(f, self.meeting.halls.len()));
            says.map_or((json!({}), json!({})), |says| self.words(&says))
        };
        let row = |seat: usize| {
            let heard = self.exchange.heard(now, seat);
            let (token, age, figures) = match heard {
                Heard::Nobody => (None, None, None),
                Heard::Unheard { token, age } => (Some(token), age, None),
                Heard::Elsewhere { token, .. } => (Some(token), None, None),
                Heard::Fresh { token, age, figures, .. } => (Some(token), Some(age), Some(figures)),
            };
            let state = match heard {
                _ if seat == self.meeting.me => "this planner",
                Heard::Fresh { figures, .. } if figures.at(0) == 0.0 => "quiet",
                heard => heard.words(),
            };
            let (counts, halls) = says(figures);
            json!({
                "seat": &*self.meeting.seats[seat], "state": state, "epoch": token,
                "age_ms": age.map(|us| us / 1000), "counts": counts, "halls": halls,
                "zone": self.exchange.stands(seat).and_then(hall),
            })
        };
        let zone = |zone: usize| {
            let heard = self.exchange.zone_heard(now, zone);
            let (counts, halls) = says(heard.as_ref().map(|z| z.figures));
            let of = heard.as_ref();
            json!({
                "zone": hall(zone), "state": if heard.is_some() { "heard" } else { "unheard" },
                "told_by": of.map(|z| &*self.meeting.seats[z.maker]), "age_ms": of.map(|z| z.age / 1000),
                "planners": of.map(|z| z.planners), "unheard": of.map(|z| z.unheard),
                "counts": counts, "halls": halls,
            })
        };
        json!({
            "halls": self.halls.view(),
            "links": self.exchange.linked_to().map(|s| &*self.meeting.seats[s]).collect::<Vec<&str>>(),
            "seats": (0..self.exchange.seats()).map(row).collect::<Vec<Value>>(),
            "zones": self.exchange.zones().map(zone).collect::<Vec<Value>>(),
            "bytes_told": self.exchange.spent(),
            "coarser": self.exchange.coarse(),
        })
    }

    /// Counts by name, and by hall its figures and the word.
    fn words(&self, says: &Says) -> (Value, Value) {
        let rounded = |x: &f64| json!((x * 1000.0).round() / 1000.0);
        let counts = COUNTS.iter().zip(&says.counts).map(|(name, x)| ((*name).to_owned(), rounded(x)));
        let of_hall = |(of, stage): (&OfHall, &f64)| {
            let named = OF_HALL.iter().zip(of).map(|((name, _), x)| ((*name).to_owned(), rounded(x)));
            named.chain([("word".to_owned(), json!(stage))]).collect()
        };
        let halls = says.halls.iter().zip(&says.word.2).map(|of| Value::Object(of_hall(of)));
        let halls = self.meeting.halls.iter().cloned().zip(halls);
        (Value::Object(counts.collect()), Value::Object(halls.collect()))
    }
}
