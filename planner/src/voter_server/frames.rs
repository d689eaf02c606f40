//! What a voter does on each frame.
use super::stored::RecordReply;
use super::{Actor, Conn, LONGEST_LEASE_NAME, LONGEST_METADATA};
use crate::voter_links::{boottime_us, process_name};
use basaltpitch_agent::link::{Clock, LinkCommand};
use basaltpitch_agent::session::PeerIdentity;
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_lease::record::{RecordDelta, RevisionState};
use basaltpitch_lease::{LeaseMetadata, VoteReply};
use serde::Serialize;
use std::rc::Rc;

/// Holders of a lease that are remembered for operators.
const LONGEST_HISTORY: usize = 8;

/// A frame to send, and the connection that it goes to.
type Reply = (u64, Body);

/// The reply to an operator's request to transfer a lease.
#[derive(Serialize)]
struct TransferReply {
    fault: Option<&'static str>,
    passed_on: bool,
}

fn json_reply(json: String) -> Body {
    Body::Told(wire::Told { json, more: false })
}

impl Conn {
    /// Whether this process is linked here.
    fn is_process(&self, process: &Rc<str>) -> bool {
        self.party.as_ref().is_some_and(|party| process_name(&party.name, party.epoch) == *process)
    }

    fn is_planner(&self) -> bool {
        self.party.as_ref().is_some_and(|party| party.role == Role::Planner)
    }

    fn has_name(&self, name: &str) -> bool {
        self.party.as_ref().is_some_and(|party| party.name == name)
    }
}

impl Actor {
    /// One frame; true if it changed what is to be stored.
    pub fn on_frame(&mut self, conn: u64, body: Body, replies: &mut Vec<Reply>) -> bool {
        let Some(party) = self.conns.get(&conn).and_then(|conn| conn.party.clone()) else { return false };
        let process = process_name(&party.name, party.epoch);
        let is_long = |ballot: &wire::Ballot| {
            ballot.duty.len() > LONGEST_LEASE_NAME || ballot.note.len() > LONGEST_METADATA
        };
        match body {
            Body::Ballots(ballots) if !ballots.ballots.iter().any(is_long) => {
                let votes = self.on_ballots(&process, ballots);
                let has_changed = votes.votes.iter().any(|vote| vote.granted);
                replies.push((conn, Body::Votes(votes)));
                has_changed
            }
            Body::GiveBack(release) => self.on_release(&process, release, replies),
            Body::HandOn(transfer) => {
                self.on_transfer_request(conn, transfer, replies);
                false
            }
            Body::Record(request) => {
                let record = self.record(&request);
                replies.push((conn, Body::Kept(record)));
                false
            }
            Body::Query(query) if query.what == "traffic" => {
                let json = crate::view::traffic(&self.links.traffic).to_string();
                replies.push((conn, json_reply(json)));
                false
            }
            _ => {
                self.refuse(conn, &party);
                false
            }
        }
    }

    fn on_ballots(&mut self, process: &Rc<str>, ballots: wire::Ballots) -> wire::Votes {
        let now = boottime_us();
        let vote = |ballot: wire::Ballot| {
            let (token, number) = (ballot.token, ballot.note_number);
            let metadata = (number > 0).then_some(LeaseMetadata { token, number, bytes: ballot.note });
            let lease: Rc<str> = ballot.duty.as_str().into();
            let mut vote = wire::Vote { duty: ballot.duty, round: ballot.round, ..wire::Vote::default() };
            match self.voter.request_vote(now, &lease, process, token, metadata) {
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

    /// Who has a lease is remembered from the first renewal on: before that it may be one of many that try.
    fn remember_holder(&mut self, lease: &Rc<str>) {
        let Some(vote) = self.voter.stored_vote(lease).filter(|vote| vote.renewed) else { return };
        let (Some(holder), token) = (&vote.holder, vote.token) else { return };
        let history = self.history.entry(lease.clone()).or_default();
        if history.back().is_none_or(|newest| newest.token < token) {
            let since_us = Clock::start().now();
            history.push_back(wire::Holding { holder: holder.to_string(), token, since_us });
            if history.len() > LONGEST_HISTORY {
                history.pop_front();
            }
        }
    }

    /// A vote is released, and transferred where the frame names a process that is linked here.
    fn on_release(&mut self, process: &Rc<str>, release: wire::GiveBack, replies: &mut Vec<Reply>) -> bool {
        let lease: Rc<str> = release.duty.as_str().into();
        let holder_released = self.voter.release_vote(&lease, process, release.token);
        // Also by a holder that has not renewed yet.
        let vote = self.voter.stored_vote(&lease);
        let is_released = vote.is_some_and(|vote| vote.holder.is_none() && vote.token == release.token);
        let successor = self.conns.values().find(|conn| !release.to.is_empty() && conn.has_name(&release.to));
        let successor = successor.and_then(|conn| conn.party.clone()).filter(|_| is_released);
        if let Some(to) = &successor {
            self.voter.transfer(boottime_us(), &lease, process_name(&to.name, to.epoch));
        }
        if holder_released || successor.is_some() {
            // Others than planners want no slot, and a command could take this for the reply to its question.
            let is_notified = |conn: &Conn| {
                conn.is_planner() && successor.as_ref().is_none_or(|to| conn.has_name(&to.name))
            };
            let notified = self.conns.iter().filter(|(_, conn)| is_notified(conn));
            let freed = wire::Freed { duty: release.duty, handed: successor.is_some() };
            replies.extend(notified.map(|(conn, _)| (*conn, Body::Freed(freed.clone()))));
        }
        // What many clients release is not worth a write: forgotten, it is free after a lease duration.
        holder_released
    }

    /// An operator's request to transfer a lease is passed on to its holder.
    fn on_transfer_request(&mut self, conn: u64, transfer: wire::HandOn, replies: &mut Vec<Reply>) {
        let lease: Rc<str> = transfer.duty.as_str().into();
        let vote = self.voter.stored_vote(&lease).filter(|vote| vote.token == transfer.token);
        let holder = vote.and_then(|vote| vote.holder.as_ref());
        let is_holder = |conn: &Conn| holder.is_some_and(|holder| conn.is_process(holder));
        let is_successor = |conn: &Conn| conn.is_planner() && conn.has_name(&transfer.to);
        let holding = self.conns.iter().find(|(_, conn)| is_holder(conn)).map(|(conn, _)| *conn);
        let fault = match holding {
            None => Some("duty: no process linked here holds it under this token"),
            _ if !transfer.to.is_empty() && !self.conns.values().any(is_successor) => {
                Some("to: found no process of that name linked here; expected a spare or planner")
            }
            Some(holding) => {
                replies.push((holding, Body::HandOn(transfer)));
                None
            }
        };
        let reply = TransferReply { fault, passed_on: fault.is_none() };
        let json = serde_json::to_string(&reply).expect("plain values");
        replies.push((conn, json_reply(json)));
    }

    /// What it stores, for who asks. Who asks for all leases wants to know how long each is held, which changes all the
    /// time.
    fn record(&mut self, request: &wire::Record) -> wire::Kept {
        let now = boottime_us();
        let (mut delta, as_delta) = (RecordDelta::default(), request.brief && !request.prefix.is_empty());
        if as_delta {
            let state = RevisionState { incarnation: request.life, revision: request.revision };
            delta = self.revisions.delta_for(now, state, self.voter.stored_votes());
        }
        let includes = |lease: &Rc<str>| !as_delta || self.revisions.includes(&delta, lease);
        let (voter, history) = (&self.voter, &self.history);
        RecordReply { voter, history, now, request, delta }.frame(includes)
    }

    fn refuse(&self, conn: u64, party: &PeerIdentity) {
        let why = "found a frame that no voter takes; expected ballots (a duty of up to 200 bytes, \
                   a note of up to 64 KiB), give_back, hand_on, record or a query of traffic";
        tracing::warn!(peer = party.name, why);
        if let Some(conn) = self.conns.get(&conn) {
            let _ = conn.orders.try_send(LinkCommand::Close(why.into()));
        }
    }
}
