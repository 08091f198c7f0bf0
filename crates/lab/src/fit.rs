//! Least-squares fits of a line and of a power law.

use serde::Serialize;

/// How a figure grows with the size: a line and a power law, fitted to pairs of size and value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line's value at size 0.
    pub intercept: f64,
    /// Growth of the line per unit of size.
    pub slope: f64,
    /// Root mean square of the deviations from the line, as a fraction of the mean of the values.
    pub residual: f64,
    /// Exponent of the power law; `None` if a size or a value is not above 0.
    pub exponent: Option<f64>,
    /// Root mean square of the deviations of the values' logarithms from the power law: 0.1 is about 10%.
    pub exponent_residual: Option<f64>,
}

/// Fits both; `None` if the points have fewer than two different sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (intercept, slope, deviation) = fit_line(points)?;
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / points.len() as f64;
    let residual = if mean == 0.0 { deviation } else { deviation / mean.abs() };
    let all_positive = points.iter().all(|&(x, y)| x > 0.0 && y > 0.0);
    let logs: Vec<(f64, f64)> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let power = all_positive.then(|| fit_line(&logs)).flatten();
    Some(Fit {
        intercept,
        slope,
        residual,
        exponent: power.map(|(_, exponent, _)| exponent),
        exponent_residual: power.map(|(_, _, deviation)| deviation),
    })
}

/// Fits a line. Returns its value at 0, its slope, and the root mean square of the deviations from it; `None` if the
/// points have fewer than two different sizes.
fn fit_line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let n = points.len() as f64;
    let (mean_x, mean_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / n, y + point.1 / n));
    let (mut sum_xx, mut sum_xy) = (0.0, 0.0);
    for (x, y) in points {
        sum_xx += (x - mean_x).powi(2);
        sum_xy += (x - mean_x) * (y - mean_y);
    }
    if sum_xx == 0.0 || points.is_empty() {
        return None;
    }
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let mean_square = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>() / n;
    Some((intercept, slope, mean_square.sqrt()))
}
