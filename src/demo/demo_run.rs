use std::{future::Future, path::Path, sync::Arc, time::Duration};

use tokio::task::JoinSet;

use super::{
    DemoError, DemoReport, FabricStandIn,
    demo_load::{DemoService, follow_stream, send_requests},
    demo_plan::{BALANCERS, CALLERS, SERVICES, STREAMS},
    demo_site::{DemoSite, DemoTarget, demo_manifest},
    demo_tally::DemoTally,
    demo_tasks::{audit, drain, late_work, wait_in_force},
};
use crate::{
    balancer::BalancerNode,
    caller::CallRequest,
    control::{api::ApplyRequest, client::ControlClient},
    program::{StopSignal, StopTrigger},
};

/// The shortest demo in which every step has its time.
pub const LEAST_DEMO_SECONDS: u64 = 6;
/// The time for the site to come up.
const START_SECONDS: u64 = 30;
/// The pause between two looks at a state.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// How long the fabric goes on sending to a balancer that is gone.
const FABRIC_LAG: Duration = Duration::from_millis(200);
/// The parts that the time of the demo is divided into.
const PARTS: u32 = 6;

/// The running site with its callers.
struct DemoStage {
    site: DemoSite,
    client: ControlClient,
    balancers: Vec<BalancerNode>,
    targets: Vec<DemoTarget>,
    fabrics: Vec<FabricStandIn>,
    tally: Arc<DemoTally>,
    callers: JoinSet<()>,
    stop: StopSignal,
    trigger: StopTrigger,
}

/// Runs the demo for about `seconds` and returns what it counted.
///
/// Its files go into `folder`, which should outlast the runtime.
/// `progress` is called with a line whenever there is something to tell.
///
/// # Errors
///
/// Fails when the site can't be started.
pub async fn run_demo(
    folder: &Path,
    seconds: u64,
    progress: impl Fn(&str) + Sync,
) -> Result<DemoReport, DemoError> {
    let part = Duration::from_secs(seconds.max(LEAST_DEMO_SECONDS)) / PARTS;
    progress("starting control replicas, balancers, agents and upstreams");
    let mut stage = DemoStage::start(folder).await?;
    let streams = stage.open_streams().await?;
    stage.start_callers()?;
    progress("requests and streams are running");
    tokio::time::sleep(part).await;

    let in_force = stage.apply_second().await?;
    progress(&match in_force {
        Some(millis) => format!("manifest version 2 in force on every balancer after {millis} ms"),
        None => "manifest version 2 is not in force everywhere".to_owned(),
    });
    tokio::time::sleep(part).await;

    drain(&stage.targets[0]).await;
    progress("draining one upstream of barge-control");
    tokio::time::sleep(part).await;
    stage.stop_balancer().await;
    progress("one balancer is gone");
    tokio::time::sleep(part).await;
    let late_work = late_work(&stage.targets[0], part).await;
    stage.add_balancer().await?;
    progress("a new balancer has joined");
    tokio::time::sleep(part).await;

    stage.trigger.stop();
    while stage.callers.join_next().await.is_some() {}
    progress("counting");
    let mut report = audit(&stage.tally, &stage.targets).await;
    report.streams = streams;
    report.late_work = late_work;
    report.in_force_ms = in_force;
    Ok(report)
}

impl DemoStage {
    async fn start(folder: &Path) -> Result<Self, DemoError> {
        let mut site = DemoSite::new(folder)?;
        let client = site.start_control()?;
        let request = ApplyRequest {
            manifest: demo_manifest(&site, 1),
        };
        eventually("the control group", async || {
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
        eventually("the routes on every balancer", async || {
            balancers.iter().all(|node| knows(node, targets.len()))
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
            tally: Arc::new(DemoTally::default()),
            callers: JoinSet::new(),
            stop,
            trigger,
        })
    }

    /// Opens the streams that are to last until the end; returns how many.
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
        let late = DemoError::Late {
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
            let tally = Arc::clone(&self.tally);
            let stop = self.stop.clone();
            self.callers
                .spawn(follow_stream(service, caller, stream, tally, stop));
            return Ok(());
        }
        Err(late)
    }

    fn start_callers(&mut self) -> Result<(), DemoError> {
        for index in 0..SERVICES.len() {
            for number in 0..CALLERS {
                let service = self.site.service(index)?;
                let tally = Arc::clone(&self.tally);
                let stop = self.stop.clone();
                self.callers
                    .spawn(send_requests(service, number, tally, stop));
            }
        }
        Ok(())
    }

    /// Applies the second manifest; returns when it was in force everywhere.
    async fn apply_second(&self) -> Result<Option<u64>, DemoError> {
        let manifest = demo_manifest(&self.site, 2);
        wait_in_force(&self.client, manifest, &self.balancers).await
    }

    /// Stops a balancer; the fabric notices a little later.
    async fn stop_balancer(&mut self) {
        drop(self.balancers.remove(0));
        tokio::time::sleep(FABRIC_LAG).await;
        let left: Vec<u8> = (1..BALANCERS).collect();
        self.site.spray(&self.fabrics, &left);
    }

    /// Starts a balancer that knows nothing yet, and hands it datagrams.
    async fn add_balancer(&mut self) -> Result<(), DemoError> {
        let node = self.site.start_balancer(BALANCERS)?;
        eventually("the new balancer", async || {
            knows(&node, self.targets.len())
        })
        .await?;
        self.balancers.push(node);
        let all: Vec<u8> = (1..=BALANCERS).collect();
        self.site.spray(&self.fabrics, &all);
        Ok(())
    }
}

/// Returns whether a balancer listens for each service and knows the targets.
fn knows(node: &BalancerNode, targets: usize) -> bool {
    let dump = node.dump();
    let known: usize = dump
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    dump.ports.len() == SERVICES.len() && known == targets
}

async fn eventually<F>(what: &'static str, mut is_true: impl FnMut() -> F) -> Result<(), DemoError>
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + Duration::from_secs(START_SECONDS);
    while !is_true().await {
        if tokio::time::Instant::now() >= deadline {
            return Err(DemoError::Late {
                what,
                seconds: START_SECONDS,
            });
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Ok(())
}
