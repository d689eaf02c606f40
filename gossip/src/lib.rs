//! What planners know of each other. Each seat of the council publishes a summary under its token and a
//! number that rises; planners pass on the newest to a few others by chance (anti-entropy by pull: Demers and
//! others, "Epidemic algorithms for replicated database maintenance", 1987), as what changed since what the
//! other has. Planners of one zone tell each other of themselves; beyond it go summaries of whole zones. What
//! a summary says is the caller's matter. No I/O, no clock of its own: times are whole microseconds of the
//! caller's clock, which never goes back.
//!
//! Why no age is understated: nothing is taken but in answer to a question of one's own. The answer says how
//! old each summary was when it was sent; that was after the question, so each is at most so old, and the
//! time since the question, by the asker's own clock. Slow links make summaries look older, never younger. A
//! zone's summary is as old as its oldest part.
//!
//! Why an old holder is not believed: a summary counts only under the token that the council told of its
//! seat. What a seat's earlier holder says once it wakes is under a lower one.
//!
//! Why what changed is enough: it is told against a number that the asker says it holds, under the same
//! token, and applies to nothing older; who holds less says so and is told the whole.
pub mod config;
pub mod frame_size;
pub mod freshness;
pub mod invalid_summary;
pub mod payload;
mod stored_summary;

pub use config::GossipConfig;
pub use freshness::{Freshness, ZoneSummary};
pub use invalid_summary::InvalidSummary;
pub use payload::{MergeRule, MetricLayout, Metrics, Payload, MAX_METRICS};

use frame_size::Bucket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use stored_summary::{ChangeKind, StoredSummary};

/// What is enough to be told doubles so often at most: of a figure that doubles nothing is told any more.
const COARSEST: u32 = 4;
/// So many summaries of its own without want of bytes, and less of a move is enough again.
const CALM: u32 = 8;
/// Figures behind those of a zone's summary: planners that it stands for, and those that are unheard.
const COUNTS: usize = 2;

/// A summary on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SummaryDelta {
    /// The seat whose summary it is; from the number of seats on, the seat that made it of its zone.
    pub subject: usize,
    pub token: u64,
    pub number: u64,
    /// What changed is told since this number; 0: all that is not 0.
    pub base: u64,
    /// Microseconds since it was made, at most, when it was sent.
    pub age_us: i64,
    /// Places, rising, and figures, bit by bit. None: the same as before.
    pub changed: Vec<(usize, u32)>,
}

/// What somebody has of a subject: its number; 0: nothing. Under the token that the reader believes in: who
/// believes in another refuses what rests on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The subject, as in [`SummaryDelta::subject`].
    pub subject: usize,
    /// The number of its summary that is held; 0: none.
    pub number: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GossipAction {
    /// Link to a seat's planner, there.
    Dial {
        slot: usize,
        address: Rc<str>,
    },
    /// The link to this planner is wanted no more.
    CloseLink {
        link: u64,
    },
    /// A question: what is newer than I have? `took`: the last question of this link whose answer was taken;
    /// 0: none was, and `has` is all that the asker has. Else `has` is what it has otherwise than by answers.
    /// `news`: the asker has something for the other.
    Request {
        link: u64,
        request: PullRequest,
    },
    Reply {
        link: u64,
        request_id: u64,
        deltas: Vec<SummaryDelta>,
    },
}

/// A question as it comes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PullRequest {
    pub id: u64,
    pub acknowledged: u64,
    pub has_updates: bool,
    pub versions: Vec<Version>,
}

/// A seat as the council tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seat {
    /// 0: nobody was seated yet, as far as is known.
    token: u64,
    place: Option<PeerAddress>,
    /// Not dialled before this time.
    again_at: i64,
}

/// A planner at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkedPeer {
    /// Its slot.
    pub slot: usize,
    /// The token under which it holds that slot, as it says.
    pub token: u64,
    /// Whether this side dialled.
    pub outbound: bool,
}

/// Where a seat's holder is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    pub address: Rc<str>,
    pub zone: usize,
}

/// What the other end of a link has of a subject, and since when it is known to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Known {
    token: u64,
    number: u64,
    at: i64,
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
    /// The last question whose answer was taken.
    took: u64,
    /// Subjects of which the other end must be told anew what is held here.
    corrects: BTreeSet<usize>,
    /// The last question of the other end, and whether its answer is still owed.
    heard: u64,
    owes: bool,
    known: BTreeMap<usize, Known>,
    /// The last answer and what was in it, until the other end says that it took it.
    sent: Option<(u64, Vec<(usize, Known)>)>,
}

/// Who this planner is, among which others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    pub slots: usize,
    pub own_slot: usize,
    /// Under which this planner holds its slot.
    pub own_token: u64,
    /// Where this planner stands.
    pub own_zone: usize,
    /// The region of each zone.
    pub zone_regions: Rc<[usize]>,
}

/// One planner's part in the exchange, and what it knows of the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gossip<K> {
    site: Membership,
    config: GossipConfig,
    kinds: K,
    seed: u64,
    draws: u64,
    seats: Vec<Seat>,
    /// By subject: each seat's own summary, then that of its zone as each seat made it.
    held: Vec<Option<StoredSummary>>,
    links: BTreeMap<u64, Link>,
    /// Seats that are dialled, and no link came yet.
    dialling: BTreeMap<usize, i64>,
    questions: u64,
    began: i64,
    round_at: i64,
    swap_at: i64,
    /// When this planner last said something of itself, and of its zone.
    said_at: [i64; 2],
    bucket: Bucket,
    /// Something waited for bytes since the last summary of its own; and so many without that.
    short: bool,
    calm: u32,
    coarse: u32,
    calls: VecDeque<GossipAction>,
}

/// The kinds of a seat's figures, and of the two counts behind those of a zone.
struct WithCounts<'a, K>(&'a K);

impl<K: Payload> Payload for WithCounts<'_, K> {
    fn metric_count(&self) -> usize {
        self.0.metric_count() + COUNTS
    }

    fn rounded(&self, place: usize, figure: f32) -> f32 {
        if place < self.0.metric_count() {
            self.0.rounded(place, figure)
        } else {
            figure
        }
    }

    fn is_significant(&self, place: usize, was: f32, is: f32, coarse: u32) -> bool {
        if place < self.0.metric_count() {
            self.0.is_significant(place, was, is, coarse)
        } else {
            was != is
        }
    }

    /// That few of a zone are heard comes of want of bytes, too: told first, it would make them scarcer.
    fn is_urgent(&self, place: usize) -> bool {
        place < self.0.metric_count() && self.0.is_urgent(place)
    }

    fn merge(&self, parts: &[&Metrics]) -> Vec<f32> {
        self.0.merge(parts)
    }
}

impl<K: Payload> Gossip<K> {
    /// This planner's seat is held under `token`.
    pub fn new(now: i64, config: GossipConfig, site: Membership, kinds: K, seed: u64) -> Self {
        let mut seats = vec![Seat { token: 0, place: None, again_at: now }; site.slots];
        seats[site.own_slot].token = site.own_token;
        Gossip {
            held: vec![None; 2 * site.slots],
            site,
            config,
            kinds,
            seed,
            draws: 0,
            seats,
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            questions: 0,
            began: now,
            round_at: now,
            swap_at: now + config.partner_swap_us,
            said_at: [i64::MIN; 2],
            bucket: Bucket::new(now, config.bytes_per_second, config.burst_bytes),
            short: false,
            calm: 0,
            // Who begins has all to tell at once.
            coarse: if config.bytes_per_second.is_some() { COARSEST } else { 0 },
            calls: VecDeque::new(),
        }
    }

    pub fn next_action(&mut self) -> Option<GossipAction> {
        self.calls.pop_front()
    }

    /// The time at which `clock` has something to do.
    pub fn next_due_us(&self) -> i64 {
        self.round_at
    }

    /// How often what is enough to be told is doubled now, as bytes are short.
    pub fn coarseness(&self) -> u32 {
        self.coarse
    }

    /// Bytes of questions and answers so far, as frames.
    pub fn bytes_sent(&self) -> u64 {
        self.bucket.spent
    }

    fn chance(&mut self) -> fastrand::Rng {
        self.draws += 1;
        fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 32))
    }

    // Who is where.

    fn seat_of(&self, subject: usize) -> usize {
        subject % self.site.slots
    }

    fn is_zone(&self, subject: usize) -> bool {
        subject >= self.site.slots
    }

    /// Where a seat's holder stands, as far as the council told.
    pub fn zone_of(&self, seat: usize) -> Option<usize> {
        self.zone(seat)
    }

    fn zone(&self, seat: usize) -> Option<usize> {
        if seat == self.site.own_slot {
            return Some(self.site.own_zone);
        }
        self.seats[seat].place.as_ref().map(|p| p.zone)
    }

    /// Whether planners there are told of each other one by one.
    fn near(&self, seat: usize) -> bool {
        self.config.flat || self.zone(seat) == Some(self.site.own_zone)
    }

    fn far(&self, seat: usize) -> bool {
        let region = |zone: Option<usize>| zone.and_then(|z| self.site.zone_regions.get(z));
        !self.near(seat) && region(self.zone(seat)) != region(Some(self.site.own_zone))
    }

    /// Whether it goes over a link to this seat.
    fn goes(&self, subject: usize, to: usize) -> bool {
        if self.is_zone(subject) {
            !self.config.flat
        } else {
            self.near(subject) && self.near(to)
        }
    }

    fn fresh(&self, subject: usize) -> i64 {
        if self.is_zone(subject) {
            self.config.zone_stale_after_us
        } else {
            self.config.stale_after_us
        }
    }

    // What can happen.

    /// The council tells who has a seat: under which token, and where its planner is, if that is known. What
    /// an earlier holder said of it counts no more.
    pub fn slot_assigned(&mut self, now: i64, seat: usize, token: u64, place: Option<PeerAddress>) {
        let me = self.site.own_slot;
        let Some(s) = self.seats.get_mut(seat).filter(|_| seat != me) else { return };
        if token > s.token {
            // Links to the one before: its successor is to be linked to.
            let older = |l: &Link| l.seat == seat && l.token < token;
            let older: Vec<u64> = self.links.iter().filter(|(_, l)| older(l)).map(|(n, _)| *n).collect();
            older.into_iter().for_each(|link| self.hang(now, link));
            self.seats[seat] = Seat { token, place, again_at: now };
            for subject in [seat, seat + self.site.slots] {
                self.held[subject] = None;
                // What was told under this token before the council did was refused.
                for l in self.links.values_mut() {
                    l.corrects.insert(subject);
                }
            }
        } else if token == s.token && place.is_some() {
            s.place = place;
        }
    }

    /// This planner says anew how it is. Nothing goes out where nothing moved enough to matter.
    pub fn publish(&mut self, now: i64, figures: Metrics) -> Result<(), InvalidSummary> {
        let me = self.site.own_slot;
        if let Some((field, found, expected)) = self.wrong(me, &figures) {
            return Err(InvalidSummary::Payload { peer: me, slot: me, field, found, expected });
        }
        self.say(now, me, now, figures.iter());
        self.say_zone(now);
        Ok(())
    }

    /// Where bytes are short, here or on the way from most of its zone, less is worth them: summaries stay
    /// young, and say things less finely.
    fn coarsen(&mut self, now: i64) {
        let mates = (0..self.site.slots).filter(|s| *s != self.site.own_slot && self.near(*s));
        let ages: Vec<i64> = mates.filter_map(|s| Some(now - self.has(now, s)?.made_at)).collect();
        let late = ages.iter().filter(|age_us| **age_us > 2 * self.config.refresh_us).count();
        let late = self.config.bytes_per_second.is_some() && 4 * late > ages.len();
        if std::mem::take(&mut self.short) || late {
            (self.calm, self.coarse) = (0, (self.coarse + 1).min(COARSEST));
        } else {
            self.calm += 1;
            if self.calm >= CALM {
                (self.calm, self.coarse) = (0, self.coarse.saturating_sub(1));
            }
        }
    }

    fn say(&mut self, now: i64, subject: usize, made_at: i64, figures: impl Iterator<Item = f32>) {
        let is_zone = self.is_zone(subject);
        let lease = if is_zone { self.config.zone_refresh_us } else { self.config.refresh_us };
        let said_at = &mut self.said_at[usize::from(is_zone)];
        let since = now.saturating_sub(*said_at);
        let renew = |moved| match moved {
            ChangeKind::First => !is_zone || since >= lease / 4,
            ChangeKind::Some => since >= lease / 2,
            ChangeKind::Nothing => since >= lease,
        };
        let (kinds, before) = (WithCounts(&self.kinds), self.held[subject].as_ref());
        if let Some(next) = StoredSummary::next(before, made_at, &kinds, self.coarse, figures, renew) {
            self.held[subject] = Some(next);
            *said_at = now;
            if !is_zone {
                self.coarsen(now);
            }
        }
    }

    /// What all of its zone say, as one; said by the lowest seat that is heard there.
    fn say_zone(&mut self, now: i64) {
        let me = self.site.own_slot;
        let mates = || (0..self.site.slots).filter(|s| self.zone(*s) == Some(self.site.own_zone));
        let heard: Vec<&StoredSummary> = mates().filter_map(|s| self.has(now, s)).collect();
        let lowest = mates().find(|s| self.counts(now, *s));
        if self.config.flat || lowest != Some(me) {
            return;
        }
        let Some(made_at) = heard.iter().map(|h| h.made_at).min() else { return };
        let parts: Vec<&Metrics> = heard.iter().map(|h| &h.figures).collect();
        let mut all = self.kinds.merge(&parts);
        let seated = mates().filter(|s| self.seats[*s].token > 0).count();
        all.extend([parts.len() as f32, (seated - parts.len()) as f32]);
        self.say(now, me + self.site.slots, made_at, all.into_iter());
    }

    /// Whether a seat counts as heard, where one is to act for others. Somewhat longer than it is: each change
    /// of who acts is told to all. Who has just begun hears nobody yet, and takes those who are seated to be
    /// heard.
    fn counts(&self, now: i64, seat: usize) -> bool {
        let lately = |at: i64| now < at + self.config.stale_after_us + self.config.stale_after_us / 2;
        let heard = self.held[seat].as_ref().is_some_and(|h| lately(h.made_at));
        self.seats[seat].token > 0 && (heard || lately(self.began))
    }

    /// A link to a planner stands, whoever dialled. It is asked at once: a planner that has just been seated
    /// knows nothing.
    pub fn link_up(&mut self, now: i64, link: u64, peer: LinkedPeer) -> Result<(), InvalidSummary> {
        let LinkedPeer { slot: seat, token, outbound: ours } = peer;
        if ours {
            self.dialling.remove(&seat);
        }
        let known = self.seats.get(seat).map_or(0, |s| s.token);
        if seat >= self.seats.len() || seat == self.site.own_slot {
            return Err(InvalidSummary::Slot { peer: seat, found: seat, slots: self.seats.len() });
        }
        if token < known {
            return Err(InvalidSummary::StaleHolder { peer: seat, found: token, expected: known });
        }
        let stands = Link {
            seat,
            token,
            ours,
            open: None,
            asked_at: i64::MIN,
            took: 0,
            corrects: BTreeSet::new(),
            heard: 0,
            owes: false,
            known: BTreeMap::new(),
            sent: None,
        };
        self.links.insert(link, stands);
        self.ask(now, link);
        Ok(())
    }

    /// A link is gone.
    pub fn link_down(&mut self, now: i64, link: u64) {
        if let Some(l) = self.links.remove(&link).filter(|l| l.ours) {
            self.seats[l.seat].again_at = now + self.config.timeout_us;
        }
    }

    /// A planner that was dialled does not answer.
    pub fn dial_failed(&mut self, now: i64, seat: usize) {
        self.dialling.remove(&seat);
        self.seats[seat].again_at = now + self.config.timeout_us;
    }

    /// A linked planner asks for what is newer than it has.
    pub fn receive_request(&mut self, now: i64, link: u64, asked: PullRequest) -> Result<(), InvalidSummary> {
        let Some(l) = self.links.get_mut(&link) else { return Ok(()) };
        let (peer, seats) = (l.seat, self.site.slots);
        if let Some(found) = asked.versions.iter().map(|h| h.subject).find(|subject| *subject >= 2 * seats) {
            return Err(InvalidSummary::Slot { peer, found, slots: seats });
        }
        if asked.id <= l.heard {
            // Doubled or overtaken: what it says it has is not so any more.
            return Ok(());
        }
        (l.heard, l.owes) = (asked.id, true);
        match l.sent.take() {
            _ if asked.acknowledged == 0 => l.known.clear(),
            Some((question, all)) if question == asked.acknowledged => {
                l.known.extend(all);
            }
            // It did not come through, and is told again.
            _ => {}
        }
        for Version { subject, number } in asked.versions {
            let token = self.seats[subject % seats].token;
            l.known.insert(subject, Known { token, number, at: now });
        }
        self.answer(now, link);
        // Two planners that refuse each other's summaries would otherwise ask as fast as the link carries.
        if asked.has_updates
            && self.links.get(&link).is_some_and(|l| self.is_due(now, l, self.config.round_us / 2))
        {
            self.ask(now, link);
        }
        Ok(())
    }

    /// What the other end of a link has less of than this one: by what goes first, then by who was told last
    /// the longest ago; and what it has of it.
    fn owed(&self, now: i64, link: &Link) -> Vec<(usize, Known)> {
        let nothing = Known { token: 0, number: 0, at: i64::MIN };
        let mut all: Vec<(bool, i64, usize, Known)> = Vec::new();
        let makers = self.makers(now).into_values().map(|best| best.1 .0 + self.site.slots);
        for subject in (0..self.site.slots).chain(makers) {
            // It knows best itself.
            if self.seat_of(subject) == link.seat || !self.goes(subject, link.seat) {
                continue;
            }
            let Some(held) = self.has(now, subject) else { continue };
            let token = self.seats[self.seat_of(subject)].token;
            let known = link.known.get(&subject).copied().unwrap_or(nothing);
            if (known.token, known.number) < (token, held.number) {
                let base = if known.token == token { known.number } else { 0 };
                let first = held.is_first(base, &WithCounts(&self.kinds));
                all.push((!first, known.at, subject, Known { token, number: base, ..known }));
            }
        }
        all.sort_by_key(|(later, at, subject, _)| (*later, *at, *subject));
        all.into_iter().map(|(_, _, subject, known)| (subject, known)).collect()
    }

    /// Of each zone the summary that counts here, by its maker: what the one says who hears the most planners
    /// there, the lowest of several.
    fn makers(&self, now: i64) -> BTreeMap<usize, (usize, std::cmp::Reverse<usize>)> {
        let mut all = BTreeMap::new();
        if self.config.flat {
            return all;
        }
        for maker in 0..self.site.slots {
            let Some(zone) = self.zone_summary_by(now, maker) else { continue };
            let Some(stands) = self.zone(maker) else { continue };
            let this = (zone.planners, std::cmp::Reverse(maker));
            let best = all.entry(stands).or_insert(this);
            *best = this.max(*best);
        }
        all
    }

    /// Answers what is owed, as far as the bytes of this moment reach.
    fn answer(&mut self, now: i64, link: u64) {
        let left = self.bucket.left(now);
        let Some(l) = self.links.get(&link).filter(|l| l.owes) else { return };
        if left < self.bucket.worth() {
            self.short = true;
            // It waits for a later round: who asked takes it for as old as it is by then.
            return;
        }
        let mut left = left - frame_size::ANSWER;
        let mut all: Vec<SummaryDelta> = Vec::new();
        for (subject, known) in self.owed(now, l).into_iter().take(self.config.max_deltas_per_reply) {
            let Some(held) = self.has(now, subject) else { continue };
            let changed = held.since(known.number);
            let (token, number, age_us) = (known.token, held.number, (now - held.made_at).max(0));
            let told = SummaryDelta { subject, token, number, base: known.number, age_us, changed };
            let bytes = frame_size::summary(&told);
            // One always goes: what is large would otherwise wait for ever behind what is small.
            if bytes > left && !all.is_empty() {
                self.short = true;
                break;
            }
            left -= bytes;
            all.push(told);
        }
        let question = l.heard;
        let known = |t: &SummaryDelta| (t.subject, Known { token: t.token, number: t.number, at: now });
        let says = all.iter().map(known).collect();
        if let Some(l) = self.links.get_mut(&link) {
            (l.owes, l.sent) = (false, Some((question, says)));
        }
        self.call(GossipAction::Reply { link, request_id: question, deltas: all });
    }

    fn call(&mut self, call: GossipAction) {
        self.bucket.spend(frame_size::frame_bytes(&call));
        self.calls.push_back(call);
    }

    /// A linked planner answers. What cannot be true is dropped, each with what is wrong.
    pub fn receive_reply(
        &mut self,
        now: i64,
        link: u64,
        question: u64,
        all: impl IntoIterator<Item = SummaryDelta>,
    ) -> Vec<InvalidSummary> {
        let Some(l) = self.links.get_mut(&link) else { return Vec::new() };
        let peer = l.seat;
        let Some((_, asked_at)) = l.open.take_if(|open| open.0 == question) else {
            // Doubled, or late beyond patience: how old it is by now is not known.
            return vec![InvalidSummary::RequestId { peer, found: question }];
        };
        l.took = question;
        let on_the_way = now - asked_at;
        all.into_iter().filter_map(|told| self.take(now, link, peer, on_the_way, told).err()).collect()
    }

    fn take(
        &mut self,
        now: i64,
        link: u64,
        peer: usize,
        on_the_way: i64,
        told: SummaryDelta,
    ) -> Result<(), InvalidSummary> {
        let (subject, seats, token, number) = (told.subject, self.site.slots, told.token, told.number);
        if subject >= 2 * seats {
            return Err(InvalidSummary::Slot { peer, found: subject, slots: seats });
        }
        let (seat, expected) = (self.seat_of(subject), self.seats[self.seat_of(subject)].token);
        if token < expected {
            // An earlier holder's, from who has not heard of the newer one.
            return Ok(());
        }
        if token > expected {
            return Err(InvalidSummary::Token { peer, slot: seat, found: token, expected });
        }
        let has = self.held[subject].as_ref().map_or(0, |h| h.number);
        if seat == self.site.own_slot {
            let expected = has;
            return if number > has {
                Err(InvalidSummary::Number { peer, slot: seat, found: number, expected })
            } else {
                Ok(())
            };
        }
        if told.age_us < 0 {
            return Err(InvalidSummary::Age { peer, slot: seat, found: told.age_us });
        }
        let is_zone = self.is_zone(subject);
        let size = self.kinds.metric_count() + if is_zone { COUNTS } else { 0 };
        let carried =
            |(field, found, expected)| InvalidSummary::Payload { peer, slot: seat, field, found, expected };
        let rises = told.changed.windows(2).all(|w| w[0].0 < w[1].0);
        let last = told.changed.last().map_or(0, |c| c.0 + 1);
        if !rises || last > size || told.base == 0 && last != size {
            let expected = format!("{size} figures in their order, as of this planner's files");
            return Err(carried(("figures".into(), last.to_string(), expected)));
        }
        if let Some((n, bits)) = told.changed.iter().find(|c| !f32::from_bits(c.1).is_finite()) {
            let found = f32::from_bits(*bits).to_string();
            return Err(carried((format!("figures[{n}]"), found, "a finite number".into())));
        }
        if told.base > 0 && told.base >= number {
            let expected = format!("less than its number, {number}");
            return Err(carried(("base".into(), told.base.to_string(), expected)));
        }
        // The other end has it.
        if let Some(l) = self.links.get_mut(&link) {
            let known = l.known.entry(subject).or_insert(Known { token, number, at: now });
            if (known.token, known.number) < (token, number) {
                *known = Known { token, number, at: now };
            }
        }
        if number <= has {
            return Ok(());
        }
        let mut made_at = now.saturating_sub(told.age_us).saturating_sub(on_the_way);
        let before = self.held[subject].as_ref();
        if let Some(b) = before.filter(|_| !is_zone) {
            // It was made after the one before, of which this is known as well.
            made_at = made_at.max(b.made_at);
        }
        match StoredSummary::take(before, made_at, &told) {
            Some(held) => {
                self.held[subject] = Some(held);
                // Others need not tell it again.
                for (_, l) in self.links.iter_mut().filter(|(n, _)| **n != link) {
                    l.corrects.insert(subject);
                }
            }
            None => {
                if let Some(l) = self.links.get_mut(&link) {
                    l.corrects.insert(subject);
                }
            }
        }
        Ok(())
    }

    /// What cannot be true of figures of this planner's own.
    fn wrong(&self, subject: usize, figures: &Metrics) -> Option<(String, String, String)> {
        let size = self.kinds.metric_count() + if self.is_zone(subject) { COUNTS } else { 0 };
        if figures.len() != size || size > MAX_METRICS {
            let expected = format!("{size}, {MAX_METRICS} at most");
            return Some(("figures".into(), figures.len().to_string(), expected));
        }
        let n = figures.iter().position(|x| !x.is_finite())?;
        Some((format!("figures[{n}]"), figures.get(n).to_string(), "a finite number".into()))
    }

    /// Time passes: a planner is asked, links that stall are given up, partners are looked for.
    pub fn advance(&mut self, now: i64) {
        if now < self.round_at {
            return;
        }
        let quarter = self.config.round_us / 4;
        self.round_at = now + self.config.round_us + self.chance().i64(-quarter..=quarter);
        self.give_up(now);
        self.look_for_partners(now);
        self.say_zone(now);
        let due = |l: &Link| self.is_due(now, l, 0);
        let due: Vec<u64> = self.links.iter().filter(|(_, l)| due(l)).map(|(n, _)| *n).collect();
        if !due.is_empty() {
            let n = self.chance().usize(0..due.len());
            self.ask(now, due[n]);
        }
        let mut owing: Vec<u64> = self.links.iter().filter(|(_, l)| l.owes).map(|(n, _)| *n).collect();
        self.chance().shuffle(&mut owing);
        owing.into_iter().for_each(|link| self.answer(now, link));
    }

    /// Whether the other end may be asked again, so long after the last time; those far away less often.
    fn is_due(&self, now: i64, link: &Link, after: i64) -> bool {
        let after = if self.far(link.seat) { self.config.remote_region_interval_us } else { after };
        link.open.is_none() && now.saturating_sub(after) >= link.asked_at
    }

    fn give_up(&mut self, now: i64) {
        let patience = self.config.timeout_us;
        let stalls = |l: &Link| l.open.is_some_and(|open| now >= open.1 + patience);
        let stalled: Vec<u64> = self.links.iter().filter(|(_, l)| stalls(l)).map(|(n, _)| *n).collect();
        stalled.into_iter().for_each(|link| self.hang(now, link));
        let dead: Vec<usize> =
            self.dialling.iter().filter(|(_, at)| now >= **at + patience).map(|x| *x.0).collect();
        dead.into_iter().for_each(|seat| self.dial_failed(now, seat));
    }

    fn hang(&mut self, now: i64, link: u64) {
        self.link_down(now, link);
        self.calls.push_back(GossipAction::CloseLink { link });
    }

    /// Planners that it links to, or is about to, within its zone or beyond it.
    fn partners(&self, near: bool) -> usize {
        let linked = self.links.values().filter(|l| l.ours).map(|l| l.seat);
        linked.chain(self.dialling.keys().copied()).filter(|seat| self.near(*seat) == near).count()
    }

    /// Planners of other zones that it is to link to. Some of its zone do, the lowest that are heard, each
    /// second one to another region; more where its zone has few to talk to.
    fn outward(&self, now: i64) -> (usize, bool) {
        if self.config.flat {
            return (0, false);
        }
        let mates = || (0..self.seats.len()).filter(|s| *s != self.site.own_slot && self.near(*s));
        let lower = mates().filter(|s| *s < self.site.own_slot && self.counts(now, *s)).count();
        if lower >= self.config.remote_links {
            return (0, false);
        }
        (1 + self.config.partners.saturating_sub(mates().count()), lower % 2 == 1)
    }

    fn look_for_partners(&mut self, now: i64) {
        let linked = |seat: usize| self.links.values().any(|l| l.seat == seat);
        let may = |(seat, s): (usize, &Seat)| {
            let free = seat != self.site.own_slot && !linked(seat) && !self.dialling.contains_key(&seat);
            (free && s.place.is_some() && now >= s.again_at).then_some(seat)
        };
        let mut may: Vec<usize> = self.seats.iter().enumerate().filter_map(may).collect();
        self.chance().shuffle(&mut may);
        let (outward, far) = self.outward(now);
        // Who goes to its own region goes to another where that has nobody else, and the other way round.
        may.sort_by_key(|seat| !self.near(*seat) && self.far(*seat) != far);
        let swaps = now >= self.swap_at;
        for (near, wants) in [(true, self.config.partners), (false, outward)] {
            let may: Vec<usize> = may.iter().copied().filter(|seat| self.near(*seat) == near).collect();
            let has = self.partners(near);
            let ours = || self.links.iter().filter(|(_, l)| l.ours && self.near(l.seat) == near);
            let better = !near && may.first().is_some_and(|seat| self.far(*seat) == far);
            let worse: Vec<u64> =
                ours().filter(|(_, l)| better && self.far(l.seat) != far).map(|(n, _)| *n).collect();
            let ours: Vec<u64> = ours().map(|(n, _)| *n).collect();
            let one = if has > wants || swaps && has == wants && !may.is_empty() {
                self.chance().choice(ours)
            } else {
                worse.first().copied()
            };
            if let Some(link) = one {
                self.hang(now, link);
            }
            let lacks = wants.saturating_sub(self.partners(near));
            for seat in may.into_iter().take(lacks) {
                let Some(place) = &self.seats[seat].place else { continue };
                let address = place.address.clone();
                self.dialling.insert(seat, now);
                self.calls.push_back(GossipAction::Dial { slot: seat, address });
            }
        }
        if swaps {
            self.swap_at = now + self.config.partner_swap_us;
        }
    }

    fn ask(&mut self, now: i64, link: u64) {
        let Some(l) = self.links.get(&link).filter(|l| l.open.is_none()) else { return };
        let has = |subject: usize| {
            // However old: what changed since is told against it.
            Version { subject, number: self.held[subject].as_ref().map_or(0, |h| h.number) }
        };
        let has: Vec<Version> = if l.took == 0 {
            let all = (0..self.held.len()).filter(|s| self.goes(*s, l.seat));
            all.map(has).filter(|h| h.number > 0).collect()
        } else {
            l.corrects.iter().copied().filter(|s| self.goes(*s, l.seat)).map(has).collect()
        };
        let (question, took) = (self.questions + 1, l.took);
        let news = !self.owed(now, l).is_empty();
        let call = GossipAction::Request {
            link,
            request: PullRequest { id: question, acknowledged: took, has_updates: news, versions: has },
        };
        if self.bucket.left(now) <= 0 {
            self.short = true;
            return;
        }
        self.questions = question;
        if let Some(l) = self.links.get_mut(&link) {
            (l.open, l.asked_at) = (Some((question, now)), now);
            l.corrects.clear();
        }
        self.call(call);
    }

    /// What is held of a subject that is worth passing on.
    fn has(&self, now: i64, subject: usize) -> Option<&StoredSummary> {
        self.held[subject].as_ref().filter(|h| now - h.made_at <= self.fresh(subject))
    }

    // What it knows.

    /// What is known of a seat at this moment.
    pub fn freshness(&self, now: i64, seat: usize) -> Freshness<'_> {
        let Some(s) = self.seats.get(seat).filter(|s| s.token > 0) else { return Freshness::Unassigned };
        let token = s.token;
        if !self.near(seat) && s.place.is_some() {
            return Freshness::RemoteZone { token, zone: self.zone(seat) };
        }
        let Some(h) = &self.held[seat] else { return Freshness::Stale { token, age_us: None } };
        let age_us = (now - h.made_at).max(0);
        if age_us > self.config.stale_after_us {
            return Freshness::Stale { token, age_us: Some(age_us) };
        }
        Freshness::Fresh { token, number: h.number, age_us, metrics: &h.figures }
    }

    /// What is known of a zone: of those who made a summary of it and are heard, what the one says who hears
    /// the most planners there, the lowest of several.
    pub fn zone_summary(&self, now: i64, zone: usize) -> Option<ZoneSummary<'_>> {
        self.zone_summary_by(now, self.makers(now).get(&zone)?.1 .0)
    }

    /// The summary that this seat made of its zone, where it is heard.
    pub fn zone_summary_by(&self, now: i64, maker: usize) -> Option<ZoneSummary<'_>> {
        let (h, size) = (self.has(now, maker + self.site.slots)?, self.kinds.metric_count());
        Some(ZoneSummary {
            reporter: maker,
            token: self.seats[maker].token,
            number: h.number,
            age_us: (now - h.made_at).max(0),
            planners: h.figures.get(size) as usize,
            stale_planners: h.figures.get(size + 1) as usize,
            metrics: &h.figures,
        })
    }

    /// Other zones than this planner's, by their places; none where all are told of one by one.
    pub fn remote_zones(&self) -> impl Iterator<Item = usize> + '_ {
        let count = if self.config.flat { 0 } else { self.site.zone_regions.len() };
        (0..count).filter(|zone| *zone != self.site.own_zone)
    }

    /// Seats that there are, this planner's own among them.
    pub fn slot_count(&self) -> usize {
        self.seats.len()
    }

    /// Who is at the other end of a link.
    pub fn peer_slot(&self, link: u64) -> Option<usize> {
        self.links.get(&link).map(|l| l.seat)
    }

    /// The planners to which a link stands.
    pub fn linked_slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.links.values().map(|l| l.seat)
    }
}
