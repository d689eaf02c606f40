//! What is held of a summary. Each figure has the number at which it last changed, or a later one: what
//! changed since any number is then known without keeping the texts in between (compare van Renesse and
//! others, "Efficient reconciliation and flow control for anti-entropy protocols", 2008).
use crate::payload::{Metrics, Payload};
use crate::SummaryDelta;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StoredSummary {
    pub number: u64,
    /// It was made at this time or later.
    pub made_at: i64,
    pub figures: Metrics,
    /// By figure.
    changed: Vec<u64>,
}

impl StoredSummary {
    /// Of its maker: the first, or the next after `before`. None: nothing in it moved enough to matter, and
    /// the lease is not over.
    pub fn next(
        before: Option<&StoredSummary>,
        made_at: i64,
        kinds: &impl Payload,
        coarse: u32,
        figures: impl Iterator<Item = f32>,
        renew: impl FnOnce(ChangeKind) -> bool,
    ) -> Option<StoredSummary> {
        let Some(b) = before else {
            let figures: Metrics = figures.enumerate().map(|(n, x)| kinds.rounded(n, x)).collect();
            let changed = vec![1; figures.len()];
            return Some(StoredSummary { number: 1, made_at, figures, changed });
        };
        let number = b.number + 1;
        let (mut bits, mut changed) = (b.figures.0.to_vec(), b.changed.clone());
        let mut moved = ChangeKind::Nothing;
        for (n, is) in figures.enumerate().take(bits.len()) {
            let is = kinds.rounded(n, is);
            if kinds.is_significant(n, f32::from_bits(bits[n]), is, coarse) {
                (bits[n], changed[n]) = (is.to_bits(), number);
                moved = moved.max(if kinds.is_urgent(n) { ChangeKind::First } else { ChangeKind::Some });
            }
        }
        renew(moved).then(|| StoredSummary { number, made_at, figures: Metrics(bits.into()), changed })
    }

    /// Whether some of what changed since this number goes first.
    pub fn is_first(&self, base: u64, kinds: &impl Payload) -> bool {
        self.changed.iter().enumerate().any(|(n, changed)| *changed > base && kinds.is_urgent(n))
    }

    /// What changed since this number of the same maker's, under the same token; 0: all of it.
    pub fn since(&self, base: u64) -> Vec<(usize, u32)> {
        let last = self.figures.len().saturating_sub(1);
        // Of a whole, what is not told is 0; its last figure tells its size.
        let tells =
            |n: usize| if base == 0 { self.figures.0[n] != 0 || n == last } else { self.changed[n] > base };
        (0..self.figures.len()).filter(|n| tells(*n)).map(|n| (n, self.figures.0[n])).collect()
    }

    /// What was told applies to what is held: to the very number it was made against or a later one, of which
    /// it holds every change as well. None: it does not, and the whole is wanted.
    pub fn take(before: Option<&StoredSummary>, made_at: i64, told: &SummaryDelta) -> Option<StoredSummary> {
        let (number, size) = (told.number, told.changed.last().map_or(0, |c| c.0 + 1));
        let (mut bits, mut changed) = match before {
            // A figure may have changed and changed back since what is held: all count as changed now.
            _ if told.base == 0 => (vec![0; size], vec![number; size]),
            Some(b) if b.number >= told.base && size <= b.figures.len() => {
                (b.figures.0.to_vec(), b.changed.clone())
            }
            _ => return None,
        };
        for (n, figure) in &told.changed {
            (bits[*n], changed[*n]) = (*figure, number);
        }
        Some(StoredSummary { number, made_at, figures: Metrics(bits.into()), changed })
    }
}

/// What moved in a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeKind {
    Nothing,
    Some,
    First,
}
