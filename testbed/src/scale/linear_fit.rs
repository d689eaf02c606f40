//! Fits a line through measured points.

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase per unit of the x axis.
    pub slope: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Root of the mean square of the distances from the line.
    pub residual: f64,
}

/// Fits a line through points. Returns `None` for fewer than two points, or if all have the same x.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let across: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || across <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / across;
    let intercept = mean_y - slope * mean_x;
    let left = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>() / count;
    Some(LinearFit { slope, intercept, residual: left.sqrt() })
}
