//! How a voter handles each frame.
use super::stored::RecordReply;
use super::{Actor, Connection, MAX_LEASE_NAME_BYTES, MAX_METADATA_BYTES};
use crate::voter_links::{boottime_us, process_name};
use basaltpitch_agent::link::{Clock, LinkCommand};
use basaltpitch_agent::session::PeerIdentity;
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_lease::record::{RecordDelta, RevisionState};
use basaltpitch_lease::{LeaseMetadata, VoteReply};
use serde::Serialize;
use std::rc::Rc;

/// Limit on the holders of one lease that are kept for operators.
const MAX_HOLDERS_KEPT: usize = 8;

/// The connection on which to send a frame, and the frame.
type Reply = (u64, Body);

/// The reply to an operator's request to transfer a lease.
#[derive(Serialize)]
struct TransferReply {
    /// The reason for which the request was not forwarded; `None` if it was.
    fault: Option<&'static str>,
    /// Whether the request was forwarded to the holder.
    passed_on: bool,
}

/// Returns the frame that replies to an operator with this JSON.
fn json_reply(json: String) -> Body {
    Body::Told(wire::Told { json, more: false })
}

impl Connection {
    /// Returns whether the peer is the process with this name, which includes its epoch.
    fn is_process(&self, process: &Rc<str>) -> bool {
        self.peer.as_ref().is_some_and(|peer| process_name(&peer.name, peer.epoch) == *process)
    }

    /// Returns whether the peer is a planner.
    fn is_planner(&self) -> bool {
        self.peer.as_ref().is_some_and(|peer| peer.role == Role::Planner)
    }

    /// Returns whether the peer has this configured name.
    fn has_name(&self, name: &str) -> bool {
        self.peer.as_ref().is_some_and(|peer| peer.name == name)
    }
}

impl Actor {
    /// Handles one frame. Returns true if the voter must store its votes before it sends the
    /// replies.
    pub fn on_frame(&mut self, connection: u64, body: Body, replies: &mut Vec<Reply>) -> bool {
        let Some(peer) = self.connections.get(&connection).and_then(|c| c.peer.clone()) else { return false };
        let process = process_name(&peer.name, peer.epoch);
        let is_too_long = |ballot: &wire::Ballot| {
            ballot.duty.len() > MAX_LEASE_NAME_BYTES || ballot.note.len() > MAX_METADATA_BYTES
        };
        match body {
            Body::Ballots(ballots) if !ballots.ballots.iter().any(is_too_long) => {
                let votes = self.on_ballots(&process, ballots);
                let has_changed = votes.votes.iter().any(|vote| vote.granted);
                replies.push((connection, Body::Votes(votes)));
                has_changed
            }
            Body::GiveBack(release) => self.on_release(&process, release, replies),
            Body::HandOn(transfer) => {
                self.on_transfer_request(connection, transfer, replies);
                false
            }
            Body::Record(request) => {
                let record = self.record(&request);
                replies.push((connection, Body::Kept(record)));
                false
            }
            Body::Query(query) if query.what == "traffic" => {
                let json = crate::view::traffic(&self.links.traffic).to_string();
                replies.push((connection, json_reply(json)));
                false
            }
            _ => {
                self.refuse(connection, &peer);
                false
            }
        }
    }

    /// Handles a process's ballots. Returns the reply with one vote per ballot.
    fn on_ballots(&mut self, process: &Rc<str>, ballots: wire::Ballots) -> wire::Votes {
        let now_us = boottime_us();
        let vote = |ballot: wire::Ballot| {
            let (token, number) = (ballot.token, ballot.note_number);
            let metadata = (number > 0).then_some(LeaseMetadata { token, number, bytes: ballot.note });
            let lease: Rc<str> = ballot.duty.as_str().into();
            let mut vote = wire::Vote { duty: ballot.duty, round: ballot.round, ..wire::Vote::default() };
            match self.voter.request_vote(now_us, &lease, process, token, metadata) {
                VoteReply::Granted { .. } if ballot.renews => vote.granted = true,
                VoteReply::Granted { metadata } => {
                    (vote.granted, vote.note) = (true, metadata.bytes);
                    (vote.note_token, vote.note_number) = (metadata.token, metadata.number);
                }
                VoteReply::Refused { token, retry_after_us } => {
                    (vote.token, vote.left_us) = (token, retry_after_us);
                }
            }
            vote
        };
        let votes: Vec<wire::Vote> = ballots.ballots.into_iter().map(vote).collect();
        let granted = votes.iter().filter(|vote| vote.granted);
        granted.for_each(|vote| self.remember_holder(&vote.duty.as_str().into()));
        wire::Votes { votes, term_us: self.duration_us }
    }

    /// Adds the holder of a lease to the lease's history, once it has renewed the lease. Before the
    /// first renewal, the process may be one of several candidates that each have some votes.
    fn remember_holder(&mut self, lease: &Rc<str>) {
        let Some(vote) = self.voter.stored_vote(lease).filter(|vote| vote.renewed) else { return };
        let (Some(holder), token) = (&vote.holder, vote.token) else { return };
        let history = self.history.entry(lease.clone()).or_default();
        if history.back().is_none_or(|newest| newest.token < token) {
            let since_us = Clock::start().now();
            history.push_back(wire::Holding { holder: holder.to_string(), token, since_us });
            if history.len() > MAX_HOLDERS_KEPT {
                history.pop_front();
            }
        }
    }

    /// Handles the release of a vote, and transfers the vote if the frame names a process that is
    /// connected to this voter. Returns true if the holder of the lease released it.
    fn on_release(&mut self, process: &Rc<str>, release: wire::GiveBack, replies: &mut Vec<Reply>) -> bool {
        let lease: Rc<str> = release.duty.as_str().into();
        let holder_released = self.voter.release_vote(&lease, process, release.token);
        // Also true for a vote released by a process that has not renewed the lease yet.
        let vote = self.voter.stored_vote(&lease);
        let is_released = vote.is_some_and(|vote| vote.holder.is_none() && vote.token == release.token);
        let successor = self
            .connections
            .values()
            .find(|connection| !release.to.is_empty() && connection.has_name(&release.to));
        let successor = successor.and_then(|connection| connection.peer.clone()).filter(|_| is_released);
        if let Some(to) = &successor {
            self.voter.transfer(boottime_us(), &lease, process_name(&to.name, to.epoch));
        }
        if holder_released || successor.is_some() {
            // Only planners are notified. Other processes acquire no leases, and an operator's
            // command could mistake this frame for the reply to its request.
            let is_notified = |connection: &Connection| {
                connection.is_planner() && successor.as_ref().is_none_or(|to| connection.has_name(&to.name))
            };
            let notified = self.connections.iter().filter(|(_, connection)| is_notified(connection));
            let freed = wire::Freed { duty: release.duty, handed: successor.is_some() };
            replies.extend(notified.map(|(connection, _)| (*connection, Body::Freed(freed.clone()))));
        }
        // A vote released by a process that was not the holder is not written to the disk, as there
        // may be many: if the release is lost in a restart, the vote expires after a lease
        // duration.
        holder_released
    }

    /// Forwards an operator's request to transfer a lease to the holder, and replies whether that
    /// was possible.
    fn on_transfer_request(&mut self, connection: u64, transfer: wire::HandOn, replies: &mut Vec<Reply>) {
        let lease: Rc<str> = transfer.duty.as_str().into();
        let vote = self.voter.stored_vote(&lease).filter(|vote| vote.token == transfer.token);
        let holder = vote.and_then(|vote| vote.holder.as_ref());
        let is_holder = |connection: &Connection| holder.is_some_and(|holder| connection.is_process(holder));
        let is_successor =
            |connection: &Connection| connection.is_planner() && connection.has_name(&transfer.to);
        let holder_connection = self
            .connections
            .iter()
            .find(|(_, connection)| is_holder(connection))
            .map(|(connection, _)| *connection);
        let fault = match holder_connection {
            None => Some("duty: no process linked here holds it under this token"),
            _ if !transfer.to.is_empty() && !self.connections.values().any(is_successor) => {
                Some("to: found no process of that name linked here; expected a spare or planner")
            }
            Some(holder_connection) => {
                replies.push((holder_connection, Body::HandOn(transfer)));
                None
            }
        };
        let reply = TransferReply { fault, passed_on: fault.is_none() };
        let json = serde_json::to_string(&reply).expect("a reply that serializes to JSON");
        replies.push((connection, json_reply(json)));
    }

    /// Returns the record that was requested. A request for all leases gets no delta: the reply
    /// includes the remaining time of each lease, which changes constantly.
    fn record(&mut self, request: &wire::Record) -> wire::Kept {
        let now_us = boottime_us();
        let (mut delta, as_delta) = (RecordDelta::default(), request.brief && !request.prefix.is_empty());
        if as_delta {
            let state = RevisionState { incarnation: request.life, revision: request.revision };
            delta = self.revisions.delta_for(now_us, state, self.voter.stored_votes());
        }
        let includes = |lease: &Rc<str>| !as_delta || self.revisions.includes(&delta, lease);
        let (voter, history) = (&self.voter, &self.history);
        RecordReply { voter, history, now_us, request, delta }.frame(includes)
    }

    /// Closes a connection on which an unexpected frame arrived.
    fn refuse(&self, connection: u64, peer: &PeerIdentity) {
        let why = "found a frame that no voter takes; expected ballots (a duty of up to 200 bytes, \
                   a note of up to 64 KiB), give_back, hand_on, record or a query of traffic";
        tracing::warn!(peer = peer.name, why);
        if let Some(connection) = self.connections.get(&connection) {
            let _ = connection.commands.try_send(LinkCommand::Close(why.into()));
        }
    }
}
