use std::path::Path;

use miette::Diagnostic;
use plotters::prelude::*;
use thiserror::Error;

use super::{CaseGroup, PolicyResult};
use crate::lab::model::{RelayRule, ServiceProfile};

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

/// The width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (1_000, 700);
/// The plotted rules and their colours.
const RULE_COLOURS: [(RelayRule, RGBColor); 7] = [
    (RelayRule::Never, RGBColor(0x99, 0x99, 0x99)),
    (RelayRule::ShorterOfTwo, RGBColor(0xd5, 0x5e, 0x00)),
    (
        RelayRule::LateClaims {
            targets: 2,
            own_domain_first: false,
        },
        RGBColor(0x56, 0xb4, 0xe9),
    ),
    (
        RelayRule::LateClaims {
            targets: 3,
            own_domain_first: false,
        },
        RGBColor(0x00, 0x72, 0xb2),
    ),
    (
        RelayRule::LateClaims {
            targets: 4,
            own_domain_first: false,
        },
        RGBColor(0x00, 0x9e, 0x73),
    ),
    (RelayRule::Stealing, RGBColor(0xe6, 0x9f, 0x00)),
    (RelayRule::CentralQueue, RGBColor(0x00, 0x00, 0x00)),
];

/// Draws the p99 waits over the load into an SVG file.
///
/// There is one panel per service, with one line per relay rule.
pub(crate) fn draw_plot(path: &Path, results: &[PolicyResult]) -> Result<(), PlotError> {
    let plot_error = |error: &dyn std::fmt::Display| PlotError {
        path: path.display().to_string(),
        reason: error.to_string(),
    };
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let systems = [
        ServiceProfile::BargeControl,
        ServiceProfile::Logbook,
        ServiceProfile::Tavole,
        ServiceProfile::Raccolta,
    ];
    for (panel, service) in area.split_evenly((2, 2)).iter().zip(systems) {
        draw_panel(panel, service, results).map_err(|error| plot_error(&error))?;
    }
    area.present().map_err(|error| plot_error(&error))
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    service: ServiceProfile,
    results: &[PolicyResult],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut chart = ChartBuilder::on(panel)
        .caption(service.name(), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(48_u32..97, (1.0..20_000.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("offered load, % of slots")
        .y_desc("wait p99, ms")
        .draw()?;
    for (relay, colour) in RULE_COLOURS {
        let points = relay_points(service, relay, results);
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
    service: ServiceProfile,
    relay: RelayRule,
    results: &[PolicyResult],
) -> Vec<(u32, f64)> {
    results
        .iter()
        .filter(|result| result.group == CaseGroup::Relay)
        .filter(|result| result.title == "steady")
        .map(|result| &result.report)
        .filter(|report| report.setup.service == service && report.setup.relay == relay)
        .map(|report| (report.setup.load_percent, report.wait_p99_millis.max(1.0)))
        .collect()
}
