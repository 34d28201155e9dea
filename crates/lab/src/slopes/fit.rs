//! Linear regression.

use serde::Serialize;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of the cell.
    pub x: f64,
    /// Value at that size.
    pub y: f64,
}

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Slope of the line.
    pub slope: f64,
    /// Standard error of the slope; `None` for two points, which determine the line exactly.
    pub spread: Option<f64>,
    /// Value at `x` = 0.
    pub intercept: f64,
}

/// Fits a line by least squares.
///
/// Returns `None` if there are fewer than two distinct sizes.
///
/// # Examples
///
/// ```
/// use kspan_lab::slopes::fit::{Point, fit};
///
/// let points = [1.0, 2.0, 4.0].map(|x| Point { x, y: 3.0 + 0.5 * x });
/// let line = fit(&points).unwrap();
/// assert!((line.slope - 0.5).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
/// ```
pub fn fit(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    if points.len() < 2 || squares <= 0.0 {
        return None;
    }
    let products: f64 = points
        .iter()
        .map(|point| (point.x - mean_x) * (point.y - mean_y))
        .sum();
    let slope = products / squares;
    let intercept = mean_y - slope * mean_x;
    let residual = |point: &Point| (point.y - intercept - slope * point.x).powi(2);
    let residuals: f64 = points.iter().map(residual).sum();
    let spread = (points.len() > 2).then(|| (residuals / (count - 2.0) / squares).sqrt());
    Some(Line {
        slope,
        spread,
        intercept,
    })
}
