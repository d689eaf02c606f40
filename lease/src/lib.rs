//! Leases granted by a quorum of voters: which client holds which lease, under which fencing token,
//! until when. A client requests a lease and holds it for a limited time (Gray and Cheriton,
//! "Leases: an efficient fault-tolerant mechanism", 1989); the voters keep no log (Trencseni, Gazso
//! and Reinhardt, "PaxosLease", 2012). The crate does no I/O and has no clock: times are whole
//! microseconds of the caller's clock, which must keep running while the machine is suspended.
//!
//! Two clients never hold a lease at once. A voter grants its vote to one client at a time, for one
//! lease duration of the voter's clock from the moment of the vote. A holder has the votes of a
//! majority and counts the lease duration, less the clock drift, from before it requested them. Any
//! second holder needs a majority as well, and the two majorities share a voter, which votes for
//! another client only after the first holder has stopped by its own clock. Fencing tokens rise
//! because that shared voter votes only for a token above every token that it voted for.
pub mod client;
pub mod record;
pub mod slots;
pub mod voter;

/// How long votes are valid, and how far clocks may differ over that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The time for which a vote is valid, in microseconds.
    pub duration_us: i64,
    /// The most by which two clocks may differ over one lease duration, in microseconds.
    pub clock_drift_us: i64,
}

impl LeaseConfig {
    /// Returns the time after which a round of vote requests ends even if some voters have not
    /// replied, in microseconds.
    pub fn round_timeout_us(&self) -> i64 {
        (self.duration_us / 6).max(1)
    }

    /// Returns how long a holder may act, in microseconds, counted from the moment it requested the
    /// votes.
    pub fn holder_duration_us(&self) -> i64 {
        self.duration_us - self.clock_drift_us
    }

    /// Returns how long a voter that lost its state must wait before it votes, in microseconds.
    /// After this time no vote that it granted earlier is still valid.
    pub fn recovery_wait_us(&self) -> i64 {
        self.duration_us + self.clock_drift_us
    }
}

/// Data that a holder stores with the voters for itself and for later holders. A later version
/// replaces it; versions are ordered by token, then by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseMetadata {
    /// The token of the holder that wrote the metadata.
    pub token: u64,
    /// The version number, which rises with each write under the same token.
    pub number: u64,
    /// The content, which the voters do not interpret.
    pub bytes: Vec<u8>,
}

/// Returns the value that more than half of `voters` reported, if there is one. Each voter reports
/// at most one value.
pub fn majority_value<T: PartialEq>(voters: usize, reported: impl IntoIterator<Item = T>) -> Option<T> {
    let mut reported: Vec<T> = reported.into_iter().collect();
    let has_majority = |value: &T| 2 * reported.iter().filter(|other| *other == value).count() > voters;
    let index = reported.iter().position(has_majority)?;
    Some(reported.swap_remove(index))
}

/// A voter's reply to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum VoteReply {
    /// The client has the vote for one lease duration from now.
    Granted {
        /// The metadata that the voter had stored before this request.
        metadata: LeaseMetadata,
    },
    /// The client does not have the vote.
    Refused {
        /// The highest token that this voter has voted for.
        token: u64,
        /// The time until a retry can succeed, in microseconds; 0 if the vote is free.
        retry_after_us: i64,
    },
}
