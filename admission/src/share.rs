//! What one planner says of its askings and of the fleet, as plain figures.
use crate::{BANDS, FITS, STEPS};

/// By band: cores asked for a second, that wait, and placed a second. Then how long it took to placed, counts
/// that fade; cores free on machines with at least so many free; and the cores of all machines that are
/// offered work. No more than the line rests on: each figure that moves is told to all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    pub offered: [f64; BANDS],
    pub waiting: [f64; BANDS],
    pub placed: [f64; BANDS],
    pub times: [f64; STEPS.len() + 1],
    pub room: [f64; FITS.len()],
    pub cores: f64,
}

impl Share {
    /// How many figures it is.
    pub const FIGURES: usize = Self::SUMMED + FITS.len() + 1;
    /// The first so many are of what owners ask this planner alone, and are summed over planners; those behind
    /// are believed of the fleet that all see, and fused. The last one is above 0 where any machine is seen.
    pub const SUMMED: usize = BANDS * 3 + STEPS.len() + 1;

    pub fn figures(&self) -> Vec<f64> {
        let mut all = Vec::with_capacity(Self::FIGURES);
        all.extend(self.offered);
        all.extend(self.waiting);
        all.extend(self.placed);
        all.extend(self.times);
        all.extend(self.room);
        all.push(self.cores);
        all
    }

    /// Reads what another planner said; none where figures are missing, below nothing or not finite.
    pub fn read(figures: &[f64]) -> Option<Share> {
        if figures.len() < Self::FIGURES || figures.iter().any(|x| !x.is_finite() || *x < 0.0) {
            return None;
        }
        let mut share = Share::default();
        let mut rest = figures;
        let mut fill = |to: &mut [f64]| {
            let (now, later) = rest.split_at(to.len());
            to.copy_from_slice(now);
            rest = later;
        };
        fill(&mut share.offered);
        fill(&mut share.waiting);
        fill(&mut share.placed);
        fill(&mut share.times);
        fill(&mut share.room);
        share.cores = rest[0];
        Some(share)
    }

    /// Cores asked for a second, that wait, and placed a second, over all bands.
    pub(crate) fn totals(&self) -> [f64; 3] {
        [self.offered, self.waiting, self.placed].map(|by_band| by_band.iter().sum())
    }
}
