//! Requests and replies: which summaries a peer lacks, and which summaries of its replies are
//! accepted.
use crate::links::{Link, OpenRequest, PeerVersion, UnconfirmedReply};
use crate::payload::Metrics;
use crate::publish::{WithZoneCounts, ZONE_COUNTS};
use crate::stored_summary::StoredSummary;
use crate::{
    frame_size, Gossip, GossipAction, InvalidSummary, Payload, PullRequest, SummaryDelta, Version,
    MAX_METRICS,
};

/// A field with an invalid value: its name, the value found and the value expected.
pub(crate) struct InvalidField {
    pub field: String,
    pub found: String,
    pub expected: String,
}

impl InvalidField {
    /// Converts this into an error about the summary of `slot` in a frame of `peer`.
    pub fn into_error(self, peer: usize, slot: usize) -> InvalidSummary {
        let InvalidField { field, found, expected } = self;
        InvalidSummary::Payload { peer, slot, field, found, expected }
    }
}

/// A slot or zone of which the peer lacks the newest summary.
struct MissingSubject {
    subject: usize,
    /// The version that the peer has under the current token; its number is 0 if it has none.
    base: PeerVersion,
    /// Whether an urgent metric changed, so that the subject is sent before others.
    urgent: bool,
}

/// The origin of a received delta.
#[derive(Clone, Copy)]
struct ReplySource {
    link: u64,
    peer: usize,
    /// The time between sending the request and receiving the reply, in microseconds.
    round_trip_us: i64,
}

impl<P: Payload> Gossip<P> {
    /// Returns whether the peer may be sent another request: none is open and `interval_us` has
    /// passed since the last one, or the longer interval for peers in another region.
    pub(crate) fn is_due(&self, now_us: i64, link: &Link, interval_us: i64) -> bool {
        let remote = self.is_remote_region(link.slot);
        let interval_us = if remote { self.config.remote_region_interval_us } else { interval_us };
        link.open.is_none() && now_us.saturating_sub(interval_us) >= link.requested_us
    }

    /// Requests summaries from a peer, unless a request is open or the byte budget is used up.
    pub(crate) fn request(&mut self, now_us: i64, link_id: u64) {
        let Some(link) = self.links.get(&link_id).filter(|link| link.open.is_none()) else { return };
        // Stale summaries are included, because the peer can send deltas against them.
        let version = |subject: usize| Version { subject, number: self.stored_number(subject) };
        let versions: Vec<Version> = if link.acknowledged == 0 {
            let passed_on =
                (0..self.summaries.len()).filter(|subject| self.is_passed_on(*subject, link.slot));
            passed_on.map(version).filter(|version| version.number > 0).collect()
        } else {
            let corrections = link.corrections.iter().copied();
            corrections.filter(|subject| self.is_passed_on(*subject, link.slot)).map(version).collect()
        };
        let (id, acknowledged) = (self.last_request_id + 1, link.acknowledged);
        let has_updates = !self.missing_at_peer(now_us, link).is_empty();
        if self.budget.available(now_us) <= 0 {
            self.throttled = true;
            return;
        }
        self.last_request_id = id;
        if let Some(link) = self.links.get_mut(&link_id) {
            (link.open, link.requested_us) = (Some(OpenRequest { id, sent_us: now_us }), now_us);
            link.corrections.clear();
        }
        let request = PullRequest { id, acknowledged, has_updates, versions };
        self.send(GossipAction::Request { link: link_id, request });
    }

    /// Handles a peer's request for the summaries that are newer than its own.
    ///
    /// # Errors
    /// The request names a slot that does not exist. The caller must close the link.
    pub fn receive_request(
        &mut self,
        now_us: i64,
        link_id: u64,
        request: PullRequest,
    ) -> Result<(), InvalidSummary> {
        let Some(link) = self.links.get_mut(&link_id) else { return Ok(()) };
        let (peer, slots) = (link.slot, self.membership.slots);
        let mut subjects = request.versions.iter().map(|version| version.subject);
        if let Some(found) = subjects.find(|subject| *subject >= 2 * slots) {
            return Err(InvalidSummary::Slot { peer, found, slots });
        }
        if request.id <= link.peer_request_id {
            // A duplicated or reordered request: the versions that it states are out of date.
            return Ok(());
        }
        (link.peer_request_id, link.reply_pending) = (request.id, true);
        match link.unconfirmed.take() {
            _ if request.acknowledged == 0 => link.peer_versions.clear(),
            Some(reply) if reply.request_id == request.acknowledged => {
                link.peer_versions.extend(reply.versions);
            }
            // The previous reply did not arrive; its summaries are sent again.
            _ => {}
        }
        for Version { subject, number } in request.versions {
            let token = self.slots[subject % slots].token;
            link.peer_versions.insert(subject, PeerVersion { token, number, since_us: now_us });
        }
        self.reply(now_us, link_id);
        // Two planners that reject each other's summaries would otherwise send requests as fast as
        // the link allows.
        let interval_us = self.config.round_us / 2;
        let is_due = |link: &Link| self.is_due(now_us, link, interval_us);
        if request.has_updates && self.links.get(&link_id).is_some_and(is_due) {
            self.request(now_us, link_id);
        }
        Ok(())
    }

    /// Returns the slots and zones of which the peer has an older summary than this planner. Urgent
    /// ones come first, then those whose version at the peer has been known the longest.
    fn missing_at_peer(&self, now_us: i64, link: &Link) -> Vec<MissingSubject> {
        let nothing = PeerVersion { token: 0, number: 0, since_us: i64::MIN };
        let slots = self.membership.slots;
        let mut missing: Vec<MissingSubject> = Vec::new();
        let zones = self.best_reporters(now_us).into_values().map(|(_, reporter)| reporter.0 + slots);
        for subject in (0..slots).chain(zones) {
            // The peer has the newest summary of its own slot.
            if self.slot_of(subject) == link.slot || !self.is_passed_on(subject, link.slot) {
                continue;
            }
            let Some(summary) = self.fresh_summary(now_us, subject) else { continue };
            let token = self.slots[self.slot_of(subject)].token;
            let known = link.peer_versions.get(&subject).copied().unwrap_or(nothing);
            if (known.token, known.number) < (token, summary.number) {
                let number = if known.token == token { known.number } else { 0 };
                let urgent = summary.is_urgent(number, &WithZoneCounts(&self.payload));
                missing.push(MissingSubject {
                    subject,
                    base: PeerVersion { token, number, ..known },
                    urgent,
                });
            }
        }
        missing.sort_by_key(|subject| (!subject.urgent, subject.base.since_us, subject.subject));
        missing
    }

    /// Replies to a peer's pending request with as many summaries as the byte budget allows.
    pub(crate) fn reply(&mut self, now_us: i64, link_id: u64) {
        let available = self.budget.available(now_us);
        let Some(link) = self.links.get(&link_id).filter(|link| link.reply_pending) else { return };
        if available < self.budget.min_reply_bytes() {
            // The reply waits for a later round. Ages stay correct, because the requester adds the
            // whole time since its request.
            self.throttled = true;
            return;
        }
        let mut available = available - frame_size::REPLY_OVERHEAD;
        let mut deltas: Vec<SummaryDelta> = Vec::new();
        for MissingSubject { subject, base, .. } in
            self.missing_at_peer(now_us, link).into_iter().take(self.config.max_deltas_per_reply)
        {
            let Some(summary) = self.fresh_summary(now_us, subject) else { continue };
            let delta = SummaryDelta {
                subject,
                token: base.token,
                number: summary.number,
                base: base.number,
                age_us: (now_us - summary.made_at_us).max(0),
                changed: summary.since(base.number),
            };
            let bytes = frame_size::delta_bytes(&delta);
            // At least one summary is always sent; a large one would otherwise wait forever behind
            // small ones.
            if bytes > available && !deltas.is_empty() {
                self.throttled = true;
                break;
            }
            available -= bytes;
            deltas.push(delta);
        }
        let request_id = link.peer_request_id;
        let version = |delta: &SummaryDelta| {
            let SummaryDelta { subject, token, number, .. } = *delta;
            (subject, PeerVersion { token, number, since_us: now_us })
        };
        let versions = deltas.iter().map(version).collect();
        if let Some(link) = self.links.get_mut(&link_id) {
            link.reply_pending = false;
            link.unconfirmed = Some(UnconfirmedReply { request_id, versions });
        }
        self.send(GossipAction::Reply { link: link_id, request_id, deltas });
    }

    /// Handles a peer's reply. Invalid summaries are dropped, each with an error that tells what is
    /// wrong with it.
    pub fn receive_reply(
        &mut self,
        now_us: i64,
        link_id: u64,
        request_id: u64,
        deltas: impl IntoIterator<Item = SummaryDelta>,
    ) -> Vec<InvalidSummary> {
        let Some(link) = self.links.get_mut(&link_id) else { return Vec::new() };
        let peer = link.slot;
        let Some(open) = link.open.take_if(|open| open.id == request_id) else {
            // A duplicated reply, or one that arrived after the timeout: the ages in it cannot be
            // corrected for the time that it took.
            return vec![InvalidSummary::RequestId { peer, found: request_id }];
        };
        link.acknowledged = request_id;
        let source = ReplySource { link: link_id, peer, round_trip_us: now_us - open.sent_us };
        deltas.into_iter().filter_map(|delta| self.receive_delta(now_us, source, &delta).err()).collect()
    }

    fn receive_delta(
        &mut self,
        now_us: i64,
        source: ReplySource,
        delta: &SummaryDelta,
    ) -> Result<(), InvalidSummary> {
        let (peer, slots, subject) = (source.peer, self.membership.slots, delta.subject);
        if subject >= 2 * slots {
            return Err(InvalidSummary::Slot { peer, found: subject, slots });
        }
        let slot = self.slot_of(subject);
        let (found, expected) = (delta.token, self.slots[slot].token);
        if found < expected {
            // The peer does not know the current holder yet and sent an earlier holder's summary.
            return Ok(());
        }
        if found > expected {
            return Err(InvalidSummary::Token { peer, slot, found, expected });
        }
        let stored = self.stored_number(subject);
        if slot == self.membership.own_slot {
            let (found, expected) = (delta.number, stored);
            return if found > expected {
                Err(InvalidSummary::Number { peer, slot, found, expected })
            } else {
                Ok(())
            };
        }
        if delta.age_us < 0 {
            return Err(InvalidSummary::Age { peer, slot, found: delta.age_us });
        }
        check_delta(delta, self.metric_count(subject)).map_err(|invalid| invalid.into_error(peer, slot))?;
        self.record_peer_version(now_us, source.link, delta);
        if delta.number > stored {
            self.store(now_us, source, delta);
        }
        Ok(())
    }

    /// Records that the peer has the version that it sent.
    fn record_peer_version(&mut self, now_us: i64, link_id: u64, delta: &SummaryDelta) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let sent = PeerVersion { token: delta.token, number: delta.number, since_us: now_us };
        let known = link.peer_versions.entry(delta.subject).or_insert(sent);
        if (known.token, known.number) < (sent.token, sent.number) {
            *known = sent;
        }
    }

    fn store(&mut self, now_us: i64, source: ReplySource, delta: &SummaryDelta) {
        let subject = delta.subject;
        let mut made_at_us = now_us.saturating_sub(delta.age_us).saturating_sub(source.round_trip_us);
        let before = self.summaries[subject].as_ref();
        if let Some(before) = before.filter(|_| !self.is_zone(subject)) {
            // A summary is never older than the stored one with a lower number.
            made_at_us = made_at_us.max(before.made_at_us);
        }
        match StoredSummary::apply(before, made_at_us, delta) {
            Some(summary) => {
                self.summaries[subject] = Some(summary);
                // Other peers need not send this version again.
                for (_, link) in self.links.iter_mut().filter(|(id, _)| **id != source.link) {
                    link.corrections.insert(subject);
                }
            }
            None => {
                if let Some(link) = self.links.get_mut(&source.link) {
                    link.corrections.insert(subject);
                }
            }
        }
    }

    /// Returns how many metrics the summary of a subject (a slot or a zone) has.
    fn metric_count(&self, subject: usize) -> usize {
        self.payload.metric_count() + if self.is_zone(subject) { ZONE_COUNTS } else { 0 }
    }

    /// Checks the metrics that this planner is about to publish.
    pub(crate) fn check_own(&self, metrics: &Metrics) -> Result<(), InvalidField> {
        let count = self.metric_count(self.membership.own_slot);
        if metrics.len() != count || count > MAX_METRICS {
            let expected = format!("{count} metrics, at most {MAX_METRICS}");
            return Err(InvalidField { field: "figures".into(), found: metrics.len().to_string(), expected });
        }
        match metrics.iter().position(|metric| !metric.is_finite()) {
            Some(index) => Err(not_finite(index, metrics.get(index))),
            None => Ok(()),
        }
    }
}

fn not_finite(index: usize, metric: f32) -> InvalidField {
    let (field, found) = (format!("figures[{index}]"), metric.to_string());
    InvalidField { field, found, expected: "a finite number".into() }
}

/// Checks a delta of a summary with `metric_count` metrics.
fn check_delta(delta: &SummaryDelta, metric_count: usize) -> Result<(), InvalidField> {
    let rises = delta.changed.windows(2).all(|pair| pair[0].0 < pair[1].0);
    let end = delta.changed.last().map_or(0, |(index, _)| index + 1);
    if !rises || end > metric_count || delta.base == 0 && end != metric_count {
        let expected = format!("{metric_count} metrics in rising order, as in this planner's files");
        return Err(InvalidField { field: "figures".into(), found: end.to_string(), expected });
    }
    if let Some((index, bits)) = delta.changed.iter().find(|(_, bits)| !f32::from_bits(*bits).is_finite()) {
        return Err(not_finite(*index, f32::from_bits(*bits)));
    }
    if delta.base > 0 && delta.base >= delta.number {
        let expected = format!("a number below that of the summary, {}", delta.number);
        return Err(InvalidField { field: "base".into(), found: delta.base.to_string(), expected });
    }
    Ok(())
}
