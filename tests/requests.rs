//! Requests through the built agents: tickets, kills, drains, deadlines and
//! aborted streams.

mod support;

use std::{sync::Arc, time::Duration};

use cyclamenrouter::caller::{CallRequest, CallResponse, ServiceCaller};
use serde_json::Value;
use support::{
    FabricStandIn, SiteProcess, TestSite, eventually, get,
    scripted_upstream::{UpstreamCounters, start_upstream},
};

/// Two agents of one service, each with its upstream, behind one balancer.
struct AgentPair {
    site: TestSite,
    agents: Vec<SiteProcess>,
    upstreams: Vec<Arc<UpstreamCounters>>,
    _infrastructure: (Vec<SiteProcess>, FabricStandIn),
}

impl AgentPair {
    async fn start() -> Self {
        let site = TestSite::new();
        let control = site.start_control();
        site.apply(site.manifest(1)).await;
        let balancer = site.start_balancer(0);
        let mut upstreams = Vec::new();
        let mut agents = Vec::new();
        for index in 0..2 {
            let address = site.address(100 + index, 8000);
            upstreams.push(start_upstream(&format!("upstream-{index}"), address).await);
            agents.push(site.start_agent(index, "barge-control", address));
        }
        let fabric = site.start_fabric(0, &[0]).await;
        Self {
            site,
            agents,
            upstreams,
            _infrastructure: (vec![control, balancer], fabric),
        }
    }

    /// Connects repeatedly until the agent with this index accepts.
    async fn connect(&self, index: usize) -> ServiceCaller {
        let expected = format!("upstream-{index}");
        for _ in 0..400 {
            let caller = self.site.connect(0, "barge-control").await;
            if get(&caller, "/name").await.body == expected {
                return caller;
            }
            tokio::time::sleep(support::POLL_INTERVAL).await;
        }
        panic!("agent {index} accepts no connection\n{}", self.site.logs());
    }

    fn started(&self) -> u32 {
        self.upstreams
            .iter()
            .map(|upstream| upstream.started())
            .sum()
    }
}

/// Returns a command that runs for `millis` at its upstream.
fn slow_command(millis: u64, ticket: &str) -> CallRequest {
    CallRequest::new("POST", &format!("/hold/{millis}"))
        .with_ticket(ticket)
        .with_body("feed pen 3")
}

fn parse_problem(answer: &CallResponse) -> Value {
    serde_json::from_slice(&answer.body)
        .unwrap_or_else(|_| panic!("not a problem document: {answer:?}"))
}

async fn fetch_ticket(caller: &ServiceCaller) -> String {
    let answer = caller
        .send(slow_command(0, "none"))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 428);
    let problem = parse_problem(&answer);
    assert_eq!(problem["not_run"], true);
    problem["ticket"].as_str().expect("a ticket").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_runs_once_however_often_it_is_sent_to_either_agent() {
    let pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    assert_eq!(pair.started(), 0);

    let (first_answer, second_answer) = tokio::join!(
        first.send(slow_command(300, &ticket)),
        second.send(slow_command(300, &ticket))
    );
    for answer in [
        first_answer.expect("an answer"),
        second_answer.expect("an answer"),
    ] {
        assert_eq!((answer.status, &answer.body[..]), (200, &b"upstream-0"[..]));
    }
    for caller in [&first, &second] {
        let repeated = caller
            .send(slow_command(300, &ticket))
            .await
            .expect("an answer");
        assert_eq!(
            (repeated.status, &repeated.body[..]),
            (200, &b"upstream-0"[..])
        );
    }
    assert_eq!(pair.started(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_of_a_killed_agent_is_reported_as_unknown_and_not_run_again() {
    let mut pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    let running = slow_command(60_000, &ticket);
    let run = tokio::spawn(async move { first.send(running).await });
    let upstream = Arc::clone(&pair.upstreams[0]);
    eventually("the command runs", async || upstream.started() == 1).await;
    pair.agents[0].kill();
    let answer = second
        .send(slow_command(60_000, &ticket))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(parse_problem(&answer)["not_run"], false);
    assert_eq!(pair.started(), 1);
    run.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_finishes_its_run_and_hands_over_the_response() {
    let mut pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    let running = slow_command(1_500, &ticket);
    let run = tokio::spawn(async move { first.send(running).await });
    let upstream = Arc::clone(&pair.upstreams[0]);
    eventually("the command runs", async || upstream.started() == 1).await;
    pair.agents[0].signal("TERM");
    let answer = run.await.expect("no panic").expect("the stream is not cut");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"upstream-0"[..]));
    let leaving = &mut pair.agents[0];
    eventually("the agent exits", async || leaving.try_wait().is_some()).await;
    let repeated = second
        .send(slow_command(1_500, &ticket))
        .await
        .expect("an answer");
    assert_eq!(
        (repeated.status, &repeated.body[..]),
        (200, &b"upstream-0"[..])
    );
    assert_eq!(pair.started(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn deadlines_cancellations_and_cuts_reach_both_ends() {
    let pair = AgentPair::start().await;
    let caller = pair.connect(0).await;
    let upstream = &pair.upstreams[0];

    let late = CallRequest::new("GET", "/hold/60000").with_header("x-deadline-millis", "300");
    let answer = caller.send(late).await.expect("an answer");
    assert_eq!(answer.status, 504);
    eventually("the deadline reaches the upstream", async || {
        upstream.dropped() == 1
    })
    .await;

    let cut = caller.send(CallRequest::new("GET", "/cut")).await;
    assert!(cut.is_err(), "a cut body must not look complete: {cut:?}");

    let malformed = CallRequest::new("GET", "/name").with_header("x-deadline-millis", "soon");
    let answer = caller.send(malformed).await.expect("an answer");
    assert_eq!(answer.status, 400);

    let leaving = pair.connect(0).await;
    let started = upstream.started();
    let running = tokio::spawn(async move {
        let request = CallRequest::new("GET", "/hold/60000");
        let answer = tokio::time::timeout(Duration::from_secs(2), leaving.send(request)).await;
        assert!(answer.is_err(), "the request runs for longer");
        leaving.close().await;
    });
    eventually("the request runs", async || {
        upstream.started() == started + 1
    })
    .await;
    running.await.expect("no panic");
    eventually("the closed connection reaches the upstream", async || {
        upstream.dropped() == 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_second_copy_of_an_answer_reaches_nobody() {
    let pair = AgentPair::start().await;
    let caller = pair.connect(0).await;
    assert_eq!(get(&caller, "/twice").await.body, "twice");
    for _ in 0..3 {
        assert_eq!(get(&caller, "/name").await.body, "upstream-0");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_on_one_connection_uses_both_targets_within_their_four_slots() {
    let pair = AgentPair::start().await;
    let caller = Arc::new(pair.connect(0).await);
    drop(pair.connect(1).await);
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..24 {
        let caller = Arc::clone(&caller);
        requests.spawn(async move {
            let request =
                CallRequest::new("GET", "/hold/300").with_header("x-deadline-millis", "9000");
            let answer = caller.send(request).await.expect("an answer");
            (
                answer.status,
                String::from_utf8_lossy(&answer.body).into_owned(),
            )
        });
    }
    let answers = requests.join_all().await;
    assert!(
        answers.iter().all(|(status, _)| *status == 200),
        "{answers:?}"
    );
    for upstream in &pair.upstreams {
        assert!(upstream.peak() <= 4, "{} at once", upstream.peak());
        assert!(upstream.started() >= 6, "{} of 24", upstream.started());
    }
    assert_eq!(pair.started(), 24);
}
