use std::path::Path;

use miette::Diagnostic;
use plotters::prelude::*;
use thiserror::Error;

use super::{CaseGroup, PolicyResult};
use crate::lab::model::{RelayRule, SystemProfile};

/// Why a plot could not be drawn.
#[derive(Debug, Error, Diagnostic)]
#[error("the plot {path} can't be drawn: {reason}")]
#[diagnostic(
    code(lab::plot),
    help("check that its folder exists and can be written")
)]
pub(crate) struct PlotError {
    path: String,
    reason: String,
}

/// The size of the plot in pixels.
const SIZE: (u32, u32) = (1_000, 700);
/// The rules in the order of their colours.
const COLOURS: [(RelayRule, RGBColor); 7] = [
    (RelayRule::Never, RGBColor(0x99, 0x99, 0x99)),
    (RelayRule::ShorterOfTwo, RGBColor(0xd5, 0x5e, 0x00)),
    (
        RelayRule::LateClaims {
            targets: 2,
            near: false,
        },
        RGBColor(0x56, 0xb4, 0xe9),
    ),
    (
        RelayRule::LateClaims {
            targets: 3,
            near: false,
        },
        RGBColor(0x00, 0x72, 0xb2),
    ),
    (
        RelayRule::LateClaims {
            targets: 4,
            near: false,
        },
        RGBColor(0x00, 0x9e, 0x73),
    ),
    (RelayRule::Stealing, RGBColor(0xe6, 0x9f, 0x00)),
    (RelayRule::CentralQueue, RGBColor(0x00, 0x00, 0x00)),
];

/// Draws the waits of the relay rules against the load, a panel a service.
pub(crate) fn draw_plot(path: &Path, results: &[PolicyResult]) -> Result<(), PlotError> {
    let failed = |error: &dyn std::fmt::Display| PlotError {
        path: path.display().to_string(),
        reason: error.to_string(),
    };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let systems = [
        SystemProfile::BargeControl,
        SystemProfile::Logbook,
        SystemProfile::Tavole,
        SystemProfile::Raccolta,
    ];
    for (panel, system) in area.split_evenly((2, 2)).iter().zip(systems) {
        draw_panel(panel, system, results).map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    system: SystemProfile,
    results: &[PolicyResult],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut chart = ChartBuilder::on(panel)
        .caption(system.name(), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(48_u32..97, (1.0..20_000.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("offered load, % of slots")
        .y_desc("wait p99, ms")
        .draw()?;
    for (relay, colour) in COLOURS {
        let points = relay_points(system, relay, results);
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)?
            .label(relay.label())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

fn relay_points(
    system: SystemProfile,
    relay: RelayRule,
    results: &[PolicyResult],
) -> Vec<(u32, f64)> {
    results
        .iter()
        .filter(|result| result.group == CaseGroup::Relay)
        .filter(|result| result.title == "steady")
        .map(|result| &result.report)
        .filter(|report| report.setup.system == system && report.setup.relay == relay)
        .map(|report| (report.setup.load_percent, report.wait_p99_millis.max(1.0)))
        .collect()
}
