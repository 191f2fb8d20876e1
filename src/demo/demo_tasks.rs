use std::time::{Duration, Instant};

use super::{
    DemoError, DemoReport,
    demo_counters::{DemoCounters, RequestOutcome},
    demo_plan::SERVICES,
    demo_site::DemoTarget,
};
use crate::{
    agent::drain::{DrainEvent, DrainGoal},
    balancer::BalancerNode,
    control::{api::ApplyRequest, client::ControlClient},
    manifest::Manifest,
};

/// The longest time until a manifest must be in force on every balancer.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);
/// The interval between two checks of the balancers.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Applies a manifest; returns the milliseconds until every balancer had it, or none
/// after the limit.
pub(super) async fn apply_and_wait(
    client: &ControlClient,
    manifest: Manifest,
    balancers: &[BalancerNode],
) -> Result<Option<u64>, DemoError> {
    let start = Instant::now();
    let version = manifest.version;
    client.apply(&ApplyRequest { manifest }).await?;
    while start.elapsed() < IN_FORCE_LIMIT {
        let is_behind = |node: &BalancerNode| node.dump().manifest_version < version;
        if !balancers.iter().any(is_behind) {
            return Ok(u64::try_from(start.elapsed().as_millis()).ok());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

/// Starts the drain of a target; its agent keeps running.
pub(super) async fn drain(target: &DemoTarget) {
    let event = DrainEvent::Begin {
        goal: DrainGoal::Stay,
        deadline: None,
    };
    // If the agent has stopped, its cut streams show it.
    let _ = target.agent.send_drain_event(event).await;
}

/// Counts the requests that reach a drained upstream within `span`.
pub(super) async fn count_late_requests(target: &DemoTarget, span: Duration) -> u64 {
    let before = target.upstream.requests();
    tokio::time::sleep(span).await;
    target.upstream.requests() - before
}

/// Builds the report from the counts of callers, upstreams and agents.
pub(super) async fn build_report(counters: &DemoCounters, targets: &[DemoTarget]) -> DemoReport {
    let mut run_twice = 0;
    let mut ran_though_refused = 0;
    let mut misrouted_frames = 0;
    for target in targets {
        for (id, count) in target.upstream.runs() {
            run_twice += u64::from(count > 1);
            ran_though_refused += u64::from(counters.is_refused_command(&id));
        }
        misrouted_frames += target.agent.dump().await.tunnel.other_service;
    }
    run_twice += count_runs_elsewhere(targets);
    DemoReport {
        requests: counters.requests(),
        answered: counters.outcome_count(RequestOutcome::Answered),
        refused_not_run: counters.outcome_count(RequestOutcome::NotRun),
        failed: counters.outcome_count(RequestOutcome::Failed),
        unconnected: counters.unconnected(),
        slowest_connect_ms: counters.slowest_connect_millis(),
        broken_flows: counters.broken_streams() + counters.outcome_count(RequestOutcome::Cut),
        cuts: counters.cut_causes(),
        streams: 0,
        stream_lines: counters.lines(),
        misrouted: counters.outcome_count(RequestOutcome::Misrouted) + misrouted_frames,
        run_twice,
        ran_though_refused,
        late_work: 0,
        imbalance: imbalance(targets),
        in_force_ms: None,
    }
}

/// Counts the runs of commands that had already run at another upstream.
fn count_runs_elsewhere(targets: &[DemoTarget]) -> u64 {
    let mut seen = std::collections::BTreeSet::new();
    let ids = targets
        .iter()
        .flat_map(|target| target.upstream.runs().into_keys());
    ids.map(|id| u64::from(!seen.insert(id))).sum()
}

/// Returns the largest ratio of the busiest target to the mean, over all services.
///
/// The first target is left out, as it is drained.
fn imbalance(targets: &[DemoTarget]) -> f64 {
    let worst = SERVICES.iter().map(|service| {
        let counts: Vec<u64> = targets
            .iter()
            .skip(1)
            .filter(|target| target.service == service.name)
            .map(|target| target.upstream.requests())
            .collect();
        busiest_to_mean(&counts)
    });
    worst.fold(1.0, f64::max)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a short demo are small"
)]
pub(super) fn busiest_to_mean(counts: &[u64]) -> f64 {
    let sum: u64 = counts.iter().sum();
    let most = counts.iter().max().copied().unwrap_or_default();
    if sum == 0 {
        return 1.0;
    }
    most as f64 * counts.len() as f64 / sum as f64
}
