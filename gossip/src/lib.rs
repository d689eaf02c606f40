//! What planners know of each other. Each holder of a slot publishes a summary under its token and a number
//! that rises; planners pass on the newest to a few others at random (anti-entropy by pull: Demers and
//! others, "Epidemic algorithms for replicated database maintenance", 1987), as a delta against what the
//! other has. Planners of one zone pass on summaries of each slot; beyond it go summaries of whole zones. What
//! a summary means is the caller's matter. No I/O, no clock of its own: times are whole microseconds of the
//! caller's clock, which never goes back.
//!
//! Why no age is understated: nothing is accepted but in reply to a request of one's own. The reply says how
//! old each summary was when it was sent; that was after the request, so each is at most that age plus the
//! time since the request, by the requester's own clock. Slow links make summaries look older, never younger.
//! A zone's summary is as old as its oldest part.
//!
//! Why an earlier holder is not believed: a summary counts only under the token that the voters announced for
//! its slot. What an earlier holder publishes once it wakes is under a lower one.
//!
//! Why deltas are enough: a delta is against a number that the requester says it holds, under the same token,
//! and applies to nothing older; who holds less says so and receives the whole.
//!
//! - `actions`: what planners send each other, and what the caller is to do.
//! - `membership`: the slots, their holders, and who is near whom.
//! - `links`: links to other planners, and which partners are dialled.
//! - `pull`: requests and replies.
//! - `publish`: a planner's own summary, and that of its zone.
//! - `payload`, `stored_summary`: the metrics of a summary, and what is kept of one.
//! - `config`, `frame_size`, `byte_budget`: intervals, limits and bytes.
pub mod actions;
mod byte_budget;
pub mod config;
pub mod frame_size;
pub mod freshness;
pub mod invalid_summary;
mod links;
pub mod membership;
pub mod payload;
mod publish;
mod pull;
mod stored_summary;

pub use actions::{GossipAction, PullRequest, SummaryDelta, Version};
pub use config::GossipConfig;
pub use freshness::{Freshness, ZoneSummary};
pub use invalid_summary::InvalidSummary;
pub use links::LinkedPeer;
pub use membership::{Membership, PeerAddress};
pub use payload::{MergeRule, MetricLayout, Metrics, Payload, MAX_METRICS};

use byte_budget::ByteBudget;
use links::Link;
use membership::Slot;
use std::collections::{BTreeMap, VecDeque};
use stored_summary::StoredSummary;

/// One planner's part in gossip, and what it knows of the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gossip<P> {
    membership: Membership,
    config: GossipConfig,
    payload: P,
    seed: u64,
    /// Random generators made so far: each draw has its own.
    draws: u64,
    slots: Vec<Slot>,
    /// By subject: each slot's own summary, then that of its zone as each slot made it.
    summaries: Vec<Option<StoredSummary>>,
    links: BTreeMap<u64, Link>,
    /// Slots that are dialled with no link yet, and since when.
    dialing: BTreeMap<usize, i64>,
    /// The id of the last request.
    last_request_id: u64,
    started_us: i64,
    round_at_us: i64,
    swap_at_us: i64,
    /// When this planner last published a summary of itself.
    published_us: i64,
    /// And one of its zone.
    zone_published_us: i64,
    budget: ByteBudget,
    /// Something waited for bytes since the last summary of its own.
    short_of_bytes: bool,
    /// Summaries of its own, one after the other, without that.
    unhindered: u32,
    coarseness: u32,
    actions: VecDeque<GossipAction>,
}

impl<P: Payload> Gossip<P> {
    /// A planner that has just acquired its slot and knows nothing of the others. `seed` is for its draws.
    pub fn new(now_us: i64, config: GossipConfig, membership: Membership, payload: P, seed: u64) -> Self {
        let mut slots = vec![Slot { token: 0, address: None, dial_at_us: now_us }; membership.slots];
        slots[membership.own_slot].token = membership.own_token;
        Gossip {
            summaries: vec![None; 2 * membership.slots],
            membership,
            config,
            payload,
            seed,
            draws: 0,
            slots,
            links: BTreeMap::new(),
            dialing: BTreeMap::new(),
            last_request_id: 0,
            started_us: now_us,
            round_at_us: now_us,
            swap_at_us: now_us + config.partner_swap_us,
            published_us: i64::MIN,
            zone_published_us: i64::MIN,
            budget: ByteBudget::new(now_us, config.bytes_per_second, config.burst_bytes),
            short_of_bytes: false,
            unhindered: 0,
            coarseness: publish::initial_coarseness(&config),
            actions: VecDeque::new(),
        }
    }

    /// What is to be done next; none: nothing more.
    pub fn next_action(&mut self) -> Option<GossipAction> {
        self.actions.pop_front()
    }

    /// The time at which `advance` has something to do.
    pub fn next_due_us(&self) -> i64 {
        self.round_at_us
    }

    /// How often the least change that is passed on is doubled now, as bytes are short.
    pub fn coarseness(&self) -> u32 {
        self.coarseness
    }

    /// Bytes of requests and replies so far, as frames.
    pub fn bytes_sent(&self) -> u64 {
        self.budget.sent
    }

    /// Slots that there are, this planner's own among them.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    fn rng(&mut self) -> fastrand::Rng {
        self.draws += 1;
        fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 32))
    }

    /// Queues a request or a reply, which costs bytes.
    fn send(&mut self, action: GossipAction) {
        self.budget.spend(frame_size::frame_bytes(&action));
        self.actions.push_back(action);
    }

    /// Time passes: a planner is asked, links that stall are closed, partners are looked for, and replies that
    /// waited for bytes are sent.
    pub fn advance(&mut self, now_us: i64) {
        if now_us < self.round_at_us {
            return;
        }
        let quarter_us = self.config.round_us / 4;
        self.round_at_us = now_us + self.config.round_us + self.rng().i64(-quarter_us..=quarter_us);
        self.give_up_stalled(now_us);
        self.look_for_partners(now_us);
        self.publish_zone(now_us);
        let is_due = |link: &Link| self.is_due(now_us, link, 0);
        let due: Vec<u64> = self.links.iter().filter(|(_, link)| is_due(link)).map(|(id, _)| *id).collect();
        if !due.is_empty() {
            let index = self.rng().usize(0..due.len());
            self.request(now_us, due[index]);
        }
        let mut owing: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.owes_reply).map(|(id, _)| *id).collect();
        self.rng().shuffle(&mut owing);
        owing.into_iter().for_each(|link| self.reply(now_us, link));
    }

    /// What is stored of a subject, where it is fresh enough to be passed on.
    fn fresh_summary(&self, now_us: i64, subject: usize) -> Option<&StoredSummary> {
        let summary = self.summaries[subject].as_ref();
        summary.filter(|summary| now_us - summary.made_at_us <= self.stale_after_us(subject))
    }

    /// The number of the summary that is stored of a subject; 0: none.
    fn stored_number(&self, subject: usize) -> u64 {
        self.summaries[subject].as_ref().map_or(0, |summary| summary.number)
    }

    /// What is known of a slot at this moment.
    pub fn freshness(&self, now_us: i64, slot: usize) -> Freshness<'_> {
        let Some(holder) = self.slots.get(slot).filter(|holder| holder.token > 0) else {
            return Freshness::Unassigned;
        };
        let token = holder.token;
        if !self.is_near(slot) && holder.address.is_some() {
            return Freshness::RemoteZone { token, zone: self.zone_of(slot) };
        }
        let Some(summary) = &self.summaries[slot] else {
            return Freshness::Stale { token, age_us: None };
        };
        let age_us = (now_us - summary.made_at_us).max(0);
        if age_us > self.config.stale_after_us {
            return Freshness::Stale { token, age_us: Some(age_us) };
        }
        Freshness::Fresh { token, number: summary.number, age_us, metrics: &summary.metrics }
    }

    /// What is known of a zone: of the fresh summaries of it, the one that stands for the most planners, of
    /// several that of the lowest slot.
    pub fn zone_summary(&self, now_us: i64, zone: usize) -> Option<ZoneSummary<'_>> {
        let (_, std::cmp::Reverse(reporter)) = *self.best_reporters(now_us).get(&zone)?;
        self.zone_summary_by(now_us, reporter)
    }

    /// The summary that this slot made of its zone, where it is fresh.
    pub fn zone_summary_by(&self, now_us: i64, reporter: usize) -> Option<ZoneSummary<'_>> {
        let summary = self.fresh_summary(now_us, reporter + self.membership.slots)?;
        let own_metrics = self.payload.metric_count();
        Some(ZoneSummary {
            reporter,
            token: self.slots[reporter].token,
            number: summary.number,
            age_us: (now_us - summary.made_at_us).max(0),
            planners: summary.metrics.get(own_metrics) as usize,
            stale_planners: summary.metrics.get(own_metrics + 1) as usize,
            metrics: &summary.metrics,
        })
    }

    /// Of each zone the slot whose summary of it counts here, behind the planners that it stands for.
    fn best_reporters(&self, now_us: i64) -> BTreeMap<usize, (usize, std::cmp::Reverse<usize>)> {
        let mut best_reporters = BTreeMap::new();
        if self.config.flat {
            return best_reporters;
        }
        for reporter in 0..self.membership.slots {
            let Some(summary) = self.zone_summary_by(now_us, reporter) else { continue };
            let Some(zone) = self.zone_of(reporter) else { continue };
            let this = (summary.planners, std::cmp::Reverse(reporter));
            let best = best_reporters.entry(zone).or_insert(this);
            *best = this.max(*best);
        }
        best_reporters
    }
}
