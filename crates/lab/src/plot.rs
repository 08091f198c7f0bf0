//! The results as a picture: a panel for each figure, by size, readable on light and on dark.

use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};
use plotters::prelude::*;

use crate::report::{Report, medians, short};

/// A panel's size in pixels, and how many stand beside each other.
const PANEL: (u32, u32) = (460, 300);
const ABREAST: usize = 2;
/// Words and lines that show on white and on black; no ground is painted.
const INK: RGBColor = RGBColor(128, 128, 128);
const LINE: RGBColor = RGBColor(38, 139, 210);
const FITTED: RGBColor = RGBColor(203, 75, 22);

/// Why there is no picture.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw {name}: {why}")]
pub struct PlotError {
    /// The figure.
    pub name: String,
    /// Why.
    pub why: String,
}

/// Draws all figures of a report, as SVG.
///
/// # Errors
/// If the drawing library refuses.
pub fn svg(report: &Report) -> Result<String, PlotError> {
    let names: Vec<String> = report.names().into_iter().collect();
    let rows = names.len().div_ceil(ABREAST).max(1);
    let mut text = String::new();
    {
        let size = (PANEL.0 * ABREAST as u32, PANEL.1 * rows as u32);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        for (area, name) in root.split_evenly((rows, ABREAST)).iter().zip(&names) {
            panel(area, report, name)
                .map_err(|error| PlotError { name: name.clone(), why: error.to_string() })?;
        }
        root.present().map_err(|error| PlotError { name: "all".into(), why: error.to_string() })?;
    }
    Ok(text)
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn panel(area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>, report: &Report, name: &str) -> Drawn {
    let points = report.points(name);
    let largest = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MIN, f64::max);
    let smallest = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MAX, f64::min);
    let (left, right, top) = (smallest(|p| p.0), largest(|p| p.0), largest(|p| p.1).max(f64::MIN_POSITIVE));
    if points.is_empty() || right <= left {
        return draw(area, report, name, left.min(1.0)..right.max(left + 1.0), 0.0..top * 1.1);
    }
    // Sizes and values that span much are read on logarithmic scales.
    let bottom = smallest(|p| p.1);
    match bottom > 0.0 && top / bottom > 3.0 {
        true => draw(area, report, name, (left..right).log_scale(), (bottom / 1.5..top * 1.5).log_scale()),
        false => draw(area, report, name, (left..right).log_scale(), 0.0..top * 1.1),
    }
}

fn draw<X, Y>(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &Report,
    name: &str,
    x: X,
    y: Y,
) -> Drawn
where
    X: AsRangedCoord<Value = f64>,
    Y: AsRangedCoord<Value = f64>,
    X::CoordDescType: ValueFormatter<f64>,
    Y::CoordDescType: ValueFormatter<f64>,
{
    let points = report.points(name);
    let words = ("sans-serif", 12).into_font().color(&INK);
    let mut chart = ChartBuilder::on(area)
        .caption(name, ("sans-serif", 14).into_font().color(&INK))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(62)
        .build_cartesian_2d(x, y)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(INK.mix(0.3))
        .axis_style(INK)
        .label_style(words)
        .x_desc(&report.experiment.against)
        .x_label_formatter(&|size| format!("{size:.0}"))
        .y_label_formatter(&|value| short(*value))
        .x_labels(6)
        .y_labels(6)
        .draw()?;
    if let Some(fit) = report.fits.get(name) {
        let line = medians(&points).into_iter().map(|(size, _)| (size, fit.intercept + fit.slope * size));
        chart.draw_series(LineSeries::new(line.filter(|point| point.1 > 0.0), FITTED.stroke_width(1)))?;
    }
    chart.draw_series(LineSeries::new(medians(&points), LINE.stroke_width(2)))?;
    chart.draw_series(points.iter().map(|&point| Circle::new(point, 3, LINE.filled())))?;
    Ok(())
}
