//! Gossip configuration: how often planners gossip, with how many peers, and within which byte
//! budget.

/// The most slots for which, without a byte limit, every planner receives each slot's summary
/// regardless of zones.
const FLAT_SLOTS_LIMIT: usize = 24;
/// The cost of each slot to a planner that receives its summaries, in bytes per second of both
/// directions, without zone summaries.
const BYTES_PER_SLOT: f64 = 80.0;
/// The bytes of one round: a request and its reply.
const BYTES_PER_ROUND: f64 = 64.0;
/// Rounds may use at most this fraction (1/3) of the byte budget.
const ROUND_BUDGET_DIVISOR: f64 = 3.0;
/// The bytes that pass on an unchanged summary of one slot or zone.
const BYTES_PER_REFRESH: f64 = 25.0;
/// The fraction of a planner's control bytes that is for summaries, both directions together.
const SUMMARY_SHARE: f64 = 0.25;
/// The seconds of unused budget that a planner may save: enough to send everything to one peer
/// once.
const BURST_S: i64 = 24;
/// The time by which each slot lengthens the refresh interval of all slots, in microseconds.
const REFRESH_PER_SLOT_US: i64 = 36_000;

/// Intervals and limits of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GossipConfig {
    /// The interval of rounds in microseconds, with a random deviation of up to a quarter. In each
    /// round this planner requests summaries from one linked peer.
    pub round_us: i64,
    /// The least interval between requests to a peer in another region, in microseconds.
    pub remote_region_interval_us: i64,
    /// How long to wait for a reply before the link is closed, and how long to wait before a failed
    /// dial is repeated, in microseconds.
    pub timeout_us: i64,
    /// How often an unchanged summary is published again, in microseconds. A summary with an
    /// ordinary change is published after half of it.
    pub refresh_us: i64,
    /// How often an unchanged zone summary is published again, in microseconds.
    pub zone_refresh_us: i64,
    /// The age above which a summary no longer counts and its slot is stale, in microseconds.
    pub stale_after_us: i64,
    /// The age above which a zone's summary no longer counts, in microseconds. The summary is as
    /// old as the oldest summary merged into it.
    pub zone_stale_after_us: i64,
    /// The number of planners that this planner dials in its own zone, in addition to the planners
    /// that dial this one.
    pub partners: usize,
    /// How many planners of a zone (the lowest slots that are alive) each dial a planner of another
    /// zone.
    pub remote_links: usize,
    /// How often one of the dialled planners is replaced by another, in microseconds, so that the
    /// links never stay split into unconnected groups.
    pub partner_swap_us: i64,
    /// The most summaries in one reply.
    pub max_deltas_per_reply: usize,
    /// Whether zones are not summarised, so that each planner receives each other planner's
    /// summary.
    pub flat: bool,
    /// The most bytes per second that this planner sends; `None` for no limit.
    pub bytes_per_second: Option<i64>,
    /// The most bytes that this planner may save and send at once.
    pub burst_bytes: i64,
}

impl GossipConfig {
    /// The configuration for a few planners without a byte limit.
    pub const DEFAULT: GossipConfig = GossipConfig {
        round_us: 250_000,
        remote_region_interval_us: 2_000_000,
        timeout_us: 5_000_000,
        refresh_us: 1_000_000,
        zone_refresh_us: 2_000_000,
        stale_after_us: 4_000_000,
        zone_stale_after_us: 8_000_000,
        partners: 4,
        remote_links: 4,
        partner_swap_us: 10_000_000,
        max_deltas_per_reply: 128,
        flat: true,
        bytes_per_second: None,
        burst_bytes: 4096,
    };

    /// Returns the configuration for an installation with this many slots and zones.
    /// `control_bytes_per_second` is each planner's budget for control traffic in both directions;
    /// `None` for no limit.
    pub fn for_installation(
        slots: usize,
        zones: usize,
        control_bytes_per_second: Option<f64>,
    ) -> GossipConfig {
        let summary_bytes = control_bytes_per_second.map(|bytes| bytes * SUMMARY_SHARE);
        let flat_is_affordable = slots as f64 * BYTES_PER_SLOT
            <= summary_bytes.unwrap_or(FLAT_SLOTS_LIMIT as f64 * BYTES_PER_SLOT);
        let bytes_per_second = summary_bytes.map(|bytes| (bytes / 2.0).max(1.0) as i64);
        let burst_bytes = bytes_per_second
            .map_or(Self::DEFAULT.burst_bytes, |bytes| (BURST_S * bytes).max(Self::DEFAULT.burst_bytes));
        let flat = zones <= 1 || flat_is_affordable;
        let small = GossipConfig { flat, bytes_per_second, burst_bytes, ..Self::DEFAULT };
        if flat_is_affordable {
            return small;
        }
        // A small byte budget lengthens all intervals and the ages up to which summaries count.
        let time_to_send = |cost: f64| bytes_per_second.map_or(0, |bytes| (cost / bytes as f64 * 1e6) as i64);
        let round_us = time_to_send(BYTES_PER_ROUND * ROUND_BUDGET_DIVISOR).max(500_000);
        let subjects = slots.div_ceil(zones.max(1)) + zones;
        let refresh_us =
            (REFRESH_PER_SLOT_US * slots as i64).max(time_to_send(BYTES_PER_REFRESH * subjects as f64));
        let refresh_us = refresh_us.max(2 * round_us).max(Self::DEFAULT.refresh_us);
        let stale_after_us = 4 * refresh_us;
        GossipConfig {
            round_us,
            remote_region_interval_us: 4_000_000.max(2 * round_us),
            timeout_us: stale_after_us.max(Self::DEFAULT.timeout_us),
            refresh_us,
            zone_refresh_us: 2 * refresh_us,
            stale_after_us,
            zone_stale_after_us: 2 * stale_after_us,
            partners: 2,
            partner_swap_us: 60_000_000,
            ..small
        }
    }
}
