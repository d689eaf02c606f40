//! How recent a planner's information about a slot or a zone is. An idle planner still publishes,
//! so its slot is fresh, not stale.
use crate::payload::Metrics;

/// How recent a planner's information about a slot is. Ages are in microseconds by that planner's
/// own clock and never below the true ages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness<'a> {
    /// The voters have announced no holder of the slot.
    Unassigned,
    /// The slot has a holder, but its last summary is too old: the holder is cut off, stopped, dead
    /// or has just started.
    Stale {
        /// The holder's token.
        token: u64,
        /// The age of the holder's last summary, in microseconds; `None` if there is no summary.
        age_us: Option<i64>,
    },
    /// The holder is in another zone, of which only zone summaries are passed on.
    RemoteZone {
        /// The holder's token.
        token: u64,
        /// The holder's zone, if it is known.
        zone: Option<usize>,
    },
    /// The holder's last summary is recent. An idle holder publishes summaries as well.
    Fresh {
        /// The holder's token.
        token: u64,
        /// The number of the holder's summary.
        number: u64,
        /// The age of the summary, in microseconds.
        age_us: i64,
        /// The metrics in the summary.
        metrics: &'a Metrics,
    },
}

impl<'a> Freshness<'a> {
    /// Returns the age in microseconds and the metrics of a fresh summary.
    pub fn fresh(self) -> Option<(i64, &'a Metrics)> {
        match self {
            Freshness::Fresh { age_us, metrics, .. } => Some((age_us, metrics)),
            _ => None,
        }
    }

    /// Returns the text that status replies show to operators.
    pub fn label(&self) -> &'static str {
        match self {
            Freshness::Unassigned => "nobody seated",
            Freshness::Stale { .. } => "unheard",
            Freshness::RemoteZone { .. } => "heard with its zone",
            Freshness::Fresh { .. } => "heard",
        }
    }
}

/// A zone's summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary<'a> {
    /// The slot that made the summary.
    pub reporter: usize,
    /// The token under which that slot made the summary.
    pub token: u64,
    /// The number of the summary.
    pub number: u64,
    /// The age of the oldest summary merged into it, in microseconds.
    pub age_us: i64,
    /// How many planners the summary covers.
    pub planners: usize,
    /// How many planners of the zone were stale when the summary was made.
    pub stale_planners: usize,
    /// The merged metrics in the layout of a slot's summary, followed by the two counts above.
    pub metrics: &'a Metrics,
}
