//! Plots the time to detect a crashed member over the size of the fleet, with the published bounds.

use std::error::Error;
use std::path::Path;

use asterdale_simulator::membership::{published_bounds, PublishedBounds, Report};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Size of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 560);
/// Space above the highest bound, as a factor of it.
const HEADROOM: f64 = 1.3;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<LogCoord<f64>, RangedCoordf64>>;
/// A point of the chart: number of members, seconds.
type Point = (f64, f64);

/// Writes the plot into an SVG file. Writes nothing if there are no reports.
///
/// # Errors
/// The file cannot be written.
pub fn plot_detection(file: &Path, reports: &[Report]) -> Result<(), Box<dyn Error>> {
    let mut sizes: Vec<usize> = reports.iter().map(|report| report.members).collect();
    sizes.sort_unstable();
    sizes.dedup();
    let (Some(&smallest), Some(&largest)) = (sizes.first(), sizes.last()) else {
        return Ok(());
    };
    let area = SVGBackend::new(file, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = build_chart(&area, smallest, largest)?;
    draw_bounds(&mut chart, &sizes)?;
    draw_reports(&mut chart, reports)?;
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn build_chart<'a, 'b>(
    area: &'a Area<'b>,
    smallest: usize,
    largest: usize,
) -> Result<Chart<'a, 'b>, Box<dyn Error>>
where
    'b: 'a,
{
    let highest_s = published_bounds(largest).latest_detection_ms / 1e3 * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Seconds until a crashed member is declared dead",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(
            (smallest as f64 * 0.8..largest as f64 * 1.25).log_scale(),
            0.0..highest_s,
        )?;
    chart
        .configure_mesh()
        .x_desc("members")
        .y_desc("seconds")
        .draw()?;
    Ok(chart)
}

fn draw_bounds(chart: &mut Chart<'_, '_>, sizes: &[usize]) -> Result<(), Box<dyn Error>> {
    let line = |bound_ms: &dyn Fn(&PublishedBounds) -> f64| -> Vec<Point> {
        sizes
            .iter()
            .map(|&members| (members as f64, bound_ms(&published_bounds(members)) / 1e3))
            .collect()
    };
    let earliest = line(&|bounds| bounds.earliest_detection_ms);
    chart
        .draw_series(LineSeries::new(earliest, &BLUE))?
        .label("bound, suspicion confirmed at once")
        .legend(|(left, top)| PathElement::new([(left, top), (left + 20, top)], BLUE));
    let latest = line(&|bounds| bounds.latest_detection_ms + bounds.dissemination_ms);
    chart
        .draw_series(LineSeries::new(latest, &RED))?
        .label("bound, suspicion never confirmed, with dissemination")
        .legend(|(left, top)| PathElement::new([(left, top), (left + 20, top)], RED));
    Ok(())
}

fn draw_reports(chart: &mut Chart<'_, '_>, reports: &[Report]) -> Result<(), Box<dyn Error>> {
    let points = |detection_ms: &dyn Fn(&Report) -> Option<f64>| -> Vec<Point> {
        reports
            .iter()
            .filter_map(|report| Some((report.members as f64, detection_ms(report)? / 1e3)))
            .collect()
    };
    let first = points(&|report| report.first_detection_ms).into_iter();
    chart
        .draw_series(first.map(|point| Circle::new(point, 3, BLACK.filled())))?
        .label("first member to declare it dead")
        .legend(|(left, top)| Circle::new((left + 10, top), 3, BLACK.filled()));
    let all = points(&|report| report.full_detection_ms).into_iter();
    chart
        .draw_series(all.map(|point| TriangleMarker::new(point, 5, GREEN.filled())))?
        .label("all members")
        .legend(|(left, top)| TriangleMarker::new((left + 10, top), 5, GREEN.filled()));
    Ok(())
}
