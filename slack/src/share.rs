//! What one planner says of its askings and of the fleet, as plain figures.
use crate::{BANDS, FITS, LEFT, STEPS};

/// By band: cores asked for a second; cores that wait, by slack bucket; cores placed a second; how long it
/// took to placed, counts that fade. Then cores free on machines with at least so many free, and the cores
/// of all machines that are offered work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    pub offered: [f64; BANDS],
    pub waiting: [[f64; LEFT.len() + 1]; BANDS],
    pub placed: [f64; BANDS],
    pub times: [[f64; STEPS.len() + 1]; BANDS],
    pub room: [f64; FITS.len()],
    pub cores: f64,
}

impl Share {
    /// How many figures it is.
    pub const FIGURES: usize = BANDS * (2 + LEFT.len() + 1 + STEPS.len() + 1) + FITS.len() + 1;

    pub fn figures(&self) -> Vec<f64> {
        let mut all = Vec::with_capacity(Self::FIGURES);
        all.extend(self.offered);
        all.extend(self.waiting.as_flattened());
        all.extend(self.placed);
        all.extend(self.times.as_flattened());
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
        fill(share.waiting.as_flattened_mut());
        fill(&mut share.placed);
        fill(share.times.as_flattened_mut());
        fill(&mut share.room);
        share.cores = rest[0];
        Some(share)
    }

    /// Cores that wait in a band.
    pub fn waits(&self, band: usize) -> f64 {
        self.waiting[band].iter().sum()
    }

    /// Cores asked for a second, that wait, and placed a second, over all bands.
    pub(crate) fn totals(&self) -> [f64; 3] {
        let waiting = self.waiting.as_flattened().iter().sum();
        [self.offered.iter().sum(), waiting, self.placed.iter().sum()]
    }
}
