use std::hint::black_box;

use super::{
    CostEffort, CostLine,
    process_usage::resident_bytes,
    sample_routes::{service_route, target_route},
    stop_watch::nanos_each,
};
use crate::{
    clock::ClockMillis,
    control::{
        api::{AnnounceRequest, HeartbeatRequest},
        feed::{FeedAnswer, FeedScope, ReplicaState},
        lease::{LeaseClaim, LeaseTable},
        state::ControlCommand,
    },
    key::FeedRevision,
    lab::LabError,
    manifest::Manifest,
    route::TargetRoute,
};

const ROLE: &str = "control";
/// The services and targets that the design is for.
const SERVICES: usize = 12_000;
const TARGETS: usize = 100_000;
/// Changes that passed a watcher by.
const MISSED: u64 = 500;

/// Measures what a replica stores and what each change costs it.
pub(super) fn measure_control(effort: CostEffort) -> Result<Vec<CostLine>, LabError> {
    let services = effort.size(SERVICES);
    let targets = effort.size(TARGETS);
    let before = resident_bytes()?;
    let mut lines = Vec::new();
    let mut state = ReplicaState::new();
    apply_manifest(&mut state, services, &mut lines)?;
    let mut nanos = Vec::new();
    for index in 0..targets {
        let command = announce(&target_route(index, index % services, 0)).encode()?;
        let start = std::time::Instant::now();
        black_box(state.apply(&command));
        nanos.push(start.elapsed().as_nanos() as f64);
    }
    nanos.sort_by(f64::total_cmp);
    let line = |measure: String, figure, unit| CostLine::new(ROLE, measure, figure, unit);
    lines.push(line(
        format!("registration applied, median up to {targets} targets"),
        nanos[nanos.len() / 2] / 1e3,
        "\u{b5}s",
    ));
    let command = announce(&target_route(1, 1, 0)).encode()?;
    lines.push(line(
        "registration in the log".to_owned(),
        command.len() as f64,
        "bytes",
    ));
    let after = resident_bytes()?;
    lines.push(line(
        format!("state of {services} services and {targets} targets, memory"),
        after.saturating_sub(before) as f64 / 1e6,
        "MB",
    ));
    lines.push(line(
        format!("snapshot of {targets} targets on disk"),
        state.snapshot()?.len() as f64 / 1e6,
        "MB",
    ));
    measure_feed(&mut state, services, targets, effort, &mut lines)?;
    measure_leases(services, targets, effort, &mut lines)?;
    Ok(lines)
}

fn apply_manifest(
    state: &mut ReplicaState,
    services: usize,
    lines: &mut Vec<CostLine>,
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
    let line = |measure: String, figure, unit| CostLine::new(ROLE, measure, figure, unit);
    lines.extend([
        line(
            format!("manifest of {services} services, as sent"),
            text.len() as f64 / 1e6,
            "MB",
        ),
        line(
            format!("manifest of {services} services, in the log"),
            second.len() as f64 / 1e6,
            "MB",
        ),
        line(
            format!("manifest of {services} services, one of them changed, applied"),
            elapsed.as_secs_f64() * 1e3,
            "ms",
        ),
        line(
            "feed changes of one changed service".to_owned(),
            step.changes.len() as f64,
            "changes",
        ),
    ]);
    Ok(())
}

fn measure_feed(
    state: &mut ReplicaState,
    services: usize,
    targets: usize,
    effort: CostEffort,
    lines: &mut Vec<CostLine>,
) -> Result<(), LabError> {
    let missed = |state: &mut ReplicaState, count: u64| -> Result<FeedRevision, LabError> {
        let from = state.state().revision();
        for round in 0..count {
            let index = round as usize * 13 % targets;
            let run = from.count() + round;
            let command = announce(&target_route(index, index % services, run)).encode()?;
            black_box(state.apply(&command));
        }
        Ok(from)
    };
    let line = |measure: &str, figure, unit| CostLine::new(ROLE, measure, figure, unit);
    let rounds = effort.rounds(50_000).min(50);
    let mut bytes = 0;
    let mut nanos = f64::INFINITY;
    for _ in 0..rounds {
        let from = missed(state, 1)?;
        let start = std::time::Instant::now();
        bytes = answer_bytes(state, from);
        nanos = nanos.min(start.elapsed().as_nanos() as f64);
    }
    lines.push(line("feed reply with one change", bytes as f64, "bytes"));
    lines.push(line(
        "feed reply with one change, built",
        nanos / 1e3,
        "\u{b5}s",
    ));
    let from = state.state().revision();
    let again = nanos_each(rounds, |_| {
        black_box(state.answer(FeedScope::All, from));
    });
    lines.push(line("feed reply without a change", again, "ns"));
    let from = missed(state, MISSED)?;
    let start = std::time::Instant::now();
    let (bytes, calls) = catch_up(state, from);
    let elapsed = start.elapsed();
    let measure = |what: &str| format!("catch-up after {MISSED} missed changes, {what}");
    lines.extend([
        CostLine::new(ROLE, measure("sent"), bytes as f64 / 1e3, "kB"),
        CostLine::new(ROLE, measure("calls"), calls as f64, "calls"),
        CostLine::new(ROLE, measure("built"), elapsed.as_secs_f64() * 1e3, "ms"),
    ]);
    Ok(())
}

fn answer_bytes(state: &mut ReplicaState, from: FeedRevision) -> usize {
    match state.answer(FeedScope::All, from) {
        FeedAnswer::News(reply) => reply.bytes(),
        FeedAnswer::Unchanged(_) | FeedAnswer::Behind => 0,
    }
}

/// Asks until nothing is left; returns the bytes and the number of calls.
fn catch_up(state: &mut ReplicaState, from: FeedRevision) -> (usize, usize) {
    let (mut from, mut bytes, mut calls) = (from, 0, 0);
    while let FeedAnswer::News(reply) = state.answer(FeedScope::All, from) {
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
    lines: &mut Vec<CostLine>,
) -> Result<(), LabError> {
    let claims: Vec<LeaseClaim> = (0..targets)
        .map(|index| target_route(index, index % services, 0))
        .map(|route| LeaseClaim {
            target: route.key,
            incarnation: route.incarnation,
            service: route.service,
        })
        .collect();
    let before = resident_bytes()?;
    let mut table = LeaseTable::default();
    for claim in &claims {
        table.grant(*claim, ClockMillis::ORIGIN);
    }
    let after = resident_bytes()?;
    let nanos = nanos_each(effort.rounds(200_000), |round| {
        let claim = &claims[round * 7 % targets];
        let now = ClockMillis::new(round as u64 / 100);
        black_box(table.renew(claim.target, claim.incarnation, now));
    });
    let request = HeartbeatRequest {
        target: claims[0].target,
        incarnation: claims[0].incarnation,
    };
    let line = |measure: &str, figure, unit| CostLine::new(ROLE, measure, figure, unit);
    lines.extend([
        line("lease renewed in the table", nanos, "ns"),
        line(
            "lease, memory",
            after.saturating_sub(before) as f64 / targets as f64,
            "bytes",
        ),
        line(
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
