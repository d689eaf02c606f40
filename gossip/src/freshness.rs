//! What a reader knows of a seat or a zone: quiet is not unheard.
use crate::payload::Metrics;

/// What is known of a seat. Ages in microseconds by the reader's own clock, never less than the true ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness<'a> {
    /// Nobody was ever seated there, as far as the council told.
    Unassigned,
    /// Somebody is seated, of whom nothing was heard lately: cut off, stopped, dead, or just seated. `age`:
    /// of the last thing heard.
    Stale { token: u64, age_us: Option<i64> },
    /// It stands in another zone, of which only the zone's summaries are heard.
    RemoteZone { token: u64, zone: Option<usize> },
    /// It lives and says this; a seat that has nothing to do says so.
    Fresh { token: u64, number: u64, age_us: i64, metrics: &'a Metrics },
}

impl<'a> Freshness<'a> {
    /// What the seat says and how old that is, where it is heard.
    pub fn fresh(self) -> Option<(i64, &'a Metrics)> {
        match self {
            Freshness::Fresh { age_us, metrics, .. } => Some((age_us, metrics)),
            _ => None,
        }
    }

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
    /// The seat that made it, under which token, and its number.
    pub reporter: usize,
    pub token: u64,
    pub number: u64,
    /// Of its oldest part.
    pub age_us: i64,
    /// Planners that it stands for, and those of the zone that were unheard there.
    pub planners: usize,
    pub stale_planners: usize,
    /// Laid out like a seat's, and two more behind.
    pub metrics: &'a Metrics,
}
