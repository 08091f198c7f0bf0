//! Least squares: a line through the points, and a power law.

use serde::Serialize;

/// What a figure grows by: pure, from pairs of size and value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line's value at size 0.
    pub intercept: f64,
    /// By how much the line grows with each one more.
    pub slope: f64,
    /// The root mean square of what the line is off, as a part of the values' mean.
    pub residual: f64,
    /// The exponent of the power law; nothing where a size or value is not above 0.
    pub exponent: Option<f64>,
    /// The root mean square of what the logarithms of the values are off the power law: 0.1 is some 10%.
    pub exponent_residual: Option<f64>,
}

/// Fits both; nothing if the points lie at fewer than two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (intercept, slope, off) = line(points)?;
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / points.len() as f64;
    let residual = if mean == 0.0 { off } else { off / mean.abs() };
    let above = points.iter().all(|&(x, y)| x > 0.0 && y > 0.0);
    let logs: Vec<(f64, f64)> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let power = above.then(|| line(&logs)).flatten();
    Some(Fit {
        intercept,
        slope,
        residual,
        exponent: power.map(|(_, exponent, _)| exponent),
        exponent_residual: power.map(|(_, _, off)| off),
    })
}

/// The line's value at 0, its slope, and the root mean square of what it is off.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let n = points.len() as f64;
    let (mean_x, mean_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / n, y + point.1 / n));
    let (mut square, mut product) = (0.0, 0.0);
    for (x, y) in points {
        square += (x - mean_x).powi(2);
        product += (x - mean_x) * (y - mean_y);
    }
    if square == 0.0 || points.is_empty() {
        return None;
    }
    let slope = product / square;
    let intercept = mean_y - slope * mean_x;
    let off = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>() / n;
    Some((intercept, slope, off.sqrt()))
}
