//! Who holds a duty, under which token, for how long. A few voters agree by majority; members ask for duties
//! and hold them for a term (leases: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism",
//! 1989; by votes of a quorum without a log, as in Trencseni, Gazso and Reinhardt, "PaxosLease", 2012). No
//! I/O, no clock of its own: times are whole microseconds of the caller's clock, which runs on in suspension.
//!
//! Why no two members hold a duty at once: a voter's vote is out to one member at a time, for a term of the
//! voter's clock from the moment it votes. A holder has the votes of a majority and counts a term less the
//! drift from before it asked. Another holder needs a majority too, and the two have a voter in common, which
//! votes again only after the first holder has stopped by its own clock. Why tokens rise: that voter votes
//! only for a token above every one that it voted for.
pub mod member;
pub mod record;
pub mod seats;
pub mod voter;

/// How long votes bind, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A vote binds its voter for so long.
    pub term: i64,
    /// Two clocks differ by at most this much over a term.
    pub drift: i64,
}

impl Terms {
    /// A round of asking is over after this time, whoever has not answered.
    pub fn patience(&self) -> i64 {
        (self.term / 6).max(1)
    }

    /// A holder may act for so long after it asked.
    pub fn holds(&self) -> i64 {
        self.term - self.drift
    }

    /// A voter that lost its state votes only after this time: no vote that it gave before binds any more.
    pub fn wait(&self) -> i64 {
        self.term + self.drift
    }
}

/// What a holder leaves for itself and its successors; a later one replaces it. Ordered by the token under
/// which it was written, then by its number under that token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Note {
    pub token: u64,
    pub number: u64,
    pub text: Vec<u8>,
}

/// What more than half of so many voters say alike, where each says one thing at most.
pub fn agreed<T: PartialEq>(voters: usize, said: impl IntoIterator<Item = T>) -> Option<T> {
    let mut said: Vec<T> = said.into_iter().collect();
    let most = said.iter().position(|s| 2 * said.iter().filter(|o| *o == s).count() > voters)?;
    Some(said.swap_remove(most))
}

/// A voter's answer to an asking.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    /// The vote is out to the asker for a term from now, with the note that stood there before.
    Granted { note: Note },
    /// It is not. `token`: the highest that it voted for; `left`: microseconds until it is worth to ask
    /// again, 0 where the vote is free.
    Refused { token: u64, left: i64 },
}
