//! What a reader knows of a seat: quiet is not unheard.

/// What is known of a seat. Ages in microseconds by the reader's own clock, never less than the true ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard<'a, C> {
    /// Nobody was ever seated there, as far as the council told.
    Nobody,
    /// Somebody is seated, of whom nothing was heard lately: cut off, stopped, dead, or just seated. `age`:
    /// of the last thing heard.
    Unheard { token: u64, age: Option<i64> },
    /// It lives and says this; a seat that has nothing to do says so.
    Fresh { token: u64, number: u64, age: i64, carried: &'a C },
}

impl<'a, C> Heard<'a, C> {
    /// What the seat says and how old that is, where it is heard.
    pub fn fresh(self) -> Option<(i64, &'a C)> {
        match self {
            Heard::Fresh { age, carried, .. } => Some((age, carried)),
            _ => None,
        }
    }

    pub fn words(&self) -> &'static str {
        match self {
            Heard::Nobody => "nobody seated",
            Heard::Unheard { .. } => "unheard",
            Heard::Fresh { .. } => "heard",
        }
    }
}
