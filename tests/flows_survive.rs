//! Established streams survive what is planned and what fails around them.

mod support;

use cyclamenrouter::{
    caller::{AnswerStream, CallRequest, ServiceCaller},
    demo::{FabricStandIn, UpstreamStandIn},
};
use support::{SiteProcess, TestSite, get};

/// The lines that are read after each change.
const LINES_AFTER_CHANGE: u64 = 40;

/// A site with one service, two balancers and a stream that is open.
struct StreamSite {
    site: TestSite,
    control: SiteProcess,
    balancers: Vec<SiteProcess>,
    agents: Vec<SiteProcess>,
    fabric: FabricStandIn,
    upstreams: Vec<UpstreamStandIn>,
    caller: ServiceCaller,
    lines: LineReader,
}

impl StreamSite {
    async fn start() -> Self {
        let site = TestSite::new();
        let control = site.start_control();
        site.apply(site.manifest(1)).await;
        let balancers = vec![site.start_balancer(0), site.start_balancer(1)];
        let upstream = site.start_upstream(0, "camera").await;
        let agents = vec![site.start_agent(0, "barge-control", upstream.address())];
        let fabric = site.start_fabric(0, &[0, 1]).await;
        let caller = site.connect(0, "barge-control").await;
        let request = CallRequest::new("GET", "/lines");
        let stream = caller.open(request).await.expect("an open stream");
        Self {
            lines: LineReader::new(stream),
            site,
            control,
            balancers,
            agents,
            fabric,
            upstreams: vec![upstream],
            caller,
        }
    }

    async fn read_on(&mut self) {
        if let Err(fault) = self.lines.read(LINES_AFTER_CHANGE).await {
            panic!("{fault}\n{}", self.site.logs());
        }
    }
}

/// Reads the numbered lines of a stream and notices gaps.
struct LineReader {
    stream: AnswerStream,
    pending: String,
    next: u64,
}

impl LineReader {
    fn new(stream: AnswerStream) -> Self {
        Self {
            stream,
            pending: String::new(),
            next: 0,
        }
    }

    async fn read(&mut self, count: u64) -> Result<(), String> {
        let end = self.next + count;
        while self.next < end {
            let part = tokio::time::timeout(support::PATIENCE, self.stream.next_part())
                .await
                .map_err(|_| format!("silent before line {}", self.next))?
                .map_err(|error| format!("cut before line {}: {error}", self.next))?
                .ok_or_else(|| format!("ended before line {}", self.next))?;
            self.pending.push_str(&String::from_utf8_lossy(&part));
            while let Some((line, rest)) = self.pending.split_once('\n') {
                if line != format!("camera {}", self.next) {
                    return Err(format!("line {} came as {line:?}", self.next));
                }
                self.next += 1;
                let rest = rest.len();
                self.pending.drain(..self.pending.len() - rest);
            }
        }
        Ok(())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_balancers_that_die_restart_and_join() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    stream.balancers[0].kill();
    stream.fabric.set_balancers(stream.site.listeners(0, &[1]));
    stream.read_on().await;
    let restarted = stream.site.start_balancer(0);
    let joined = stream.site.start_balancer(2);
    stream
        .fabric
        .set_balancers(stream.site.listeners(0, &[0, 1, 2]));
    stream.read_on().await;
    stream.balancers[1].kill();
    stream
        .fabric
        .set_balancers(stream.site.listeners(0, &[0, 2]));
    stream.read_on().await;
    drop((restarted, joined));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_balancer_that_falls_silent_unnoticed_by_the_fabric() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    // Answers go by one of the two, so each is frozen in its turn.
    for index in 0..2 {
        stream.balancers[index].signal("STOP");
        stream.read_on().await;
        stream.balancers[index].signal("CONT");
        stream.read_on().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_is_told_to_stop_leaves_in_order() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    for index in 0..2 {
        let rest = [1 - u8::try_from(index).expect("0 or 1"), 2];
        let joined = stream.site.start_balancer(2);
        stream.balancers[index].signal("TERM");
        stream.fabric.set_balancers(stream.site.listeners(0, &rest));
        stream.read_on().await;
        let left = &mut stream.balancers[index];
        support::eventually("the balancer ends", async || {
            left.try_wait().is_some_and(|status| status.success())
        })
        .await;
        stream.balancers[index] = stream
            .site
            .start_balancer(u8::try_from(index).expect("0 or 1"));
        stream
            .fabric
            .set_balancers(stream.site.listeners(0, &[0, 1]));
        stream.read_on().await;
        drop(joined);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_rotation_of_the_secret() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    // The old epoch stays live for longer than a connection ID, then it goes.
    stream.site.write_secret(2, &[1, 2]);
    stream.read_on().await;
    stream.read_on().await;
    stream.site.write_secret(2, &[2]);
    stream.read_on().await;
    let caller = stream.site.connect(0, "barge-control").await;
    assert_eq!(get(&caller, "/name").await.body, "camera");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_while_control_is_away() {
    let mut stream = StreamSite::start().await;
    stream.control.kill();
    stream.read_on().await;
    let caller = stream.site.connect(0, "barge-control").await;
    assert_eq!(get(&caller, "/name").await.body, "camera");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_agent_cuts_no_stream_and_takes_no_new_one() {
    let mut stream = StreamSite::start().await;
    let second = stream.site.start_upstream(1, "camera").await;
    let _spare = stream
        .site
        .start_agent(1, "barge-control", second.address());
    stream.agents[0].signal("TERM");
    // Twice the two seconds after which nothing new may arrive.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let before = stream.upstreams[0].requests();
    for _ in 0..20 {
        let caller = stream.site.connect(0, "barge-control").await;
        get(&caller, "/name").await;
    }
    assert_eq!(stream.upstreams[0].requests(), before);
    assert_eq!(second.requests(), 20);
    stream.read_on().await;
    assert!(
        stream.agents[0].try_wait().is_none(),
        "it left before the stream ended"
    );
    drop(stream.lines);
    let StreamSite { caller, agents, .. } = stream;
    let mut agents = agents;
    caller.close().await;
    support::eventually("the drained agent ends", async || {
        agents[0].try_wait().is_some_and(|status| status.success())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_tells_the_caller_at_once_that_the_connection_is_gone() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    stream.agents[0].kill();
    let upstream = stream.upstreams[0].address();
    stream.agents[0] = stream.site.start_agent(0, "barge-control", upstream);
    // The caller's keep-alive brings the reset; the idle timeout would end the
    // connection too, but with another fault.
    let fault = stream
        .lines
        .read(1_000)
        .await
        .expect_err("the connection is gone");
    assert!(fault.contains("reset"), "{fault}\n{}", stream.site.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_another_service_took_over_tells_the_caller_and_serves_nothing() {
    let mut stream = StreamSite::start().await;
    stream.read_on().await;
    stream.agents[0].kill();
    let logbook = stream.site.start_upstream(1, "logbook").await;
    stream.agents[0] = stream.site.start_agent(0, "logbook", logbook.address());
    let fault = stream
        .lines
        .read(1_000)
        .await
        .expect_err("the connection is gone");
    assert!(fault.contains("reset"), "{fault}\n{}", stream.site.logs());
    assert_eq!(logbook.requests(), 0);
}
