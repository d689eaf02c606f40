//! Leases granted by a quorum of voters: who holds what, under which fencing token, for how long. Clients request
//! leases and hold them for a while (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism", 1989; by
//! votes of a quorum without a log, as in Trencseni, Gazso and Reinhardt, "PaxosLease", 2012). No I/O, no clock of
//! its own: times are whole microseconds of the caller's clock, which runs on while the machine is suspended.
//!
//! Why no two clients hold a lease at once: a voter grants its vote to one client at a time, for a lease duration of
//! the voter's clock from the moment of the vote. A holder has the votes of a majority and counts the lease duration
//! less the clock drift, from before it requested the votes. Another holder needs a majority too, and the two
//! majorities have a voter in common, which votes again only after the first holder has stopped by its own clock. Why
//! tokens rise: that voter votes only for a token above every one that it voted for.
pub mod client;
pub mod record;
pub mod slots;
pub mod voter;

/// How long votes are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a vote is valid, in microseconds.
    pub duration_us: i64,
    /// Two clocks differ by at most this much over a lease duration, in microseconds.
    pub clock_drift_us: i64,
}

impl LeaseConfig {
    /// A round of requests ends after this time, whoever has not replied.
    pub fn round_timeout_us(&self) -> i64 {
        (self.duration_us / 6).max(1)
    }

    /// How long a holder may act after it requested the votes.
    pub fn holder_duration_us(&self) -> i64 {
        self.duration_us - self.clock_drift_us
    }

    /// A voter that lost its state votes only after this time: no vote that it gave before is valid any more.
    pub fn recovery_wait_us(&self) -> i64 {
        self.duration_us + self.clock_drift_us
    }
}

/// What a holder leaves with the voters for itself and its successors; a later one replaces it. Ordered by the token
/// under which it was written, then by its number under that token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseMetadata {
    /// The token of the holder that wrote it.
    pub token: u64,
    /// Rises from one write to the next under a token.
    pub number: u64,
    /// The content.
    pub bytes: Vec<u8>,
}

/// The value that more than half of so many voters reported, where each reports one value at most.
pub fn majority_value<T: PartialEq>(voters: usize, reported: impl IntoIterator<Item = T>) -> Option<T> {
    let mut reported: Vec<T> = reported.into_iter().collect();
    let has_majority = |value: &T| 2 * reported.iter().filter(|other| *other == value).count() > voters;
    let index = reported.iter().position(has_majority)?;
    Some(reported.swap_remove(index))
}

/// A voter's reply to a request for its vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum VoteReply {
    /// The client has the vote for a lease duration from now.
    Granted {
        /// What the voter had stored before.
        metadata: LeaseMetadata,
    },
    /// The client does not have the vote.
    Refused {
        /// The highest token that this voter voted for.
        token: u64,
        /// Microseconds until a retry makes sense; 0 where the vote is free.
        retry_after_us: i64,
    },
}
