//! A planner's own summary, and that of its zone: what is worth publishing, and how finely.
use crate::payload::{Metrics, Payload};
use crate::stored_summary::{ChangeKind, StoredSummary};
use crate::{Gossip, GossipConfig, InvalidSummary};

/// The least change that is passed on doubles so often at most: of a metric that doubles nothing is passed on
/// any more.
const MAX_COARSENESS: u32 = 4;
/// After so many summaries of its own without want of bytes, smaller changes are passed on again.
const SUMMARIES_TO_REFINE: u32 = 8;
/// Metrics behind those of a zone's summary: planners that it stands for, and those that are stale.
pub(crate) const ZONE_COUNTS: usize = 2;

/// Who starts has everything to pass on at once.
pub(crate) fn initial_coarseness(config: &GossipConfig) -> u32 {
    if config.bytes_per_second.is_some() {
        MAX_COARSENESS
    } else {
        0
    }
}

/// A slot's metrics, and the two counts behind those of a zone.
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

    /// That few of a zone are fresh comes of want of bytes, too: passed on first, it would make them scarcer.
    fn is_urgent(&self, index: usize) -> bool {
        index < self.0.metric_count() && self.0.is_urgent(index)
    }

    fn merge(&self, parts: &[&Metrics]) -> Vec<f32> {
        self.0.merge(parts)
    }
}

impl<P: Payload> Gossip<P> {
    /// This planner's metrics, as they are now. Nothing is passed on where nothing changed enough to matter.
    ///
    /// # Errors
    /// The metrics are too many or too few, or not finite: nothing is published.
    pub fn publish(&mut self, now_us: i64, metrics: Metrics) -> Result<(), InvalidSummary> {
        let own_slot = self.membership.own_slot;
        self.check_own(&metrics).map_err(|wrong| wrong.into_error(own_slot, own_slot))?;
        if self.publish_subject(now_us, own_slot, now_us, metrics.iter()) {
            self.adapt_coarseness(now_us);
        }
        self.publish_zone(now_us);
        Ok(())
    }

    /// Where bytes are short, here or on the way from most of its zone, only larger changes are worth them:
    /// summaries stay young, and less precise.
    fn adapt_coarseness(&mut self, now_us: i64) {
        let own_slot = self.membership.own_slot;
        let near_peers = (0..self.membership.slots).filter(|slot| *slot != own_slot && self.is_near(*slot));
        let ages_us: Vec<i64> = near_peers
            .filter_map(|slot| Some(now_us - self.fresh_summary(now_us, slot)?.made_at_us))
            .collect();
        let late = ages_us.iter().filter(|age_us| **age_us > 2 * self.config.refresh_us).count();
        let most_are_late = self.config.bytes_per_second.is_some() && 4 * late > ages_us.len();
        if std::mem::take(&mut self.short_of_bytes) || most_are_late {
            (self.unhindered, self.coarseness) = (0, (self.coarseness + 1).min(MAX_COARSENESS));
        } else {
            self.unhindered += 1;
            if self.unhindered >= SUMMARIES_TO_REFINE {
                (self.unhindered, self.coarseness) = (0, self.coarseness.saturating_sub(1));
            }
        }
    }

    /// Stores the next summary of this planner or its zone, if it is time for one. True: it did.
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
        let is_time = |change| match change {
            ChangeKind::Urgent => !is_zone || since_us >= refresh_us / 4,
            ChangeKind::Ordinary => since_us >= refresh_us / 2,
            ChangeKind::Nothing => since_us >= refresh_us,
        };
        let (payload, before) = (WithZoneCounts(&self.payload), self.summaries[subject].as_ref());
        let next = StoredSummary::next(before, made_at_us, &payload, self.coarseness, metrics, is_time);
        let Some(next) = next else { return false };
        self.summaries[subject] = Some(next);
        *published_us = now_us;
        true
    }

    /// What all planners of its zone report, as one; published by the lowest slot that is alive there.
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
        let parts: Vec<&Metrics> = fresh.iter().map(|summary| &summary.metrics).collect();
        let mut merged = self.payload.merge(&parts);
        let held = zone_slots().filter(|slot| self.slots[*slot].token > 0).count();
        merged.extend([parts.len() as f32, (held - parts.len()) as f32]);
        self.publish_subject(now_us, own_slot + self.membership.slots, made_at_us, merged.into_iter());
    }
}
