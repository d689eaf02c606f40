//! The stored form of a summary. Each metric has the number of the summary in which it last
//! changed, or a later number, so the changes since any number are known without keeping earlier
//! summaries (compare van Renesse and others, "Efficient reconciliation and flow control for
//! anti-entropy protocols", 2008).
use crate::payload::{Metrics, Payload};
use crate::SummaryDelta;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StoredSummary {
    pub number: u64,
    /// The earliest time at which the summary can have been made, in microseconds.
    pub made_at_us: i64,
    pub metrics: Metrics,
    /// By metric: the number of the summary in which it last changed, or a later one.
    changed: Vec<u64>,
}

impl StoredSummary {
    /// Makes a planner's next summary after `before`, or its first one. Returns `None` if `is_due`
    /// is false for the most urgent kind of change in it.
    pub fn next(
        before: Option<&StoredSummary>,
        made_at_us: i64,
        payload: &impl Payload,
        coarseness: u32,
        metrics: impl Iterator<Item = f32>,
        is_due: impl FnOnce(ChangeKind) -> bool,
    ) -> Option<StoredSummary> {
        let rounded = metrics.enumerate().map(|(index, metric)| payload.rounded(index, metric));
        let Some(before) = before else {
            let metrics: Metrics = rounded.collect();
            let changed = vec![1; metrics.len()];
            return Some(StoredSummary { number: 1, made_at_us, metrics, changed });
        };
        let number = before.number + 1;
        let (mut bits, mut changed) = (before.metrics.0.to_vec(), before.changed.clone());
        let mut kind = ChangeKind::Unchanged;
        for (index, after) in rounded.enumerate().take(bits.len()) {
            if payload.is_significant(index, f32::from_bits(bits[index]), after, coarseness) {
                (bits[index], changed[index]) = (after.to_bits(), number);
                kind = kind.max(if payload.is_urgent(index) {
                    ChangeKind::Urgent
                } else {
                    ChangeKind::Ordinary
                });
            }
        }
        is_due(kind).then(|| StoredSummary { number, made_at_us, metrics: Metrics(bits.into()), changed })
    }

    /// Returns whether an urgent metric changed after the summary numbered `base`.
    pub fn is_urgent(&self, base: u64, payload: &impl Payload) -> bool {
        let mut changed = self.changed.iter().enumerate();
        changed.any(|(index, number)| *number > base && payload.is_urgent(index))
    }

    /// Returns the index and bits of each metric that changed after the summary numbered `base`,
    /// which the same slot must have made under the same token; 0 returns the whole summary.
    pub fn since(&self, base: u64) -> Vec<(usize, u32)> {
        let last = self.metrics.len().saturating_sub(1);
        // A whole summary omits metrics that are 0, except the last one, which gives the number of
        // metrics.
        let is_sent = |index: usize| match base {
            0 => self.metrics.0[index] != 0 || index == last,
            base => self.changed[index] > base,
        };
        let indices = (0..self.metrics.len()).filter(|index| is_sent(*index));
        indices.map(|index| (index, self.metrics.0[index])).collect()
    }

    /// Applies a delta to the stored summary, which must be the delta's base or a later one.
    /// Returns `None` if it is neither, so that the whole summary is needed.
    pub fn apply(
        before: Option<&StoredSummary>,
        made_at_us: i64,
        delta: &SummaryDelta,
    ) -> Option<StoredSummary> {
        let (number, size) = (delta.number, delta.changed.last().map_or(0, |(index, _)| index + 1));
        let (mut bits, mut changed) = match before {
            // A metric may have changed and changed back since the stored summary, so all count as
            // changed.
            _ if delta.base == 0 => (vec![0; size], vec![number; size]),
            Some(before) if before.number >= delta.base && size <= before.metrics.len() => {
                (before.metrics.0.to_vec(), before.changed.clone())
            }
            _ => return None,
        };
        for (index, metric) in &delta.changed {
            (bits[*index], changed[*index]) = (*metric, number);
        }
        Some(StoredSummary { number, made_at_us, metrics: Metrics(bits.into()), changed })
    }
}

/// The most urgent kind of change between a summary and the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeKind {
    Unchanged,
    Ordinary,
    /// A metric changed whose changes are passed on before those of other metrics.
    Urgent,
}
