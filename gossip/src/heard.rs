//! What a reader knows of a seat or a zone: quiet is not unheard.
use crate::carried::Figures;

/// What is known of a seat. Ages in microseconds by the reader's own clock, never less than the true ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard<'a> {
    /// Nobody was ever seated there, as far as the council told.
    Nobody,
    /// Somebody is seated, of whom nothing was heard lately: cut off, stopped, dead, or just seated. `age`:
    /// of the last thing heard.
    Unheard { token: u64, age: Option<i64> },
    /// It stands in another zone, of which only the zone's summaries are heard.
    Elsewhere { token: u64, zone: Option<usize> },
    /// It lives and says this; a seat that has nothing to do says so.
    Fresh { token: u64, number: u64, age: i64, figures: &'a Figures },
}

impl<'a> Heard<'a> {
    /// What the seat says and how old that is, where it is heard.
    pub fn fresh(self) -> Option<(i64, &'a Figures)> {
        match self {
            Heard::Fresh { age, figures, .. } => Some((age, figures)),
            _ => None,
        }
    }

    pub fn words(&self) -> &'static str {
        match self {
            Heard::Nobody => "nobody seated",
            Heard::Unheard { .. } => "unheard",
            Heard::Elsewhere { .. } => "heard with its zone",
            Heard::Fresh { .. } => "heard",
        }
    }
}

/// A zone's summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone<'a> {
    /// The seat that made it, under which token, and its number.
    pub maker: usize,
    pub token: u64,
    pub number: u64,
    /// Of its oldest part.
    pub age: i64,
    /// Planners that it stands for, and those of the zone that were unheard there.
    pub planners: usize,
    pub unheard: usize,
    /// Laid out like a seat's, and two more behind.
    pub figures: &'a Figures,
}
