//! What is stored of a summary. Each metric has the number at which it last changed, or a later one: what
//! changed since any number is then known without keeping the summaries in between (compare van Renesse and
//! others, "Efficient reconciliation and flow control for anti-entropy protocols", 2008).
use crate::payload::{Metrics, Payload};
use crate::SummaryDelta;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StoredSummary {
    pub number: u64,
    /// It was made at this time or later.
    pub made_at_us: i64,
    pub metrics: Metrics,
    /// By metric, the number of the summary in which it last changed.
    changed: Vec<u64>,
}

impl StoredSummary {
    /// Of its maker: the first, or the next after `before`. None: `is_time` says that what changed does not
    /// make one due yet.
    pub fn next(
        before: Option<&StoredSummary>,
        made_at_us: i64,
        payload: &impl Payload,
        coarseness: u32,
        metrics: impl Iterator<Item = f32>,
        is_time: impl FnOnce(ChangeKind) -> bool,
    ) -> Option<StoredSummary> {
        let rounded = metrics.enumerate().map(|(index, metric)| payload.rounded(index, metric));
        let Some(before) = before else {
            let metrics: Metrics = rounded.collect();
            let changed = vec![1; metrics.len()];
            return Some(StoredSummary { number: 1, made_at_us, metrics, changed });
        };
        let number = before.number + 1;
        let (mut bits, mut changed) = (before.metrics.0.to_vec(), before.changed.clone());
        let mut kind = ChangeKind::Nothing;
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
        is_time(kind).then(|| StoredSummary { number, made_at_us, metrics: Metrics(bits.into()), changed })
    }

    /// Whether an urgent metric changed since this number.
    pub fn is_urgent(&self, base: u64, payload: &impl Payload) -> bool {
        let mut changed = self.changed.iter().enumerate();
        changed.any(|(index, number)| *number > base && payload.is_urgent(index))
    }

    /// Index and bits of the metrics that changed since this number of the same maker's, under the same token;
    /// 0: all of them.
    pub fn since(&self, base: u64) -> Vec<(usize, u32)> {
        let last = self.metrics.len().saturating_sub(1);
        // Of a whole, what is left out is 0; its last metric tells its size.
        let is_sent = |index: usize| match base {
            0 => self.metrics.0[index] != 0 || index == last,
            base => self.changed[index] > base,
        };
        let indices = (0..self.metrics.len()).filter(|index| is_sent(*index));
        indices.map(|index| (index, self.metrics.0[index])).collect()
    }

    /// A delta applies to its base or a later one, of which what is stored holds every change as well. None: it
    /// does not, and the whole is wanted.
    pub fn apply(
        before: Option<&StoredSummary>,
        made_at_us: i64,
        delta: &SummaryDelta,
    ) -> Option<StoredSummary> {
        let (number, size) = (delta.number, delta.changed.last().map_or(0, |(index, _)| index + 1));
        let (mut bits, mut changed) = match before {
            // A metric may have changed and changed back since what is stored: all count as changed now.
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

/// The weightiest change in a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeKind {
    Nothing,
    Ordinary,
    /// Of a metric that is passed on before others.
    Urgent,
}
