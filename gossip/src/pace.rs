//! How often, how many, how long; and what it may cost.

/// So many planners hear each of the others, wherever they stand.
const FEW: usize = 24;
/// What each seat costs a planner that hears it, in bytes a second of both directions, where all are heard.
const HEARS: f64 = 80.0;
/// What a round costs, question and answer, and how much of what may be sent that may take, as one part of so
/// many; and what it costs to pass on that one seat or zone lives.
const ROUND: f64 = 64.0;
const ROUNDS: f64 = 3.0;
const RENEWS: f64 = 25.0;
/// The part of a planner's bytes for control that is for summaries, both directions.
const PART: f64 = 0.25;
/// What was not sent is kept for so long, in seconds: all that one planner must tell another once.
const SAVES: i64 = 24;
/// A seat more makes all say it so much later, in microseconds, that they live.
const LEASE_A_SEAT: i64 = 36_000;

/// Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A question to one linked planner each so often, give or take a quarter.
    pub round: i64,
    /// A planner of another region is asked at most each so often.
    pub far: i64,
    /// An answer is waited for so long; then the link is given up.
    pub patience: i64,
    /// A summary in which nothing moved is told anew each so often, and one in which little did each half of
    /// it.
    pub lease: i64,
    /// The same of a zone's summary.
    pub lease_zone: i64,
    /// A summary that is older says nothing any more: its seat counts as unheard.
    pub fresh: i64,
    /// The same of a zone's summary, which is as old as its oldest part.
    pub fresh_zone: i64,
    /// Planners that this one links to. Others link to it.
    pub partners: usize,
    /// So many planners of a zone, the lowest that are heard, link to one of another zone.
    pub outward: usize,
    /// One partner goes for another each so often, so that no split of the links lasts.
    pub swap: i64,
    /// Summaries in one answer.
    pub most: usize,
    /// No zones: each planner hears each of the others.
    pub flat: bool,
    /// Bytes a second that this planner sends at most; none: as many as there are.
    pub bytes: Option<i64>,
    /// And so many at once.
    pub burst: i64,
}

impl Pace {
    pub const USUAL: Pace = Pace {
        round: 250_000,
        far: 2_000_000,
        patience: 5_000_000,
        lease: 1_000_000,
        lease_zone: 2_000_000,
        fresh: 4_000_000,
        fresh_zone: 8_000_000,
        partners: 4,
        outward: 4,
        swap: 10_000_000,
        most: 128,
        flat: true,
        bytes: None,
        burst: 4096,
    };

    /// For an installation of so many seats and zones, of which each planner has so many bytes a second for
    /// control, in and out; none: no bound.
    pub fn of(seats: usize, zones: usize, bytes_a_second: Option<f64>) -> Pace {
        let summaries = bytes_a_second.map(|bytes| bytes * PART);
        let all = seats as f64 * HEARS <= summaries.unwrap_or(FEW as f64 * HEARS);
        let bytes = summaries.map(|both| (both / 2.0).max(1.0) as i64);
        let burst = bytes.map_or(Pace::USUAL.burst, |bytes| (SAVES * bytes).max(Pace::USUAL.burst));
        let few = Pace { flat: zones <= 1 || all, bytes, burst, ..Pace::USUAL };
        if all {
            return few;
        }
        // With few bytes all goes slower, and what is told counts for longer.
        let takes = |cost: f64| bytes.map_or(0, |bytes| (cost / bytes as f64 * 1e6) as i64);
        let round = takes(ROUND * ROUNDS).max(500_000);
        let told = seats.div_ceil(zones.max(1)) + zones;
        let lease = (LEASE_A_SEAT * seats as i64).max(takes(RENEWS * told as f64));
        let lease = lease.max(2 * round).max(Pace::USUAL.lease);
        let fresh = 4 * lease;
        Pace {
            round,
            far: 4_000_000.max(2 * round),
            patience: fresh.max(Pace::USUAL.patience),
            lease,
            lease_zone: 2 * lease,
            fresh,
            fresh_zone: 2 * fresh,
            partners: 2,
            swap: 60_000_000,
            ..few
        }
    }
}
