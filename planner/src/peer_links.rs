//! A planner's links to other planners: between the lease client, which says who holds which slot and where,
//! the sockets, and the decisions of `basaltpitch_gossip`. What other planners report goes in; frames, links
//! to dial and links to close come out.
mod status;

use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::shared_metrics::{self, SharedMetrics};
use crate::state::PlannerState;
use crate::summary_codec;
use crate::zone_monitor::{ObservedZones, ZoneMonitor};
use basaltpitch::host::Readiness;
use basaltpitch_admission::PeerSummary;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::session::PeerIdentity;
use basaltpitch_agent::wire::Body;
use basaltpitch_gossip::{
    Gossip, GossipAction, GossipConfig, InvalidSummary, LinkedPeer, Membership, MetricLayout, Metrics,
    PeerAddress,
};
use basaltpitch_zone_failover::zone_metrics::{
    ANSWERING, ATTEMPTS, CORES, CORES_USED, FAILED_ATTEMPTS, MACHINES, READY,
};
use basaltpitch_zone_failover::{ZoneMetrics, ZONE_METRICS};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::mpsc;

/// It publishes its own summary each so often.
const PUBLISH_INTERVAL_US: i64 = 1_000_000;
/// An error about a peer's summaries is logged at most each so often.
const LOG_INTERVAL_US: i64 = 10 * PUBLISH_INTERVAL_US;
/// Links that this side dials are numbered from here; the others have the numbers of their connections.
const FIRST_DIALED: u64 = 1 << 63;
/// Recent attempts count for this part of what they did, each time that the summary is published.
const ATTEMPTS_DECAY: f64 = 0.7;

/// What a planner that holds a slot needs to know to link to the others.
pub struct PeerLinksConfig {
    /// The names of all slots, in the installation's order.
    pub slots: Vec<Rc<str>>,
    /// Which of them is this planner's.
    pub own_slot: usize,
    /// Where others reach it; none: nowhere.
    pub address: Option<String>,
    /// The names of all zones, in the installation's order.
    pub zones: Vec<String>,
    /// The zone that this planner is in.
    pub own_zone: usize,
    /// The region of each zone.
    pub zone_regions: Vec<usize>,
    /// Bytes a second for control, in and out; none: no limit.
    pub bytes_per_second: Option<f64>,
    /// Admission here does not weigh what other planners report.
    pub ignore_peer_demand: bool,
    /// Until when this planner holds its slot.
    pub lease_deadline: LeaseDeadline,
    /// To the lease client.
    pub commands: mpsc::Sender<LeaseCommand>,
}

/// Attempts in one zone.
#[derive(Clone, Copy, Default)]
struct AttemptRates {
    /// All, and those refused or failed, as they were counted last.
    counted: [u64; 2],
    /// The same, where earlier ones count for less.
    recent: [f64; 2],
}

/// What is fresh of one planner, or of another zone as one.
struct PeerReport {
    planners: usize,
    age_us: i64,
    shared: SharedMetrics,
}

/// The other planners, as this one knows them.
pub struct PeerLinks {
    config: PeerLinksConfig,
    gossip: Gossip<MetricLayout>,
    /// Where frames for each link go.
    orders: HashMap<u64, mpsc::Sender<LinkCommand>>,
    /// The slots that are dialled, by link.
    dialed: HashMap<u64, usize>,
    last_dialed: u64,
    publish_at_us: i64,
    zone_monitor: ZoneMonitor,
    /// By zone.
    attempts: Vec<AttemptRates>,
    /// By slot, when an error about its summaries was logged last.
    logged_at_us: BTreeMap<usize, i64>,
}

impl PeerLinks {
    /// This planner holds its slot under `token`; `seed` is for the draws of gossip.
    pub fn new(now_us: i64, config: PeerLinksConfig, token: u64, seed: u64) -> Self {
        let (slots, zone_count) = (config.slots.len(), config.zones.len());
        let gossip_config = GossipConfig::for_installation(slots, zone_count, config.bytes_per_second);
        let membership = Membership {
            slots,
            own_slot: config.own_slot,
            own_token: token,
            own_zone: config.own_zone,
            zone_regions: config.zone_regions[..].into(),
        };
        let layout = shared_metrics::layout(zone_count);
        let gossip = Gossip::new(now_us, gossip_config, membership, layout, seed);
        if let Some(address) = &config.address {
            // Where it listens, and its zone, are the metadata of its slot's lease.
            let zone = config.zones.get(config.own_zone).map_or("", String::as_str);
            let lease = config.slots[config.own_slot].clone();
            let metadata = format!("{address} {zone}").into_bytes();
            if config.commands.try_send(LeaseCommand::WriteMetadata { lease, token, metadata }).is_err() {
                tracing::error!("the council takes no note of the address: other planners do not link here");
            }
        }
        let zone_monitor = ZoneMonitor::new(config.zones.clone(), config.commands.clone());
        PeerLinks {
            config,
            gossip,
            orders: HashMap::new(),
            dialed: HashMap::new(),
            last_dialed: FIRST_DIALED,
            publish_at_us: now_us,
            zone_monitor,
            attempts: vec![AttemptRates::default(); zone_count],
            logged_at_us: BTreeMap::new(),
        }
    }

    /// What became of the lease of the zones' coordinator.
    pub fn coordinator_event(&mut self, now_us: i64, state: &mut PlannerState, event: LeaseEvent) {
        self.zone_monitor.lease_event(now_us, event);
        // The coordinator acts on its own decision as soon as it is stored: others may have it, and rely on it.
        state.hold_back_zones(now_us, self.zone_monitor.phases());
    }

    /// The time at which `advance` has something to do.
    pub fn next_due_us(&self) -> i64 {
        self.gossip.next_due_us().min(self.publish_at_us)
    }

    /// Time passes. A planner that lost its slot, and does not know it yet, publishes nothing.
    pub fn advance(&mut self, now_us: i64, state: &mut PlannerState) {
        // The service lets time pass at each timer of the planner's: what hundreds of slots report is read anew
        // only when something is due here.
        if now_us < self.next_due_us() {
            return;
        }
        if now_us >= self.publish_at_us {
            self.publish_at_us = now_us + PUBLISH_INTERVAL_US;
            self.count_attempts(state);
            self.observe_zones(now_us, state);
            if self.config.lease_deadline.is_held() {
                if let Err(e) = self.gossip.publish(now_us, self.own_metrics(now_us, state)) {
                    tracing::error!(error = %e, "this planner's own summary cannot be true");
                }
            }
        }
        self.gossip.advance(now_us);
        if let Some(admission) = state.admission.as_mut().filter(|_| !self.config.ignore_peer_demand) {
            let demand = |report: PeerReport| {
                let PeerReport { planners, age_us, shared } = report;
                PeerSummary { age_us, planners, summary: shared.demand }
            };
            admission.receive_summaries(now_us, self.fresh_reports(now_us).into_iter().map(demand));
        }
    }

    /// What is fresh of others: planners one by one, and those of other zones as one.
    fn fresh_reports(&self, now_us: i64) -> Vec<PeerReport> {
        let zone_count = self.config.zones.len();
        let report = |planners, age_us, metrics: &Metrics| {
            let shared = SharedMetrics::from_metrics(metrics, zone_count)?;
            Some(PeerReport { planners, age_us, shared })
        };
        let of_slot = |slot| {
            let (age_us, metrics) = self.gossip.freshness(now_us, slot).fresh()?;
            report(1, age_us, metrics)
        };
        let of_zone = |zone| {
            let summary = self.gossip.zone_summary(now_us, zone)?;
            report(summary.planners, summary.age_us, summary.metrics)
        };
        let others = (0..self.gossip.slot_count()).filter(|slot| *slot != self.config.own_slot);
        others.filter_map(of_slot).chain(self.gossip.remote_zones().filter_map(of_zone)).collect()
    }

    /// What this planner publishes of itself.
    fn own_metrics(&self, now_us: i64, state: &mut PlannerState) -> Metrics {
        let counts = state.counts;
        let shared = SharedMetrics {
            counts: [
                state.open_requests() as f64,
                counts.placed as f64,
                counts.declined as f64,
                counts.aborted as f64,
            ],
            own_zone: self.config.own_zone,
            decision: self.zone_monitor.shared_decision(),
            demand: state.admission.as_mut().map(|admission| admission.summary(now_us)).unwrap_or_default(),
            zones: self.own_zone_metrics(state),
        };
        shared.to_metrics(self.config.zones.len())
    }

    fn count_attempts(&mut self, state: &PlannerState) {
        for (zone, rates) in self.attempts.iter_mut().enumerate() {
            let attempts = state.zone_attempts(zone);
            let counted = [attempts.launched, attempts.failed];
            for ((recent, before), now) in rates.recent.iter_mut().zip(rates.counted).zip(counted) {
                *recent = *recent * ATTEMPTS_DECAY + (now - before) as f64;
            }
            rates.counted = counted;
        }
    }

    /// What this planner itself sees of each zone.
    fn own_zone_metrics(&self, state: &PlannerState) -> Vec<ZoneMetrics> {
        let attempts_only = |rates: &AttemptRates| {
            let mut metrics = [0.0; ZONE_METRICS.len()];
            [metrics[ATTEMPTS], metrics[FAILED_ATTEMPTS]] = rates.recent;
            metrics
        };
        let mut zones: Vec<ZoneMetrics> = self.attempts.iter().map(attempts_only).collect();
        // Cores are those of the fleet, of which a subset is a sample.
        let fleet_share = state.fleet_to_subset_ratio();
        for (_, availability, belief) in state.observable_machines() {
            let Some(metrics) = zones.get_mut(availability.location.1) else { continue };
            metrics[MACHINES] += 1.0;
            metrics[ANSWERING] += f64::from(availability.is_responsive());
            if availability.readiness() == Readiness::Ready {
                metrics[READY] += 1.0;
                metrics[CORES] += fleet_share * belief.cores;
                metrics[CORES_USED] += fleet_share * belief.cores_at_confidence;
            }
        }
        zones
    }

    /// What all planners that are heard report of zones; machines are held back by the decision that counts.
    fn observe_zones(&mut self, now_us: i64, state: &mut PlannerState) {
        let own_zone = self.config.own_zone;
        let mut observed = vec![ObservedZones { own_zone, planners: 1, zones: self.own_zone_metrics(state) }];
        for PeerReport { planners, shared, .. } in self.fresh_reports(now_us) {
            self.zone_monitor.decision_from_peer(&shared.decision);
            observed.push(ObservedZones { own_zone: shared.own_zone, planners, zones: shared.zones });
        }
        self.zone_monitor.observe(now_us, self.gossip.slot_count(), &observed);
        state.hold_back_zones(now_us, self.zone_monitor.phases());
    }

    /// A voter's copy of the decision on zones, as the coordinator under this token wrote it.
    pub fn decision_from_voter(
        &mut self,
        now_us: i64,
        state: &mut PlannerState,
        token: u64,
        metadata: &[u8],
    ) {
        if self.zone_monitor.decision_from_voter(token, metadata) {
            state.hold_back_zones(now_us, self.zone_monitor.phases());
        }
    }

    /// A slot was acquired under `token`; its lease metadata says where its planner listens, and its zone.
    pub fn slot_assigned(&mut self, now_us: i64, slot: &str, token: u64, metadata: Option<&str>) {
        let Some(slot) = self.config.slots.iter().position(|name| **name == *slot) else { return };
        let parse = |metadata: &str| {
            let (address, zone) = metadata.split_once(' ')?;
            let zone = self.config.zones.iter().position(|name| *name == *zone)?;
            Some(PeerAddress { address: address.into(), zone })
        };
        let metadata = metadata.filter(|metadata| !metadata.is_empty());
        let address = metadata.map(|metadata| parse(metadata).ok_or(metadata));
        if let Some(Err(metadata)) = &address {
            let found = (*metadata).to_owned();
            self.log_invalid(now_us, &InvalidSummary::Address { peer: slot, found });
        }
        self.gossip.slot_assigned(now_us, slot, token, address.and_then(Result::ok));
    }

    /// A planner said hello, over a link of either side.
    ///
    /// # Errors
    /// The link is to be closed.
    pub fn link_up(
        &mut self,
        now_us: i64,
        link: u64,
        peer: &PeerIdentity,
        orders: mpsc::Sender<LinkCommand>,
    ) -> Result<(), InvalidSummary> {
        let dialed = self.dialed.get(&link).copied();
        let slots = self.config.slots.len();
        let slot = self.config.slots.iter().position(|name| **name == *peer.name).unwrap_or(slots);
        self.orders.insert(link, orders);
        if let Some(expected) = dialed.filter(|dialed| *dialed != slot) {
            // Its address belongs to another process by now.
            return Err(InvalidSummary::Slot { peer: expected, found: slot, slots });
        }
        let peer = LinkedPeer { slot, token: peer.epoch, outbound: dialed.is_some() };
        let linked = self.gossip.link_up(now_us, link, peer);
        if let (Err(_), Some(slot)) = (&linked, dialed) {
            // Dialled again at once, it would answer the same.
            self.gossip.dial_failed(now_us, slot);
        }
        linked
    }

    /// A frame of a planner's.
    ///
    /// # Errors
    /// The link is to be closed.
    pub fn receive_frame(&mut self, now_us: i64, link: u64, body: Body) -> Result<(), InvalidSummary> {
        let peer = self.gossip.peer_slot(link).unwrap_or_default();
        match body {
            Body::Digest(digest) => {
                let request = summary_codec::decode_request(peer, digest)?;
                self.gossip.receive_request(now_us, link, request)
            }
            Body::Summaries(summaries) => {
                let (request_id, deltas) = summary_codec::decode_reply(peer, summaries)?;
                let invalid = self.gossip.receive_reply(now_us, link, request_id, deltas);
                invalid.iter().for_each(|one| self.log_invalid(now_us, one));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Each frame may hold one summary of many that is invalid: it is logged of each peer once in a while.
    fn log_invalid(&mut self, now_us: i64, invalid: &InvalidSummary) {
        let help = invalid.advice();
        if invalid.is_expected() {
            return tracing::debug!(error = %invalid, help, "a summary is dropped");
        }
        let logged_at_us = self.logged_at_us.entry(invalid.peer()).or_insert(i64::MIN);
        if now_us.saturating_sub(LOG_INTERVAL_US) >= *logged_at_us {
            *logged_at_us = now_us;
            tracing::error!(error = %invalid, help, "a summary is dropped");
        }
    }

    /// Whether this link is one to a planner.
    pub fn has_link(&self, link: u64) -> bool {
        self.orders.contains_key(&link)
    }

    /// A link is gone, or a planner that was dialled did not answer.
    pub fn link_down(&mut self, now_us: i64, link: u64) {
        let was_up = self.orders.remove(&link).is_some();
        match self.dialed.remove(&link) {
            Some(slot) if !was_up => self.gossip.dial_failed(now_us, slot),
            _ => self.gossip.link_down(now_us, link),
        }
    }

    /// Hands frames and closings to links; the next planner to dial: the number of the link, and the address.
    pub fn next_dial(&mut self) -> Option<(u64, Rc<str>)> {
        while let Some(action) = self.gossip.next_action() {
            match action {
                GossipAction::Dial { slot, address } => {
                    self.last_dialed += 1;
                    self.dialed.insert(self.last_dialed, slot);
                    return Some((self.last_dialed, address));
                }
                GossipAction::CloseLink { link } => {
                    self.order(link, LinkCommand::Close("linked to another planner".into()));
                }
                action => {
                    if let Some((link, body)) = summary_codec::encode(&action) {
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
}
