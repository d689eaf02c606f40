//! Gossip between planners: what each planner knows of the others. Each holder of a slot publishes
//! summaries under its token, with a number that rises. Planners pass on the newest summaries to a
//! few random peers (anti-entropy by pull: Demers and others, "Epidemic algorithms for replicated
//! database maintenance", 1987), as deltas against the version that the peer has. Summaries of
//! single slots stay within a zone; between zones, planners pass on one summary for a whole zone.
//! The subject of a summary is a slot, or a slot's zone as the slot's holder summarised it. The
//! meaning of the metrics in a summary is up to the caller. The crate does no I/O and has no clock:
//! times are whole microseconds of the caller's clock, which never goes back.
//!
//! The reported age of a summary is never below its true age. A planner accepts summaries only in
//! replies to its own requests. A reply states how old each summary was when the reply was sent,
//! which was after the request, so a summary is at most that age plus the time since the request,
//! by the requester's clock. Slow links make summaries look older, never younger. A zone's summary
//! is as old as the oldest summary merged into it.
//!
//! Summaries of an earlier holder are not accepted: a summary counts only under the token that the
//! voters announced for its slot, and an earlier holder that resumes publishes under a lower token.
//!
//! Deltas are sufficient: a delta is against a version that the requester stated to have under the
//! same token, and it is not applied to an older one. A requester with an older version says so and
//! receives the whole summary.
//!
//! - `actions`: the messages between planners, and the actions for the caller.
//! - `membership`: the slots, their holders, and which holders are in this planner's zone.
//! - `links`: links to other planners, and the choice of planners to dial.
//! - `pull`: requests and replies.
//! - `publish`: a planner's own summary and its zone's summary.
//! - `payload`, `stored_summary`: the metrics of a summary, and the stored form of a summary.
//! - `config`, `frame_size`, `byte_budget`: intervals, limits and the cost of messages in bytes.
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

/// The gossip state of one planner: its own summaries and those that it received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gossip<P> {
    membership: Membership,
    config: GossipConfig,
    payload: P,
    seed: u64,
    /// The number of random generators created so far; each draw uses a new one.
    draws: u64,
    slots: Vec<Slot>,
    /// By subject: first each slot's own summary, then the zone summary that each slot made.
    summaries: Vec<Option<StoredSummary>>,
    links: BTreeMap<u64, Link>,
    /// Slots that were dialled and have no link yet, and when they were dialled, in microseconds.
    dialing: BTreeMap<usize, i64>,
    /// The id of the last request that this planner sent.
    last_request_id: u64,
    started_us: i64,
    round_at_us: i64,
    swap_at_us: i64,
    /// When this planner last published its own summary, in microseconds.
    published_us: i64,
    /// When this planner last published its zone's summary, in microseconds.
    zone_published_us: i64,
    budget: ByteBudget,
    /// Whether a message had to wait for the byte budget since this planner's last own summary.
    throttled: bool,
    /// Consecutive own summaries during which no message had to wait for the byte budget.
    unthrottled_summaries: u32,
    coarseness: u32,
    actions: VecDeque<GossipAction>,
}

impl<P: Payload> Gossip<P> {
    /// Creates the state of a planner that has just acquired its slot and knows nothing of the
    /// others. `seed` seeds its random choices.
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
            throttled: false,
            unthrottled_summaries: 0,
            coarseness: publish::initial_coarseness(&config),
            actions: VecDeque::new(),
        }
    }

    /// Returns the next action for the caller, or `None` if there is none.
    pub fn next_action(&mut self) -> Option<GossipAction> {
        self.actions.pop_front()
    }

    /// Returns the time at which `advance` next has work, in microseconds.
    pub fn next_due_us(&self) -> i64 {
        self.round_at_us
    }

    /// Returns how many times the least change that is passed on is currently doubled because the
    /// byte budget is short.
    pub fn coarseness(&self) -> u32 {
        self.coarseness
    }

    /// Returns the bytes of all requests and replies sent so far, as frames.
    pub fn bytes_sent(&self) -> u64 {
        self.budget.sent
    }

    /// Returns the number of slots, including this planner's own.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    fn rng(&mut self) -> fastrand::Rng {
        self.draws += 1;
        fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 32))
    }

    /// Queues a request or a reply and charges it to the byte budget.
    fn send(&mut self, action: GossipAction) {
        self.budget.spend(frame_size::frame_bytes(&action));
        self.actions.push_back(action);
    }

    /// Runs a gossip round if one is due: requests summaries from one peer, closes stalled links,
    /// selects partners, and sends replies that waited for the byte budget.
    pub fn advance(&mut self, now_us: i64) {
        if now_us < self.round_at_us {
            return;
        }
        let quarter_us = self.config.round_us / 4;
        self.round_at_us = now_us + self.config.round_us + self.rng().i64(-quarter_us..=quarter_us);
        self.close_stalled_links(now_us);
        self.select_partners(now_us);
        self.publish_zone(now_us);
        let is_due = |link: &Link| self.is_due(now_us, link, 0);
        let due: Vec<u64> = self.links.iter().filter(|(_, link)| is_due(link)).map(|(id, _)| *id).collect();
        if !due.is_empty() {
            let index = self.rng().usize(0..due.len());
            self.request(now_us, due[index]);
        }
        let mut pending: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.reply_pending).map(|(id, _)| *id).collect();
        self.rng().shuffle(&mut pending);
        pending.into_iter().for_each(|link| self.reply(now_us, link));
    }

    /// Returns the stored summary of a subject (a slot or a zone) if it is fresh enough to be
    /// passed on.
    fn fresh_summary(&self, now_us: i64, subject: usize) -> Option<&StoredSummary> {
        let summary = self.summaries[subject].as_ref();
        summary.filter(|summary| now_us - summary.made_at_us <= self.stale_after_us(subject))
    }

    /// Returns the number of the stored summary of a subject (a slot or a zone); 0 if there is
    /// none.
    fn stored_number(&self, subject: usize) -> u64 {
        self.summaries[subject].as_ref().map_or(0, |summary| summary.number)
    }

    /// Returns how recent this planner's information about a slot is, with the metrics of a fresh
    /// summary.
    pub fn freshness(&self, now_us: i64, slot: usize) -> Freshness<'_> {
        let Some(holder) = self.slots.get(slot).filter(|holder| holder.token > 0) else {
            return Freshness::Unassigned;
        };
        let token = holder.token;
        if !self.is_local(slot) && holder.address.is_some() {
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

    /// Returns a zone's summary: among its fresh summaries the one that covers the most planners,
    /// and among equals the one made by the lowest slot.
    pub fn zone_summary(&self, now_us: i64, zone: usize) -> Option<ZoneSummary<'_>> {
        let (_, std::cmp::Reverse(reporter)) = *self.best_reporters(now_us).get(&zone)?;
        self.zone_summary_by(now_us, reporter)
    }

    /// Returns the summary that this slot made of its zone, if that summary is fresh.
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

    /// Returns, by zone, the slot whose summary of the zone is used, after the number of planners
    /// that the summary covers.
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
