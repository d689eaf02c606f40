//! A fit_line through what was measured.

/// Least squares: what a step along the axis adds, what is there without any, and the root of the mean
/// square of what the fit_line leaves over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    pub slope: f64,
    pub intercept: f64,
    pub residual: f64,
}

/// The fit_line through points that are not all at one place of the axis.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let n = points.len() as f64;
    let (mx, my) = (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let across: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    if points.len() < 2 || across <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / across;
    let intercept = my - slope * mx;
    let left = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>() / n;
    Some(LinearFit { slope, intercept, residual: left.sqrt() })
}
