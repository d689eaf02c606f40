//! A planner's links to other planners. Connects the lease client, which reports the holder and the
//! address of each slot, the sockets, and the gossip protocol of `basaltpitch_gossip`. Its inputs
//! are the summaries of other planners; its outputs are frames, links to dial and links to close.
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

/// Interval at which the planner publishes its own summary.
const PUBLISH_INTERVAL_US: i64 = 1_000_000;
/// Least time between two logged errors about the summaries of one peer.
const LOG_INTERVAL_US: i64 = 10 * PUBLISH_INTERVAL_US;
/// Links that this planner dials have numbers above this, so that they differ from the numbers of
/// accepted connections.
const FIRST_DIALED: u64 = 1 << 63;
/// Factor by which earlier attempts lose weight each time the summary is published.
const ATTEMPTS_DECAY: f64 = 0.7;

/// Configuration of the links between planners that hold slots.
pub struct PeerLinksConfig {
    /// The names of all slots, in the installation's order.
    pub slots: Vec<Rc<str>>,
    /// Index of this planner's own slot in `slots`.
    pub own_slot: usize,
    /// Address at which other planners reach this planner; `None` if they cannot reach it.
    pub address: Option<String>,
    /// The names of all zones, in the installation's order.
    pub zones: Vec<String>,
    /// Index of this planner's own zone in `zones`.
    pub own_zone: usize,
    /// The region of each zone, by the zone's index.
    pub zone_regions: Vec<usize>,
    /// Budget for control traffic in both directions, in bytes per second; `None` means no limit.
    pub bytes_per_second: Option<f64>,
    /// Whether admission control ignores the demand that other planners report.
    pub ignore_peer_demand: bool,
    /// Time until which this planner holds its slot.
    pub lease_deadline: LeaseDeadline,
    /// Commands for the lease client.
    pub commands: mpsc::Sender<LeaseCommand>,
}

/// The attempts of this planner in one zone.
#[derive(Clone, Copy, Default)]
struct AttemptRates {
    /// Total attempts, and those refused or failed, at the last count.
    counted: [u64; 2],
    /// The same two counts, with weights that decay over time.
    recent: [f64; 2],
}

/// A fresh summary of one planner, or the merged summary of another zone's planners.
struct PeerReport {
    planners: usize,
    age_us: i64,
    shared: SharedMetrics,
}

/// The links to other planners and the summaries received from them.
pub struct PeerLinks {
    config: PeerLinksConfig,
    gossip: Gossip<MetricLayout>,
    /// Command channel of each link, by link number.
    link_commands: HashMap<u64, mpsc::Sender<LinkCommand>>,
    /// Slots to which this planner opened a link, by link number.
    dialed: HashMap<u64, usize>,
    last_dialed: u64,
    publish_at_us: i64,
    zone_monitor: ZoneMonitor,
    /// This planner's attempts, by zone.
    attempts: Vec<AttemptRates>,
    /// Time of the last logged error about a peer's summaries, by the peer's slot.
    logged_at_us: BTreeMap<usize, i64>,
}

impl PeerLinks {
    /// Creates the state without links, and writes this planner's address to its slot's lease
    /// metadata. `token` is the fencing token of its slot; `seed` seeds gossip's random choices.
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
            // The lease metadata of a slot is its holder's address and zone.
            let zone = config.zones.get(config.own_zone).map_or("", String::as_str);
            let lease = config.slots[config.own_slot].clone();
            let metadata = format!("{address} {zone}").into_bytes();
            if config.commands.try_send(LeaseCommand::WriteMetadata { lease, token, metadata }).is_err() {
                tracing::error!(
                    "cannot queue the lease metadata with this planner's address; other planners will not connect to it"
                );
            }
        }
        let zone_monitor = ZoneMonitor::new(config.zones.clone(), config.commands.clone());
        PeerLinks {
            config,
            gossip,
            link_commands: HashMap::new(),
            dialed: HashMap::new(),
            last_dialed: FIRST_DIALED,
            publish_at_us: now_us,
            zone_monitor,
            attempts: vec![AttemptRates::default(); zone_count],
            logged_at_us: BTreeMap::new(),
        }
    }

    /// Handles an event of the failover coordinator's lease.
    pub fn coordinator_event(&mut self, now_us: i64, state: &mut PlannerState, event: LeaseEvent) {
        self.zone_monitor.lease_event(now_us, event);
        // The coordinator applies its decision once a majority stores it, because other planners
        // may already have received it and rely on it.
        state.hold_back_zones(now_us, self.zone_monitor.phases());
    }

    /// Returns the time at which `advance` has something to do, in microseconds.
    pub fn next_due_us(&self) -> i64 {
        self.gossip.next_due_us().min(self.publish_at_us)
    }

    /// Publishes this planner's summary and runs gossip timers that are due. Nothing is published
    /// after the slot's lease deadline, even if the loss of the slot was not reported yet.
    pub fn advance(&mut self, now_us: i64, state: &mut PlannerState) {
        // The service calls this for every timer of the planner. The summaries of hundreds of slots
        // are read again only when a timer of this module is due.
        if now_us < self.next_due_us() {
            return;
        }
        if now_us >= self.publish_at_us {
            self.publish_at_us = now_us + PUBLISH_INTERVAL_US;
            self.count_attempts(state);
            self.observe_zones(now_us, state);
            if self.config.lease_deadline.is_held() {
                if let Err(e) = self.gossip.publish(now_us, self.own_metrics(now_us, state)) {
                    tracing::error!(error = %e, "this planner's own summary is invalid; not publishing it");
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

    /// Returns the fresh summaries of other planners, and the fresh merged summary of each zone of
    /// which only that is known.
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

    /// Returns the metrics that this planner publishes.
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

    /// Updates the decaying counts of this planner's attempts in each zone.
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

    /// Returns this planner's own observations of each zone.
    fn own_zone_metrics(&self, state: &PlannerState) -> Vec<ZoneMetrics> {
        let attempts_only = |rates: &AttemptRates| {
            let mut metrics = [0.0; ZONE_METRICS.len()];
            [metrics[ATTEMPTS], metrics[FAILED_ATTEMPTS]] = rates.recent;
            metrics
        };
        let mut zones: Vec<ZoneMetrics> = self.attempts.iter().map(attempts_only).collect();
        // The subset is a sample of the fleet, so its cores are scaled up to the fleet.
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

    /// Passes the observations of all planners with a fresh summary to the zone monitor, then
    /// withholds work from machines according to the newest known failover decision.
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

    /// Handles a voter's copy of the failover decision, which the coordinator with this token
    /// wrote.
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

    /// Records that a slot is held under `token`. Its lease metadata is the address and the zone of
    /// its holder, separated by a space; `None` if the holder has not written it.
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

    /// Handles the hello of another planner, on a link that either side opened.
    ///
    /// # Errors
    /// The peer holds another slot than the dialled one, its slot does not exist or is this
    /// planner's own, or its token is outdated. The caller must close the link.
    pub fn link_up(
        &mut self,
        now_us: i64,
        link: u64,
        peer: &PeerIdentity,
        commands: mpsc::Sender<LinkCommand>,
    ) -> Result<(), InvalidSummary> {
        let dialed = self.dialed.get(&link).copied();
        let slots = self.config.slots.len();
        let slot = self.config.slots.iter().position(|name| **name == *peer.name).unwrap_or(slots);
        self.link_commands.insert(link, commands);
        if let Some(expected) = dialed.filter(|dialed| *dialed != slot) {
            // Another process has taken over the address since it was announced.
            return Err(InvalidSummary::Slot { peer: expected, found: slot, slots });
        }
        let peer = LinkedPeer { slot, token: peer.epoch, outbound: dialed.is_some() };
        let linked = self.gossip.link_up(now_us, link, peer);
        if let (Err(_), Some(slot)) = (&linked, dialed) {
            // An immediate redial would be rejected in the same way, so gossip waits before it
            // dials the slot again.
            self.gossip.dial_failed(now_us, slot);
        }
        linked
    }

    /// Handles a frame from another planner.
    ///
    /// # Errors
    /// The frame is malformed. The caller must close the link.
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
                invalid.iter().for_each(|rejected| self.log_invalid(now_us, rejected));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Logs an invalid summary. The log rate is limited per peer, because a faulty peer may send an
    /// invalid summary in every frame.
    fn log_invalid(&mut self, now_us: i64, invalid: &InvalidSummary) {
        let help = invalid.advice();
        if invalid.is_expected() {
            return tracing::debug!(error = %invalid, help, "dropping an invalid summary from another planner");
        }
        let logged_at_us = self.logged_at_us.entry(invalid.peer()).or_insert(i64::MIN);
        if now_us.saturating_sub(LOG_INTERVAL_US) >= *logged_at_us {
            *logged_at_us = now_us;
            tracing::error!(error = %invalid, help, "dropping an invalid summary from another planner");
        }
    }

    /// Returns whether this link leads to another planner that has sent its hello.
    pub fn has_link(&self, link: u64) -> bool {
        self.link_commands.contains_key(&link)
    }

    /// Records the end of a link, or a failure to connect to a planner that was dialled.
    pub fn link_down(&mut self, now_us: i64, link: u64) {
        let was_up = self.link_commands.remove(&link).is_some();
        match self.dialed.remove(&link) {
            Some(slot) if !was_up => self.gossip.dial_failed(now_us, slot),
            _ => self.gossip.link_down(now_us, link),
        }
    }

    /// Sends the pending frames and close commands to the links. Returns the number of the link and
    /// the address if a planner is to be dialled; call again until the result is `None`.
    pub fn next_dial(&mut self) -> Option<(u64, Rc<str>)> {
        while let Some(action) = self.gossip.next_action() {
            match action {
                GossipAction::Dial { slot, address } => {
                    self.last_dialed += 1;
                    self.dialed.insert(self.last_dialed, slot);
                    return Some((self.last_dialed, address));
                }
                GossipAction::CloseLink { link } => {
                    self.send_command(link, LinkCommand::Close("linked to another planner".into()));
                }
                action => {
                    if let Some((link, body)) = summary_codec::encode(&action) {
                        self.send_command(link, LinkCommand::Send(body, None));
                    }
                }
            }
        }
        None
    }

    /// Sends a command to a link. A command that the link's full queue does not accept is dropped;
    /// the next gossip round repeats the request.
    fn send_command(&self, link: u64, link_command: LinkCommand) {
        if let Some(commands) = self.link_commands.get(&link) {
            let _ = commands.try_send(link_command);
        }
    }
}
