use std::fmt::{self, Write};

use super::{CaseGroup, PolicyResult};
use crate::lab::model::{RelayRule, RunReport};

/// Writes the results as Markdown tables, one for each group.
pub(crate) fn write_tables(results: &[PolicyResult]) -> Result<String, fmt::Error> {
    let mut text = String::new();
    for group in CaseGroup::ALL {
        let rows: Vec<&PolicyResult> = results.iter().filter(|it| it.group == group).collect();
        if rows.is_empty() {
            continue;
        }
        writeln!(text, "### {}\n", group.heading())?;
        match group {
            CaseGroup::Failure => write_failure_table(&mut text, &rows)?,
            CaseGroup::Relay | CaseGroup::Accept | CaseGroup::Messages | CaseGroup::Change => {
                write_wait_table(&mut text, &rows, results)?;
            }
        }
        writeln!(text)?;
    }
    Ok(text)
}

fn write_wait_table(
    text: &mut String,
    rows: &[&PolicyResult],
    results: &[PolicyResult],
) -> fmt::Result {
    writeln!(
        text,
        "| Service | Case | Load | Accepting | Relay | Wait p50, ms | Wait p99, ms | To bound \
         | Urgent p99, ms | Busiest to mean | Connections to mean | Not run | Messages a request |"
    )?;
    writeln!(
        text,
        "|---|---|--:|---|---|--:|--:|--:|--:|--:|--:|--:|--:|"
    )?;
    for row in rows {
        let report = &row.report;
        let bound = find_bound(row, results).map_or_else(
            || "-".to_owned(),
            |bound| ratio(report.wait_p99_millis, bound.wait_p99_millis),
        );
        writeln!(
            text,
            "| {} | {} | {}% | {} | {} | {:.1} | {:.1} | {bound} | {:.1} | {:.2} | {:.2} | {} | {:.1} |",
            report.setup.service.name(),
            row.title,
            report.setup.load_percent,
            report.setup.accept.label(),
            report.setup.relay.label(),
            report.wait_p50_millis,
            report.wait_p99_millis,
            report.urgent_p99_millis,
            report.busiest_to_mean,
            report.connections_to_mean,
            report.refused + report.expired,
            report.messages_per_request,
        )?;
    }
    Ok(())
}

fn write_failure_table(text: &mut String, rows: &[&PolicyResult]) -> fmt::Result {
    writeln!(
        text,
        "| Service | Case | Requests | Wait p99, ms | A minute after, ms | Urgent p99, ms | Refused | Expired | Withdrawn | Unknown \
         | Resent | Slot time wasted | Broken flows | Moved flows | Busiest to mean |"
    )?;
    writeln!(
        text,
        "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"
    )?;
    for row in rows {
        let report = &row.report;
        writeln!(
            text,
            "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {:.1}% | {} | {} | {:.2} |",
            report.setup.service.name(),
            row.title,
            report.arrived,
            report.wait_p99_millis,
            report.settled_p99_millis,
            report.urgent_p99_millis,
            report.refused,
            report.expired,
            report.withdrawn,
            report.unknown,
            report.resent,
            report.wasted_share * 100.0,
            report.broken,
            report.moved,
            report.busiest_to_mean,
        )?;
    }
    Ok(())
}

/// Finds the result of the central queue for the same service, load, faults and bulk
/// service time.
fn find_bound<'a>(row: &PolicyResult, results: &'a [PolicyResult]) -> Option<&'a RunReport> {
    let setup = &row.report.setup;
    results.iter().map(|it| &it.report).find(|report| {
        report.setup.relay == RelayRule::CentralQueue
            && report.setup.service == setup.service
            && report.setup.load_percent == setup.load_percent
            && report.setup.faults == setup.faults
            && report.setup.bulk_service_time == setup.bulk_service_time
    })
}

fn ratio(value: f64, bound: f64) -> String {
    if bound < 1.0 {
        format!("+{value:.1} ms")
    } else {
        format!("{:.2}", value / bound)
    }
}
