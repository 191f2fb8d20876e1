use std::time::{Duration, Instant};

use super::{
    DemoError, DemoReport,
    demo_plan::SERVICES,
    demo_site::DemoTarget,
    demo_tally::{DemoTally, RequestOutcome},
};
use crate::{
    agent::drain::{DrainEvent, DrainGoal},
    balancer::BalancerNode,
    control::{api::ApplyRequest, client::ControlClient},
    manifest::Manifest,
};

/// The longest time that a manifest may take.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);
/// The pause between two looks at the balancers.
const LOOK_PAUSE: Duration = Duration::from_millis(2);

/// Applies a manifest; returns the milliseconds until every balancer had it.
pub(super) async fn wait_in_force(
    client: &ControlClient,
    manifest: Manifest,
    balancers: &[BalancerNode],
) -> Result<Option<u64>, DemoError> {
    let start = Instant::now();
    let version = manifest.version;
    client.apply(&ApplyRequest { manifest }).await?;
    while start.elapsed() < IN_FORCE_LIMIT {
        let lags = |node: &BalancerNode| node.dump().manifest_version < version;
        if !balancers.iter().any(lags) {
            return Ok(u64::try_from(start.elapsed().as_millis()).ok());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Ok(None)
}

/// Begins the planned stop of a target, which stays until its streams end.
pub(super) async fn drain(target: &DemoTarget) {
    let event = DrainEvent::Begin {
        goal: DrainGoal::Stay,
        deadline: None,
    };
    // An agent that is gone shows in the streams that it cut.
    let _ = target.agent.order(event).await;
}

/// Returns the requests that reach a drained upstream within `span`.
pub(super) async fn late_work(target: &DemoTarget, span: Duration) -> u64 {
    let before = target.upstream.requests();
    tokio::time::sleep(span).await;
    target.upstream.requests() - before
}

/// Gathers the counts of callers, upstreams and agents.
pub(super) async fn audit(tally: &DemoTally, targets: &[DemoTarget]) -> DemoReport {
    let mut run_twice = 0;
    let mut ran_though_refused = 0;
    let mut foreign_frames = 0;
    for target in targets {
        for (id, count) in target.upstream.runs() {
            run_twice += u64::from(count > 1);
            ran_though_refused += u64::from(tally.was_refused(&id));
        }
        foreign_frames += target.agent.dump().await.tunnel.other_service;
    }
    run_twice += spread_runs(targets);
    DemoReport {
        requests: tally.requests(),
        answered: tally.read(RequestOutcome::Answered),
        refused_not_run: tally.read(RequestOutcome::NotRun),
        failed: tally.read(RequestOutcome::Failed),
        unconnected: tally.unconnected(),
        slowest_connect_ms: tally.slowest_connect_millis(),
        broken_flows: tally.broken_streams() + tally.read(RequestOutcome::Cut),
        cuts: tally.cuts(),
        streams: 0,
        stream_lines: tally.lines(),
        misrouted: tally.read(RequestOutcome::Misrouted) + foreign_frames,
        run_twice,
        ran_though_refused,
        late_work: 0,
        imbalance: imbalance(targets),
        in_force_ms: None,
    }
}

/// Returns the commands that ran at more than one upstream.
fn spread_runs(targets: &[DemoTarget]) -> u64 {
    let mut seen = std::collections::BTreeSet::new();
    let ids = targets
        .iter()
        .flat_map(|target| target.upstream.runs().into_keys());
    ids.map(|id| u64::from(!seen.insert(id))).sum()
}

/// Returns the busiest target over the mean of its service, the worst service's.
///
/// The drained target, which is the first, is left out.
fn imbalance(targets: &[DemoTarget]) -> f64 {
    let worst = SERVICES.iter().map(|service| {
        let counts: Vec<u64> = targets
            .iter()
            .skip(1)
            .filter(|target| target.service == service.name)
            .map(|target| target.upstream.requests())
            .collect();
        ratio(&counts)
    });
    worst.fold(1.0, f64::max)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a short demo are small"
)]
pub(super) fn ratio(counts: &[u64]) -> f64 {
    let sum: u64 = counts.iter().sum();
    let most = counts.iter().max().copied().unwrap_or_default();
    if sum == 0 {
        return 1.0;
    }
    most as f64 * counts.len() as f64 / sum as f64
}
