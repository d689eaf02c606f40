//! The status of the other planners, as shown to operators. The keys are those of the `-o json`
//! output.
use super::PeerLinks;
use crate::shared_metrics::{SharedMetrics, COUNTS};
use basaltpitch_gossip::{Freshness, Metrics};
use basaltpitch_zone_failover::{ZoneMetrics, ZONE_METRICS};
use serde::Serialize;
use serde_json::{json, Map, Value};

/// The state of the zones, the links, and the summaries of other planners.
#[derive(Serialize)]
struct PeersStatus<'a> {
    /// The state of all zones, and whether this planner coordinates their failover.
    #[serde(rename = "halls")]
    zone_states: Value,
    /// The slots of the planners to which a link is up, by name.
    links: Vec<&'a str>,
    /// All slots.
    #[serde(rename = "seats")]
    slots: Vec<SlotStatus<'a>>,
    /// Zones of which only the merged summary of their planners is known.
    zones: Vec<RemoteZoneStatus<'a>>,
    /// Bytes of all gossip requests and replies sent so far.
    #[serde(rename = "bytes_told")]
    bytes_sent: u64,
    /// Number of doublings of the least change of a metric that is passed on. It rises when
    /// the byte budget is short or summaries arrive late.
    #[serde(rename = "coarser")]
    coarseness: u32,
}

/// The freshness and the metrics of one slot's summary.
#[derive(Serialize)]
struct SlotStatus<'a> {
    /// The name of the slot.
    #[serde(rename = "seat")]
    slot: &'a str,
    /// The freshness of the summary, or that the slot is this planner's own or idle.
    state: &'static str,
    /// The fencing token of the slot's holder; `None` without a holder.
    #[serde(rename = "epoch")]
    token: Option<u64>,
    /// The age of the summary in milliseconds; `None` without a summary.
    age_ms: Option<i64>,
    /// Task counts by name.
    counts: Value,
    /// By zone name, the holder's metrics of the zone and the phase code that it follows.
    #[serde(rename = "halls")]
    zone_metrics: Value,
    /// The zone of the slot's holder; `None` if it is not known.
    zone: Option<&'a str>,
}

/// The freshness and the metrics of a zone's merged summary.
#[derive(Serialize)]
struct RemoteZoneStatus<'a> {
    /// The name of the zone.
    zone: Option<&'a str>,
    /// Whether a summary of the zone is known.
    state: &'static str,
    /// The slot that made the summary; `None` without a summary, as in the fields below.
    #[serde(rename = "told_by")]
    reporter: Option<&'a str>,
    /// The age in milliseconds of the oldest summary merged into this summary.
    age_ms: Option<i64>,
    /// The number of planners that the summary covers.
    planners: Option<usize>,
    /// The number of the zone's planners that were stale when the summary was made.
    #[serde(rename = "unheard")]
    stale_planners: Option<usize>,
    /// Merged task counts by name.
    counts: Value,
    /// By zone name, the merged metrics of the zone and the phase code.
    #[serde(rename = "halls")]
    zone_metrics: Value,
}

/// Rounds a metric to thousandths for the output.
fn rounded(metric: f64) -> Value {
    json!((metric * 1000.0).round() / 1000.0)
}

impl PeerLinks {
    /// Returns the status for operators: for each slot the freshness, the age and the metrics of
    /// its summary, and the same for each zone of which only a merged summary is known.
    pub fn view(&self, now_us: i64) -> Value {
        let status = PeersStatus {
            zone_states: self.zone_monitor.view(),
            links: self.gossip.linked_slots().map(|slot| &*self.config.slots[slot]).collect(),
            slots: (0..self.gossip.slot_count()).map(|slot| self.slot_status(now_us, slot)).collect(),
            zones: self.gossip.remote_zones().map(|zone| self.remote_zone_status(now_us, zone)).collect(),
            bytes_sent: self.gossip.bytes_sent(),
            coarseness: self.gossip.coarseness(),
        };
        serde_json::to_value(status).expect("a status that serializes to JSON")
    }

    fn slot_status(&self, now_us: i64, slot: usize) -> SlotStatus<'_> {
        let freshness = self.gossip.freshness(now_us, slot);
        let (token, age_us, metrics) = match freshness {
            Freshness::Unassigned => (None, None, None),
            Freshness::Stale { token, age_us } => (Some(token), age_us, None),
            Freshness::RemoteZone { token, .. } => (Some(token), None, None),
            Freshness::Fresh { token, age_us, metrics, .. } => (Some(token), Some(age_us), Some(metrics)),
        };
        let state = match freshness {
            _ if slot == self.config.own_slot => "this planner",
            // Metric 0 is the number of open requests: the planner is idle.
            Freshness::Fresh { metrics, .. } if metrics.get(0) == 0.0 => "quiet",
            freshness => freshness.label(),
        };
        let (counts, zone_metrics) = self.named_metrics(metrics);
        SlotStatus {
            slot: &self.config.slots[slot],
            state,
            token,
            age_ms: age_us.map(|us| us / 1000),
            counts,
            zone_metrics,
            zone: self.gossip.zone_of(slot).and_then(|zone| self.zone_name(zone)),
        }
    }

    fn remote_zone_status(&self, now_us: i64, zone: usize) -> RemoteZoneStatus<'_> {
        let summary = self.gossip.zone_summary(now_us, zone);
        let summary = summary.as_ref();
        let (counts, zone_metrics) = self.named_metrics(summary.map(|summary| summary.metrics));
        RemoteZoneStatus {
            zone: self.zone_name(zone),
            state: if summary.is_some() { "heard" } else { "unheard" },
            reporter: summary.map(|summary| &*self.config.slots[summary.reporter]),
            age_ms: summary.map(|summary| summary.age_us / 1000),
            planners: summary.map(|summary| summary.planners),
            stale_planners: summary.map(|summary| summary.stale_planners),
            counts,
            zone_metrics,
        }
    }

    fn zone_name(&self, zone: usize) -> Option<&str> {
        self.config.zones.get(zone).map(String::as_str)
    }

    /// Returns the counts by name, and by zone name the zone's metrics and phase code; two empty
    /// objects without a summary.
    fn named_metrics(&self, metrics: Option<&Metrics>) -> (Value, Value) {
        let shared = metrics.and_then(|known| SharedMetrics::from_metrics(known, self.config.zones.len()));
        let Some(shared) = shared else { return (json!({}), json!({})) };
        let counts = COUNTS.iter().zip(shared.counts).map(|(name, count)| ((*name).into(), rounded(count)));
        let of_zone = |(metrics, phase): (&ZoneMetrics, &f64)| {
            let named =
                ZONE_METRICS.iter().zip(metrics).map(|((name, _), value)| ((*name).into(), rounded(*value)));
            Value::Object(named.chain([("word".into(), json!(phase))]).collect())
        };
        let zones = shared.zones.iter().zip(&shared.decision.phases).map(of_zone);
        let zones: Map<String, Value> = self.config.zones.iter().cloned().zip(zones).collect();
        (Value::Object(counts.collect()), Value::Object(zones))
    }
}
