//! Draws the results as SVG: a panel for each figure over the size, readable on light and dark backgrounds.

use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};
use plotters::prelude::*;

use crate::report::{Report, format_short, medians};

/// Width and height of a panel, in pixels.
const PANEL_SIZE: (u32, u32) = (460, 300);
/// Number of panels in a row.
const PANELS_PER_ROW: usize = 2;
/// Color of text and axes, visible on white and on black; no background is painted.
const TEXT_COLOR: RGBColor = RGBColor(128, 128, 128);
/// Color of the samples and their medians.
const SAMPLE_COLOR: RGBColor = RGBColor(38, 139, 210);
/// Color of the fitted line.
const FIT_COLOR: RGBColor = RGBColor(203, 75, 22);

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw {name}: {reason}")]
pub struct PlotError {
    /// Name of the figure that failed, or `all`.
    pub name: String,
    /// The error of the drawing library.
    pub reason: String,
}

/// Draws all figures of a report, as SVG.
///
/// # Errors
/// If the drawing library fails.
pub fn svg(report: &Report) -> Result<String, PlotError> {
    let names: Vec<String> = report.names().into_iter().collect();
    let rows = names.len().div_ceil(PANELS_PER_ROW).max(1);
    let mut text = String::new();
    {
        let size = (PANEL_SIZE.0 * PANELS_PER_ROW as u32, PANEL_SIZE.1 * rows as u32);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        for (area, name) in root.split_evenly((rows, PANELS_PER_ROW)).iter().zip(&names) {
            draw_panel(area, report, name)
                .map_err(|error| PlotError { name: name.clone(), reason: error.to_string() })?;
        }
        root.present().map_err(|error| PlotError { name: "all".into(), reason: error.to_string() })?;
    }
    Ok(text)
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &Report,
    name: &str,
) -> DrawResult {
    let points = report.points(name);
    let largest = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MIN, f64::max);
    let smallest = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MAX, f64::min);
    let (left, right, top) = (smallest(|p| p.0), largest(|p| p.0), largest(|p| p.1).max(f64::MIN_POSITIVE));
    if points.is_empty() || right <= left {
        return draw_chart(area, report, name, left.min(1.0)..right.max(left + 1.0), 0.0..top * 1.1);
    }
    // Sizes are on a logarithmic scale, and so are values that span more than a factor of 3.
    let bottom = smallest(|p| p.1);
    match bottom > 0.0 && top / bottom > 3.0 {
        true => {
            draw_chart(area, report, name, (left..right).log_scale(), (bottom / 1.5..top * 1.5).log_scale())
        }
        false => draw_chart(area, report, name, (left..right).log_scale(), 0.0..top * 1.1),
    }
}

fn draw_chart<X, Y>(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &Report,
    name: &str,
    x: X,
    y: Y,
) -> DrawResult
where
    X: AsRangedCoord<Value = f64>,
    Y: AsRangedCoord<Value = f64>,
    X::CoordDescType: ValueFormatter<f64>,
    Y::CoordDescType: ValueFormatter<f64>,
{
    let points = report.points(name);
    let label_style = ("sans-serif", 12).into_font().color(&TEXT_COLOR);
    let mut chart = ChartBuilder::on(area)
        .caption(name, ("sans-serif", 14).into_font().color(&TEXT_COLOR))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(62)
        .build_cartesian_2d(x, y)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(TEXT_COLOR.mix(0.3))
        .axis_style(TEXT_COLOR)
        .label_style(label_style)
        .x_desc(&report.experiment.against)
        .x_label_formatter(&|size| format!("{size:.0}"))
        .y_label_formatter(&|value| format_short(*value))
        .x_labels(6)
        .y_labels(6)
        .draw()?;
    if let Some(fit) = report.fits.get(name) {
        let line = medians(&points).into_iter().map(|(size, _)| (size, fit.intercept + fit.slope * size));
        chart.draw_series(LineSeries::new(line.filter(|point| point.1 > 0.0), FIT_COLOR.stroke_width(1)))?;
    }
    chart.draw_series(LineSeries::new(medians(&points), SAMPLE_COLOR.stroke_width(2)))?;
    chart.draw_series(points.iter().map(|&point| Circle::new(point, 3, SAMPLE_COLOR.filled())))?;
    Ok(())
}
