//! A fit_line through what was measured.

/// Least squares: what a step along the axis adds, what is there without any, and the root of the mean
/// square of what the fit_line leaves over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// What a step along the axis adds.
    pub slope: f64,
    /// What is there without any.
    pub intercept: f64,
    /// The root of the mean square of what the line leaves over.
    pub residual: f64,
}

/// The fit_line through points that are not all at one place of the axis.
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
