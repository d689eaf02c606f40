//! A planner's own summary and its zone's summary: when they are published, and which changes they
//! contain.
use crate::payload::{Metrics, Payload};
use crate::stored_summary::{ChangeKind, StoredSummary};
use crate::{Gossip, GossipConfig, InvalidSummary};

/// The most times that the least change to pass on is doubled. At 4 doublings even a metric that
/// doubles is not passed on.
const MAX_COARSENESS: u32 = 4;
/// After this many own summaries without a shortage of bytes, smaller changes are passed on again.
const SUMMARIES_TO_REFINE: u32 = 8;
/// The number of counts that follow the metrics in a zone's summary: the planners that it covers,
/// and the stale planners of the zone.
pub(crate) const ZONE_COUNTS: usize = 2;

/// Returns the initial coarseness: with a byte limit the highest, because a planner that starts has
/// everything to pass on at once.
pub(crate) fn initial_coarseness(config: &GossipConfig) -> u32 {
    if config.bytes_per_second.is_some() {
        MAX_COARSENESS
    } else {
        0
    }
}

/// A payload whose metrics are a slot's metrics followed by the two counts of a zone's summary.
pub(crate) struct WithZoneCounts<'a, P>(pub &'a P);

impl<P: Payload> Payload for WithZoneCounts<'_, P> {
    fn metric_count(&self) -> usize {
        self.0.metric_count() + ZONE_COUNTS
    }

    fn rounded(&self, index: usize, metric: f32) -> f32 {
        if index < self.0.metric_count() {
            self.0.rounded(index, metric)
        } else {
            metric
        }
    }

    fn is_significant(&self, index: usize, before: f32, after: f32, coarseness: u32) -> bool {
        if index < self.0.metric_count() {
            self.0.is_significant(index, before, after, coarseness)
        } else {
            before != after
        }
    }

    /// The counts are never urgent: summaries become stale when bytes are short, and sending the
    /// counts first would make the shortage worse.
    fn is_urgent(&self, index: usize) -> bool {
        index < self.0.metric_count() && self.0.is_urgent(index)
    }

    fn merge(&self, reports: &[&Metrics]) -> Vec<f32> {
        self.0.merge(reports)
    }
}

impl<P: Payload> Gossip<P> {
    /// Publishes this planner's current metrics. Nothing is published if no metric changed
    /// significantly and no refresh is due.
    ///
    /// # Errors
    /// The number of metrics is wrong, or one is not finite. Nothing is published.
    pub fn publish(&mut self, now_us: i64, metrics: Metrics) -> Result<(), InvalidSummary> {
        let own_slot = self.membership.own_slot;
        self.check_own(&metrics).map_err(|invalid| invalid.into_error(own_slot, own_slot))?;
        if self.publish_subject(now_us, own_slot, now_us, metrics.iter()) {
            self.adapt_coarseness(now_us);
        }
        self.publish_zone(now_us);
        Ok(())
    }

    /// Doubles or halves the least change that is passed on. It doubles when bytes are short here,
    /// or when over a quarter of the zone's summaries arrive late: smaller deltas keep summaries
    /// fresh at the cost of precision.
    fn adapt_coarseness(&mut self, now_us: i64) {
        let own_slot = self.membership.own_slot;
        let local_peers = (0..self.membership.slots).filter(|slot| *slot != own_slot && self.is_local(*slot));
        let ages_us: Vec<i64> = local_peers
            .filter_map(|slot| Some(now_us - self.fresh_summary(now_us, slot)?.made_at_us))
            .collect();
        let late = ages_us.iter().filter(|age_us| **age_us > 2 * self.config.refresh_us).count();
        let many_are_late = self.config.bytes_per_second.is_some() && 4 * late > ages_us.len();
        if std::mem::take(&mut self.throttled) || many_are_late {
            (self.unthrottled_summaries, self.coarseness) = (0, (self.coarseness + 1).min(MAX_COARSENESS));
        } else {
            self.unthrottled_summaries += 1;
            if self.unthrottled_summaries >= SUMMARIES_TO_REFINE {
                (self.unthrottled_summaries, self.coarseness) = (0, self.coarseness.saturating_sub(1));
            }
        }
    }

    /// Stores the next summary of this planner or its zone if one is due, and returns whether it
    /// did.
    fn publish_subject(
        &mut self,
        now_us: i64,
        subject: usize,
        made_at_us: i64,
        metrics: impl Iterator<Item = f32>,
    ) -> bool {
        let is_zone = self.is_zone(subject);
        let (refresh_us, published_us) = if is_zone {
            (self.config.zone_refresh_us, &mut self.zone_published_us)
        } else {
            (self.config.refresh_us, &mut self.published_us)
        };
        let since_us = now_us.saturating_sub(*published_us);
        let is_due = |change| match change {
            ChangeKind::Urgent => !is_zone || since_us >= refresh_us / 4,
            ChangeKind::Ordinary => since_us >= refresh_us / 2,
            ChangeKind::Unchanged => since_us >= refresh_us,
        };
        let (payload, before) = (WithZoneCounts(&self.payload), self.summaries[subject].as_ref());
        let next = StoredSummary::next(before, made_at_us, &payload, self.coarseness, metrics, is_due);
        let Some(next) = next else { return false };
        self.summaries[subject] = Some(next);
        *published_us = now_us;
        true
    }

    /// Publishes the merged summary of this planner's zone, if this planner has the lowest slot
    /// that is alive in the zone.
    pub(crate) fn publish_zone(&mut self, now_us: i64) {
        let own_slot = self.membership.own_slot;
        let own_zone = Some(self.membership.own_zone);
        let zone_slots = || (0..self.membership.slots).filter(|slot| self.zone_of(*slot) == own_zone);
        let fresh: Vec<&StoredSummary> =
            zone_slots().filter_map(|slot| self.fresh_summary(now_us, slot)).collect();
        let lowest = zone_slots().find(|slot| self.counts_as_alive(now_us, *slot));
        if self.config.flat || lowest != Some(own_slot) {
            return;
        }
        let Some(made_at_us) = fresh.iter().map(|summary| summary.made_at_us).min() else { return };
        let reports: Vec<&Metrics> = fresh.iter().map(|summary| &summary.metrics).collect();
        let mut merged = self.payload.merge(&reports);
        let held = zone_slots().filter(|slot| self.slots[*slot].token > 0).count();
        merged.extend([reports.len() as f32, (held - reports.len()) as f32]);
        self.publish_subject(now_us, own_slot + self.membership.slots, made_at_us, merged.into_iter());
    }
}
