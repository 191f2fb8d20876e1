use std::{future::Future, path::Path, sync::Arc, time::Duration};

use tokio::task::JoinSet;

use super::{
    DemoError, DemoReport, FabricStandIn,
    demo_counters::DemoCounters,
    demo_load::{DemoService, follow_stream, send_requests},
    demo_plan::{BALANCERS, CALLERS, SERVICES, STREAMS},
    demo_site::{DemoSite, DemoTarget, demo_manifest},
    demo_tasks::{apply_and_wait, build_report, count_late_requests, drain},
};
use crate::{
    balancer::BalancerNode,
    caller::CallRequest,
    control::{api::ApplyRequest, client::ControlClient},
    program::{StopSignal, StopTrigger},
};

/// The shortest demo that leaves enough time for each phase.
pub const MIN_DEMO_SECONDS: u64 = 6;
/// The timeout for each part of the site to start.
const START_SECONDS: u64 = 30;
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the fabric still sends to a stopped balancer.
const FABRIC_LAG: Duration = Duration::from_millis(200);
/// The number of phases of equal length.
const PHASES: u32 = 6;

/// The running site and its callers.
struct DemoRun {
    site: DemoSite,
    client: ControlClient,
    balancers: Vec<BalancerNode>,
    targets: Vec<DemoTarget>,
    fabrics: Vec<FabricStandIn>,
    counters: Arc<DemoCounters>,
    callers: JoinSet<()>,
    stop: StopSignal,
    trigger: StopTrigger,
}

/// Runs the demo for about `seconds` and returns the results.
///
/// Files are written to `folder`, which should outlive the runtime.
/// `progress` is called with one line per step.
///
/// # Errors
///
/// Fails when the site can't be started.
pub async fn run_demo(
    folder: &Path,
    seconds: u64,
    progress: impl Fn(&str) + Sync,
) -> Result<DemoReport, DemoError> {
    let phase_time = Duration::from_secs(seconds.max(MIN_DEMO_SECONDS)) / PHASES;
    progress("starting control replicas, balancers, agents and upstreams");
    let mut run = DemoRun::start(folder).await?;
    let streams = run.open_streams().await?;
    run.start_callers()?;
    progress("requests and streams are running");
    tokio::time::sleep(phase_time).await;

    let in_force = run.apply_second_manifest().await?;
    progress(&match in_force {
        Some(millis) => format!("manifest version 2 in force on every balancer after {millis} ms"),
        None => "manifest version 2 is not in force everywhere".to_owned(),
    });
    tokio::time::sleep(phase_time).await;

    drain(&run.targets[0]).await;
    progress("draining one upstream of barge-control");
    tokio::time::sleep(phase_time).await;
    run.stop_balancer().await;
    progress("one balancer has stopped");
    tokio::time::sleep(phase_time).await;
    let late_work = count_late_requests(&run.targets[0], phase_time).await;
    run.add_balancer().await?;
    progress("a new balancer has joined");
    tokio::time::sleep(phase_time).await;

    run.trigger.stop();
    while run.callers.join_next().await.is_some() {}
    progress("counting");
    let mut report = build_report(&run.counters, &run.targets).await;
    report.streams = streams;
    report.late_work = late_work;
    report.in_force_ms = in_force;
    Ok(report)
}

impl DemoRun {
    async fn start(folder: &Path) -> Result<Self, DemoError> {
        let mut site = DemoSite::new(folder)?;
        let client = site.start_control()?;
        let request = ApplyRequest {
            manifest: demo_manifest(&site, 1),
        };
        wait_until("the control group", async || {
            client.apply(&request).await.is_ok()
        })
        .await?;
        let balancers: Vec<BalancerNode> = (0..BALANCERS)
            .map(|index| site.start_balancer(index))
            .collect::<Result<_, _>>()?;
        let mut targets = Vec::new();
        for service in SERVICES {
            for _ in 0..service.targets {
                let index = u8::try_from(targets.len()).unwrap_or(u8::MAX);
                targets.push(site.start_target(service.name, index).await?);
            }
        }
        wait_until("the routes on every balancer", async || {
            balancers
                .iter()
                .all(|node| has_all_routes(node, targets.len()))
        })
        .await?;
        let fabrics = site.start_fabrics().await?;
        let (stop, trigger) = StopSignal::new();
        Ok(Self {
            site,
            client,
            balancers,
            targets,
            fabrics,
            counters: Arc::new(DemoCounters::default()),
            callers: JoinSet::new(),
            stop,
            trigger,
        })
    }

    /// Opens the streams that last until the end; returns their number.
    async fn open_streams(&mut self) -> Result<u64, DemoError> {
        let mut count = 0;
        for index in 0..SERVICES.len() {
            let service = self.site.service(index)?;
            for _ in 0..STREAMS {
                self.open_stream(service.clone()).await?;
                count += 1;
            }
        }
        Ok(count)
    }

    async fn open_stream(&mut self, service: DemoService) -> Result<(), DemoError> {
        let timeout = DemoError::StartTimeout {
            what: "a stream",
            seconds: START_SECONDS,
        };
        let deadline = tokio::time::Instant::now() + Duration::from_secs(START_SECONDS);
        while tokio::time::Instant::now() < deadline {
            let Some(caller) = service.connect().await else {
                continue;
            };
            let Ok(stream) = caller.open(CallRequest::new("GET", "/lines")).await else {
                continue;
            };
            let counters = Arc::clone(&self.counters);
            let stop = self.stop.clone();
            self.callers
                .spawn(follow_stream(service, caller, stream, counters, stop));
            return Ok(());
        }
        Err(timeout)
    }

    fn start_callers(&mut self) -> Result<(), DemoError> {
        for index in 0..SERVICES.len() {
            for number in 0..CALLERS {
                let service = self.site.service(index)?;
                let counters = Arc::clone(&self.counters);
                let stop = self.stop.clone();
                self.callers
                    .spawn(send_requests(service, number, counters, stop));
            }
        }
        Ok(())
    }

    /// Applies the second manifest; returns the milliseconds until it was in force on
    /// every balancer.
    async fn apply_second_manifest(&self) -> Result<Option<u64>, DemoError> {
        let manifest = demo_manifest(&self.site, 2);
        apply_and_wait(&self.client, manifest, &self.balancers).await
    }

    /// Stops a balancer as its program does on SIGTERM: it forwards until the fabric,
    /// which notices after `FABRIC_LAG`, sends it nothing more.
    async fn stop_balancer(&mut self) {
        let node = self.balancers.remove(0);
        let fabric_change = async {
            tokio::time::sleep(FABRIC_LAG).await;
            let remaining: Vec<u8> = (1..BALANCERS).collect();
            self.site.send_to_balancers(&self.fabrics, &remaining);
        };
        tokio::join!(node.leave(), fabric_change);
    }

    /// Starts a balancer without state and, once it has all routes, sends it datagrams.
    async fn add_balancer(&mut self) -> Result<(), DemoError> {
        let node = self.site.start_balancer(BALANCERS)?;
        wait_until("the new balancer", async || {
            has_all_routes(&node, self.targets.len())
        })
        .await?;
        self.balancers.push(node);
        let all: Vec<u8> = (1..=BALANCERS).collect();
        self.site.send_to_balancers(&self.fabrics, &all);
        Ok(())
    }
}

/// Returns whether a balancer listens for all services and has `targets` targets.
fn has_all_routes(node: &BalancerNode, targets: usize) -> bool {
    let dump = node.dump();
    let known: usize = dump
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    dump.ports.len() == SERVICES.len() && known == targets
}

async fn wait_until<F>(what: &'static str, mut is_true: impl FnMut() -> F) -> Result<(), DemoError>
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + Duration::from_secs(START_SECONDS);
    while !is_true().await {
        if tokio::time::Instant::now() >= deadline {
            return Err(DemoError::StartTimeout {
                what,
                seconds: START_SECONDS,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
