use std::hint::black_box;

use super::{
    CostEffort, CostResult,
    batch_timer::nanos_per_call,
    process_usage::resident_bytes,
    sample_routes::{delta_of, service_route, snapshot_of, target_route},
};
use crate::{
    control::api::FeedReply,
    lab::LabError,
    route::{RouteChange, RouteTable},
};

const ROLE: &str = "balancer";
/// The numbers of services and targets that the design is meant for.
const SERVICES: usize = 12_000;
const TARGETS: usize = 100_000;
/// Changes per delta while the table is filled.
const CHANGES_PER_DELTA: usize = 500;

/// Measures the memory of the route table and the cost of its changes.
pub(super) fn measure_routes(effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
    let services = effort.size(SERVICES);
    let targets = effort.size(TARGETS);
    let mut results = Vec::new();
    let table = fill_table(services, targets, &mut results)?;
    measure_changes(&table, services, targets, effort, &mut results)?;
    drop(table);
    measure_snapshot(services, targets, effort, &mut results)?;
    Ok(results)
}

/// Fills a table in small deltas, so that little else remains on the heap.
fn fill_table(
    services: usize,
    targets: usize,
    results: &mut Vec<CostResult>,
) -> Result<RouteTable, LabError> {
    let mut table = RouteTable::new();
    let empty = resident_bytes()?;
    let set = |number| RouteChange::ServiceSet(service_route(number));
    apply_in_deltas(&mut table, services, set)?;
    let with_services = resident_bytes()?;
    let set = |index| RouteChange::TargetSet(target_route(index, index % services, 0));
    apply_in_deltas(&mut table, targets, set)?;
    let full = resident_bytes()?;
    let per_item = |bytes: u64, count: usize| bytes as f64 / count as f64;
    let result = |measure: String, figure, unit| CostResult::new(ROLE, measure, figure, unit);
    results.extend([
        result(
            "route table, memory per service".to_owned(),
            per_item(with_services.saturating_sub(empty), services),
            "bytes",
        ),
        result(
            "route table, memory per target".to_owned(),
            per_item(full.saturating_sub(with_services), targets),
            "bytes",
        ),
        result(
            format!("route table, memory of {services} services and {targets} targets"),
            full.saturating_sub(empty) as f64 / 1e6,
            "MB",
        ),
    ]);
    Ok(table)
}

fn apply_in_deltas(
    table: &mut RouteTable,
    count: usize,
    change: impl Fn(usize) -> RouteChange,
) -> Result<(), LabError> {
    for start in (0..count).step_by(CHANGES_PER_DELTA) {
        let end = count.min(start + CHANGES_PER_DELTA);
        let changes = (start..end).map(&change).collect();
        table.apply_delta(&delta_of(table.revision().count(), changes))?;
    }
    Ok(())
}

fn measure_changes(
    table: &RouteTable,
    services: usize,
    targets: usize,
    effort: CostEffort,
    results: &mut Vec<CostResult>,
) -> Result<(), LabError> {
    let before = resident_bytes()?;
    let mut next = table.clone();
    let nanos = nanos_per_call(effort.rounds(50_000).min(50), |round| {
        let index = round * 7 % targets;
        let change = target_route(index, index % services, round as u64 + 1);
        let delta = delta_of(
            next.revision().count(),
            vec![RouteChange::TargetSet(change)],
        );
        // A balancer keeps the old table for its packet path during the update.
        let mut copy = next.clone();
        copy.apply_delta(&delta)
            .expect("the delta follows the table");
        next = copy;
    });
    let after = resident_bytes()?;
    results.push(CostResult::new(
        ROLE,
        format!("one change applied to {targets} targets"),
        nanos / 1e3,
        "\u{b5}s",
    ));
    results.push(CostResult::new(
        ROLE,
        "memory added while a change is applied",
        after.saturating_sub(before) as f64 / 1e6,
        "MB",
    ));
    let reply = FeedReply::Delta(delta_of(
        1,
        vec![RouteChange::TargetSet(target_route(1, 1, 2))],
    ));
    let bytes = serde_json::to_vec(&reply)?.len();
    results.push(CostResult::new(
        "control",
        "one change of a target in the feed, beside call headers",
        bytes as f64,
        "bytes",
    ));
    Ok(())
}

fn measure_snapshot(
    services: usize,
    targets: usize,
    effort: CostEffort,
    results: &mut Vec<CostResult>,
) -> Result<(), LabError> {
    let snapshot = snapshot_of(services, targets);
    let reply = FeedReply::Snapshot(snapshot.clone());
    let text = serde_json::to_vec(&reply)?;
    results.push(CostResult::new(
        "control",
        format!("snapshot of {targets} targets in the feed"),
        text.len() as f64 / 1e6,
        "MB",
    ));
    let rounds = effort.rounds(3_000).min(3);
    let nanos = nanos_per_call(rounds, |_| {
        let reply: FeedReply = serde_json::from_slice(&text).expect("it was just written");
        black_box(reply);
    });
    results.push(CostResult::new(
        ROLE,
        "snapshot, read from the feed",
        nanos / 1e6,
        "ms",
    ));
    let mut copies: Vec<_> = (0..rounds * 5).map(|_| snapshot.clone()).collect();
    let nanos = nanos_per_call(rounds, |_| {
        let mut table = RouteTable::new();
        if let Some(copy) = copies.pop() {
            table.apply_snapshot(copy).expect("the table is empty");
        }
        black_box(&table);
    });
    results.push(CostResult::new(
        ROLE,
        "snapshot, applied",
        nanos / 1e6,
        "ms",
    ));
    Ok(())
}
