use std::hint::black_box;

use super::{
    CostEffort, CostResult,
    batch_timer::nanos_per_call,
    process_usage::resident_bytes,
    sample_routes::{service_route, target_route},
};
use crate::{
    clock::ClockMillis,
    control::{
        api::{AnnounceRequest, HeartbeatRequest},
        feed::{FeedAnswer, FeedScope, FeedState},
        lease::{LeaseHolder, LeaseTable},
        state::ControlCommand,
    },
    key::FeedRevision,
    lab::LabError,
    manifest::Manifest,
    route::TargetRoute,
};

const ROLE: &str = "control";
/// The numbers of services and targets that the design is meant for.
const SERVICES: usize = 12_000;
const TARGETS: usize = 100_000;
/// The changes that a watcher missed before its catch-up.
const MISSED_CHANGES: u64 = 500;

/// Measures a replica's state, feed and leases.
pub(super) fn measure_control(effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
    let services = effort.size(SERVICES);
    let targets = effort.size(TARGETS);
    let before = resident_bytes()?;
    let mut results = Vec::new();
    let mut state = FeedState::new();
    apply_manifest(&mut state, services, &mut results)?;
    let mut nanos = Vec::new();
    for index in 0..targets {
        let command = announce(&target_route(index, index % services, 0)).encode()?;
        let start = std::time::Instant::now();
        black_box(state.apply(&command));
        nanos.push(start.elapsed().as_nanos() as f64);
    }
    nanos.sort_by(f64::total_cmp);
    let result = |measure: String, figure, unit| CostResult::new(ROLE, measure, figure, unit);
    results.push(result(
        format!("registration applied, median up to {targets} targets"),
        nanos[nanos.len() / 2] / 1e3,
        "\u{b5}s",
    ));
    let command = announce(&target_route(1, 1, 0)).encode()?;
    results.push(result(
        "registration in the log".to_owned(),
        command.len() as f64,
        "bytes",
    ));
    let after = resident_bytes()?;
    results.push(result(
        format!("state of {services} services and {targets} targets, memory"),
        after.saturating_sub(before) as f64 / 1e6,
        "MB",
    ));
    results.push(result(
        format!("snapshot of {targets} targets on disk"),
        state.snapshot()?.len() as f64 / 1e6,
        "MB",
    ));
    measure_feed(&mut state, services, targets, effort, &mut results)?;
    measure_leases(services, targets, effort, &mut results)?;
    Ok(results)
}

fn apply_manifest(
    state: &mut FeedState,
    services: usize,
    results: &mut Vec<CostResult>,
) -> Result<(), LabError> {
    let specs = |range: std::ops::Range<usize>| range.map(|it| service_route(it).spec).collect();
    let mut manifest = Manifest {
        version: 1,
        replaces: 0,
        services: specs(1..services + 1),
    };
    let text = serde_json::to_vec(&manifest)?;
    let first = ControlCommand::Apply(manifest.clone()).encode()?;
    black_box(state.apply(&first));
    manifest.version = 2;
    manifest.replaces = 1;
    manifest.services[0].retry_percent = 11;
    let second = ControlCommand::Apply(manifest).encode()?;
    let start = std::time::Instant::now();
    let step = state.apply(&second);
    let elapsed = start.elapsed();
    let result = |measure: String, figure, unit| CostResult::new(ROLE, measure, figure, unit);
    results.extend([
        result(
            format!("manifest of {services} services, as sent"),
            text.len() as f64 / 1e6,
            "MB",
        ),
        result(
            format!("manifest of {services} services, in the log"),
            second.len() as f64 / 1e6,
            "MB",
        ),
        result(
            format!("manifest of {services} services, one of them changed, applied"),
            elapsed.as_secs_f64() * 1e3,
            "ms",
        ),
        result(
            "feed changes of one changed service".to_owned(),
            step.changes.len() as f64,
            "changes",
        ),
    ]);
    Ok(())
}

fn measure_feed(
    state: &mut FeedState,
    services: usize,
    targets: usize,
    effort: CostEffort,
    results: &mut Vec<CostResult>,
) -> Result<(), LabError> {
    let apply_missed = |state: &mut FeedState, count: u64| -> Result<FeedRevision, LabError> {
        let from = state.state().revision();
        for round in 0..count {
            let index = round as usize * 13 % targets;
            let run = from.count() + round;
            let command = announce(&target_route(index, index % services, run)).encode()?;
            black_box(state.apply(&command));
        }
        Ok(from)
    };
    let result = |measure: &str, figure, unit| CostResult::new(ROLE, measure, figure, unit);
    let rounds = effort.rounds(50_000).min(50);
    let mut bytes = 0;
    let mut nanos = f64::INFINITY;
    for _ in 0..rounds {
        let from = apply_missed(state, 1)?;
        let start = std::time::Instant::now();
        bytes = reply_bytes(state, from);
        nanos = nanos.min(start.elapsed().as_nanos() as f64);
    }
    results.push(result("feed reply with one change", bytes as f64, "bytes"));
    results.push(result(
        "feed reply with one change, built",
        nanos / 1e3,
        "\u{b5}s",
    ));
    let from = state.state().revision();
    let empty_nanos = nanos_per_call(rounds, |_| {
        black_box(state.answer(FeedScope::All, from));
    });
    results.push(result("feed reply without a change", empty_nanos, "ns"));
    let from = apply_missed(state, MISSED_CHANGES)?;
    let start = std::time::Instant::now();
    let (bytes, calls) = catch_up(state, from);
    let elapsed = start.elapsed();
    let measure = |what: &str| format!("catch-up after {MISSED_CHANGES} missed changes, {what}");
    results.extend([
        CostResult::new(ROLE, measure("sent"), bytes as f64 / 1e3, "kB"),
        CostResult::new(ROLE, measure("calls"), calls as f64, "calls"),
        CostResult::new(ROLE, measure("built"), elapsed.as_secs_f64() * 1e3, "ms"),
    ]);
    Ok(())
}

fn reply_bytes(state: &mut FeedState, from: FeedRevision) -> usize {
    match state.answer(FeedScope::All, from) {
        FeedAnswer::Update(reply) => reply.bytes(),
        FeedAnswer::Unchanged(_) | FeedAnswer::Behind => 0,
    }
}

/// Polls the feed until it is up to date; returns the bytes and the number of calls.
fn catch_up(state: &mut FeedState, from: FeedRevision) -> (usize, usize) {
    let (mut from, mut bytes, mut calls) = (from, 0, 0);
    while let FeedAnswer::Update(reply) = state.answer(FeedScope::All, from) {
        bytes += reply.bytes();
        calls += 1;
        match serde_json::from_str(reply.text.get()) {
            Ok(crate::control::api::FeedReply::Delta(delta)) => from = delta.revision,
            _ => break,
        }
    }
    (bytes, calls)
}

fn measure_leases(
    services: usize,
    targets: usize,
    effort: CostEffort,
    results: &mut Vec<CostResult>,
) -> Result<(), LabError> {
    let holders: Vec<LeaseHolder> = (0..targets)
        .map(|index| target_route(index, index % services, 0))
        .map(|route| LeaseHolder {
            target: route.key,
            incarnation: route.incarnation,
            service: route.service,
        })
        .collect();
    let before = resident_bytes()?;
    let mut table = LeaseTable::default();
    for holder in &holders {
        table.grant(*holder, ClockMillis::ORIGIN);
    }
    let after = resident_bytes()?;
    let nanos = nanos_per_call(effort.rounds(200_000), |round| {
        let holder = &holders[round * 7 % targets];
        let now = ClockMillis::new(round as u64 / 100);
        black_box(table.renew(holder.target, holder.incarnation, now));
    });
    let request = HeartbeatRequest {
        target: holders[0].target,
        incarnation: holders[0].incarnation,
    };
    let result = |measure: &str, figure, unit| CostResult::new(ROLE, measure, figure, unit);
    results.extend([
        result("lease renewed in the table", nanos, "ns"),
        result(
            "lease, memory",
            after.saturating_sub(before) as f64 / targets as f64,
            "bytes",
        ),
        result(
            "heartbeat, body of the call",
            serde_json::to_vec(&request)?.len() as f64,
            "bytes",
        ),
    ]);
    Ok(())
}

fn announce(route: &TargetRoute) -> ControlCommand {
    ControlCommand::Announce(AnnounceRequest {
        service: format!("service-{}", route.service.number() + 1),
        target: route.key,
        incarnation: route.incarnation,
        domain: route.domain.clone(),
        peer_address: route.peer_address,
        weight: route.weight,
        phase: route.phase,
    })
}
