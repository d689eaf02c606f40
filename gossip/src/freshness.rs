//! What a reader knows of a slot or a zone: a planner that has nothing to do is not a stale one.
use crate::payload::Metrics;

/// What is known of a slot. Ages are in microseconds by the reader's own clock, never less than the true ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness<'a> {
    /// Nobody ever held it, as far as the voters announced.
    Unassigned,
    /// Somebody holds it whose last summary is too old: cut off, stopped, dead, or just started.
    Stale {
        /// The holder's token.
        token: u64,
        /// The age of its last summary; none: there is none.
        age_us: Option<i64>,
    },
    /// Its holder is in another zone, of which only the zone's summaries are passed on.
    RemoteZone {
        /// The holder's token.
        token: u64,
        /// That zone, where it is known.
        zone: Option<usize>,
    },
    /// Its holder is alive and reports this; one that has nothing to do says so.
    Fresh {
        /// The holder's token.
        token: u64,
        /// The number of its summary.
        number: u64,
        /// How old that is.
        age_us: i64,
        /// What it reports.
        metrics: &'a Metrics,
    },
}

impl<'a> Freshness<'a> {
    /// The age of a fresh summary in microseconds, and what it reports.
    pub fn fresh(self) -> Option<(i64, &'a Metrics)> {
        match self {
            Freshness::Fresh { age_us, metrics, .. } => Some((age_us, metrics)),
            _ => None,
        }
    }

    /// As operators read it.
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
    /// The slot that made it.
    pub reporter: usize,
    /// The token under which it did.
    pub token: u64,
    /// The number of the summary.
    pub number: u64,
    /// The age of its oldest part, in microseconds.
    pub age_us: i64,
    /// Planners that it stands for.
    pub planners: usize,
    /// Planners of the zone that were stale there.
    pub stale_planners: usize,
    /// Laid out like a slot's, and two counts behind them.
    pub metrics: &'a Metrics,
}
