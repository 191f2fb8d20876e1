//! Established streams survive planned changes and failures of the site.

mod support;

use cyclamenrouter::{
    caller::{CallRequest, ResponseStream, ServiceCaller},
    demo::{FabricStandIn, UpstreamStandIn},
};
use support::{SiteProcess, TestSite, get};

/// The number of lines read after each change of the site.
const LINES_AFTER_CHANGE: u64 = 40;

/// A site with one service, two balancers and an open stream.
struct StreamFixture {
    site: TestSite,
    control: SiteProcess,
    balancers: Vec<SiteProcess>,
    agents: Vec<SiteProcess>,
    fabric: FabricStandIn,
    upstreams: Vec<UpstreamStandIn>,
    caller: ServiceCaller,
    lines: LineReader,
}

impl StreamFixture {
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

    /// Reads further lines; panics when one is missing.
    async fn read_more(&mut self) {
        if let Err(error) = self.lines.read(LINES_AFTER_CHANGE).await {
            panic!("{error}\n{}", self.site.logs());
        }
    }
}

/// Reads the numbered lines of a stream and detects gaps.
struct LineReader {
    stream: ResponseStream,
    pending: String,
    next: u64,
}

impl LineReader {
    fn new(stream: ResponseStream) -> Self {
        Self {
            stream,
            pending: String::new(),
            next: 0,
        }
    }

    async fn read(&mut self, count: u64) -> Result<(), String> {
        let end = self.next + count;
        while self.next < end {
            let chunk = tokio::time::timeout(support::WAIT_TIMEOUT, self.stream.next_chunk())
                .await
                .map_err(|_| format!("no data before line {}", self.next))?
                .map_err(|error| format!("cut before line {}: {error}", self.next))?
                .ok_or_else(|| format!("ended before line {}", self.next))?;
            self.pending.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((line, rest)) = self.pending.split_once('\n') {
                if line != format!("camera {}", self.next) {
                    return Err(format!("expected line {}, got {line:?}", self.next));
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
async fn a_stream_survives_balancers_that_are_killed_restarted_and_added() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    fixture.balancers[0].kill();
    fixture
        .fabric
        .set_balancers(fixture.site.listeners(0, &[1]));
    fixture.read_more().await;
    let restarted = fixture.site.start_balancer(0);
    let added = fixture.site.start_balancer(2);
    fixture
        .fabric
        .set_balancers(fixture.site.listeners(0, &[0, 1, 2]));
    fixture.read_more().await;
    fixture.balancers[1].kill();
    fixture
        .fabric
        .set_balancers(fixture.site.listeners(0, &[0, 2]));
    fixture.read_more().await;
    drop((restarted, added));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_frozen_balancer_that_the_fabric_still_uses() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    // Responses pass through one of the two, so each is frozen in turn.
    for index in 0..2 {
        fixture.balancers[index].signal("STOP");
        fixture.read_more().await;
        fixture.balancers[index].signal("CONT");
        fixture.read_more().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_planned_stops_of_balancers_that_exit_cleanly() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    for index in 0..2 {
        let remaining = [1 - u8::try_from(index).expect("0 or 1"), 2];
        let added = fixture.site.start_balancer(2);
        fixture.balancers[index].signal("TERM");
        fixture
            .fabric
            .set_balancers(fixture.site.listeners(0, &remaining));
        fixture.read_more().await;
        let stopped = &mut fixture.balancers[index];
        support::eventually("the balancer exits", async || {
            stopped.try_wait().is_some_and(|status| status.success())
        })
        .await;
        fixture.balancers[index] = fixture
            .site
            .start_balancer(u8::try_from(index).expect("0 or 1"));
        fixture
            .fabric
            .set_balancers(fixture.site.listeners(0, &[0, 1]));
        fixture.read_more().await;
        drop(added);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_rotation_of_the_secret() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    // The old epoch is kept for longer than the lifetime of a connection ID.
    fixture.site.write_secret(2, &[1, 2]);
    fixture.read_more().await;
    fixture.read_more().await;
    fixture.site.write_secret(2, &[2]);
    fixture.read_more().await;
    let caller = fixture.site.connect(0, "barge-control").await;
    assert_eq!(get(&caller, "/name").await.body, "camera");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_and_new_connections_work_while_control_is_down() {
    let mut fixture = StreamFixture::start().await;
    fixture.control.kill();
    fixture.read_more().await;
    let caller = fixture.site.connect(0, "barge-control").await;
    assert_eq!(get(&caller, "/name").await.body, "camera");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_cuts_no_stream_and_accepts_no_new_connection() {
    let mut fixture = StreamFixture::start().await;
    let second = fixture.site.start_upstream(1, "camera").await;
    let _spare = fixture
        .site
        .start_agent(1, "barge-control", second.address());
    fixture.agents[0].signal("TERM");
    // Twice the two seconds within which the announcement of the drain reaches
    // every balancer, so that no new connection may arrive.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let before = fixture.upstreams[0].requests();
    for _ in 0..20 {
        let caller = fixture.site.connect(0, "barge-control").await;
        get(&caller, "/name").await;
    }
    assert_eq!(fixture.upstreams[0].requests(), before);
    assert_eq!(second.requests(), 20);
    fixture.read_more().await;
    assert!(
        fixture.agents[0].try_wait().is_none(),
        "the agent exited before the stream ended"
    );
    drop(fixture.lines);
    let StreamFixture { caller, agents, .. } = fixture;
    let mut agents = agents;
    caller.close().await;
    support::eventually("the drained agent exits", async || {
        agents[0].try_wait().is_some_and(|status| status.success())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_resets_connections_it_does_not_know() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    fixture.agents[0].kill();
    let upstream = fixture.upstreams[0].address();
    fixture.agents[0] = fixture.site.start_agent(0, "barge-control", upstream);
    // The response to the caller's keep-alive is the reset. The idle timeout would
    // also end the connection, but with a different error.
    let error = fixture
        .lines
        .read(1_000)
        .await
        .expect_err("the connection is gone");
    assert!(error.contains("reset"), "{error}\n{}", fixture.site.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_of_another_service_at_the_same_address_resets_the_connection() {
    let mut fixture = StreamFixture::start().await;
    fixture.read_more().await;
    fixture.agents[0].kill();
    let logbook = fixture.site.start_upstream(1, "logbook").await;
    fixture.agents[0] = fixture.site.start_agent(0, "logbook", logbook.address());
    let error = fixture
        .lines
        .read(1_000)
        .await
        .expect_err("the connection is gone");
    assert!(error.contains("reset"), "{error}\n{}", fixture.site.logs());
    assert_eq!(logbook.requests(), 0);
}
