//! A voter's record of its votes, encoded as frames: for the disk, and for other voters, planners
//! and operators.
use super::{HolderHistory, VoterConfig};
use crate::voter_links::boottime_us;
use basaltpitch_agent::wire;
use basaltpitch_lease::record::RecordDelta;
use basaltpitch_lease::voter::{RecoveredVote, StoredVote, Voter};
use basaltpitch_lease::LeaseMetadata;
use basaltpitch_snapshot_store::SnapshotStore;
use prost::Message;
use std::rc::Rc;

/// Name of the stored snapshot that holds the votes.
const VOTES: &str = "votes";
/// Version of the snapshot's format.
const FORMAT: u32 = 1;

type PlannerVoter = Voter<Rc<str>, Rc<str>>;

/// Returns a voter with its stored votes and the history of holders. Without a store, or without
/// readable votes in it, returns a voter that must recover its votes from the other voters.
pub(super) fn restore(config: &VoterConfig) -> (PlannerVoter, HolderHistory) {
    let without_state = || {
        let voter = Voter::without_state(config.lease_config, boottime_us(), config.voters.len());
        (voter, HolderHistory::new())
    };
    let Some(store) = &config.store else { return without_state() };
    match store.get(VOTES, FORMAT) {
        Ok(Some(found)) => match wire::Kept::decode(&found.bytes[..]) {
            Ok(record) => {
                let mut history = HolderHistory::new();
                let votes = record.duties.into_iter().map(|stored| {
                    history.insert(stored.duty.as_str().into(), stored.past.into());
                    let holder = Some(stored.holder).filter(|holder| !holder.is_empty()).map(Rc::from);
                    let (token, number) = (stored.note_token, stored.note_number);
                    let metadata = LeaseMetadata { token, number, bytes: stored.note };
                    let (token, renewed) = (stored.token, stored.renewed);
                    let vote = StoredVote { token, holder, expires_at_us: 0, renewed, metadata };
                    (Rc::from(stored.duty), vote)
                });
                (Voter::restored(config.lease_config, boottime_us(), votes), history)
            }
            Err(e) => {
                tracing::error!(
                    error = %e,
                    "cannot decode the stored votes; recovering them from the other voters"
                );
                without_state()
            }
        },
        Ok(None) => without_state(),
        Err(e) => {
            tracing::error!(error = %e, "cannot read the stored votes; recovering them from the other voters");
            without_state()
        }
    }
}

/// Writes the votes and the history of holders to the disk. Returns whether that succeeded.
pub(super) fn save(
    store: &SnapshotStore,
    voter: &PlannerVoter,
    history: &HolderHistory,
    now_us: i64,
) -> bool {
    let request = wire::Record::default();
    let record = RecordReply { voter, history, now_us, request: &request, delta: RecordDelta::default() };
    let saved = store.put(VOTES, FORMAT, now_us, &record.frame(|_| true).encode_to_vec());
    if let Err(e) = &saved {
        tracing::error!(error = %e, "cannot store the votes; not sending the replies that grant them");
    }
    saved.is_ok()
}

/// Converts another voter's record of a lease. The holder is included only if it has renewed the
/// lease.
pub(super) fn recovered_vote(stored: wire::KeptDuty) -> RecoveredVote<Rc<str>, Rc<str>> {
    let (token, number) = (stored.note_token, stored.note_number);
    let metadata = LeaseMetadata { token, number, bytes: stored.note };
    let is_holder = |holder: &String| stored.renewed && !holder.is_empty();
    let holder = Some(stored.holder).filter(is_holder).map(Rc::from);
    RecoveredVote { lease: Rc::from(stored.duty), token: stored.token, holder, metadata }
}

/// A reply to a request for a voter's record.
pub(super) struct RecordReply<'a> {
    pub voter: &'a PlannerVoter,
    pub history: &'a HolderHistory,
    pub now_us: i64,
    pub request: &'a wire::Record,
    pub delta: RecordDelta,
}

impl RecordReply<'_> {
    /// Returns the frame, with the leases that have the requested name prefix and that `includes`
    /// accepts.
    pub fn frame(&self, includes: impl Fn(&Rc<str>) -> bool) -> wire::Kept {
        let wire::Record { brief, prefix, .. } = self.request;
        let is_requested = |lease: &Rc<str>| lease.starts_with(prefix.as_str()) && includes(lease);
        let past = |lease: &Rc<str>| self.history.get(lease).into_iter().flatten().cloned().collect();
        let without_note = *brief && prefix.is_empty();
        let stored = |(lease, vote): (&Rc<str>, &StoredVote<Rc<str>>)| wire::KeptDuty {
            duty: lease.to_string(),
            token: vote.token,
            holder: vote.holder.as_deref().unwrap_or_default().to_owned(),
            left_us: if vote.holder.is_some() { (vote.expires_at_us - self.now_us).max(0) } else { 0 },
            renewed: vote.renewed,
            note_token: vote.metadata.token,
            note_number: vote.metadata.number,
            note: if without_note { Vec::new() } else { vote.metadata.bytes.clone() },
            past: if *brief { Vec::new() } else { past(lease) },
        };
        let votes = self.voter.stored_votes().filter(|(lease, _)| is_requested(lease));
        let up_to = self.delta.up_to;
        wire::Kept {
            whole: self.voter.is_complete(),
            votes_in_us: (self.voter.votes_from_us() - self.now_us).max(0),
            duties: votes.map(stored).collect(),
            life: up_to.incarnation,
            revision: up_to.revision,
            since: self.delta.since,
            prefix: if up_to.incarnation == 0 { String::new() } else { prefix.clone() },
        }
    }
}
