//! How often planners gossip, with how many others, and how many bytes that may take.

/// Up to this many planners hear each of the others, whatever zone they are in.
const FLAT_SLOTS_LIMIT: usize = 24;
/// What each slot costs a planner that hears it, in bytes a second of both directions, where all hear all.
const BYTES_PER_SLOT: f64 = 80.0;
/// Bytes of a round: request and reply.
const BYTES_PER_ROUND: f64 = 64.0;
/// Rounds may take one part in so many of what may be sent.
const ROUND_BUDGET_DIVISOR: f64 = 3.0;
/// Bytes that it takes to pass on that one slot or zone is alive.
const BYTES_PER_REFRESH: f64 = 25.0;
/// The part of a planner's bytes for control that is for summaries, both directions.
const SUMMARY_SHARE: f64 = 0.25;
/// Unused bytes are saved for so many seconds: enough to tell one other planner everything once.
const BURST_S: i64 = 24;
/// With each slot more, all refresh their summaries so much later.
const REFRESH_PER_SLOT_US: i64 = 36_000;

/// Intervals and limits of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GossipConfig {
    /// One linked planner is asked each so often, give or take a quarter.
    pub round_us: i64,
    /// A planner of another region is asked at most each so often.
    pub remote_region_interval_us: i64,
    /// A reply is waited for so long; then the link is closed. A failed dial is repeated after as long.
    pub timeout_us: i64,
    /// A summary in which nothing changed is published anew each so often, and one in which little did each
    /// half of it.
    pub refresh_us: i64,
    /// The same of a zone's summary.
    pub zone_refresh_us: i64,
    /// A summary that is older says nothing any more: its slot counts as stale.
    pub stale_after_us: i64,
    /// The same of a zone's summary, which is as old as its oldest part.
    pub zone_stale_after_us: i64,
    /// Planners that this one dials. Others dial it.
    pub partners: usize,
    /// So many planners of a zone, the lowest slots that are fresh, dial one of another zone.
    pub remote_links: usize,
    /// One partner is exchanged for another each so often, so that no split of the links lasts.
    pub partner_swap_us: i64,
    /// Summaries in one reply at most.
    pub max_deltas_per_reply: usize,
    /// Zones are not summarised: each planner hears each of the others.
    pub flat: bool,
    /// Bytes a second that this planner sends at most; none: no limit.
    pub bytes_per_second: Option<i64>,
    /// Bytes that it may have saved and send at once.
    pub burst_bytes: i64,
}

impl GossipConfig {
    /// For a few planners whose bytes are not limited.
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

    /// For an installation of so many slots and zones. `control_bytes_per_second` is what each planner may
    /// spend on control, in and out; none: no limit.
    pub fn for_installation(
        slots: usize,
        zones: usize,
        control_bytes_per_second: Option<f64>,
    ) -> GossipConfig {
        let summary_bytes = control_bytes_per_second.map(|bytes| bytes * SUMMARY_SHARE);
        let all_hear_all = slots as f64 * BYTES_PER_SLOT
            <= summary_bytes.unwrap_or(FLAT_SLOTS_LIMIT as f64 * BYTES_PER_SLOT);
        let bytes_per_second = summary_bytes.map(|both| (both / 2.0).max(1.0) as i64);
        let burst_bytes = bytes_per_second
            .map_or(Self::DEFAULT.burst_bytes, |bytes| (BURST_S * bytes).max(Self::DEFAULT.burst_bytes));
        let flat = zones <= 1 || all_hear_all;
        let small = GossipConfig { flat, bytes_per_second, burst_bytes, ..Self::DEFAULT };
        if all_hear_all {
            return small;
        }
        // With few bytes everything goes slower, and summaries count for longer.
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
