//! Requests through the built agents: tickets, kills, drains, deadlines, cuts.

mod support;

use std::{sync::Arc, time::Duration};

use cyclamenrouter::caller::{CallAnswer, CallRequest, ServiceCaller};
use serde_json::Value;
use support::{
    FabricStandIn, SiteProcess, TestSite, eventually, get,
    scripted_upstream::{UpstreamCounts, start_upstream},
};

/// Two agents of one service, each with its upstream, behind one balancer.
struct AgentPair {
    site: TestSite,
    agents: Vec<SiteProcess>,
    upstreams: Vec<Arc<UpstreamCounts>>,
    _rest: (Vec<SiteProcess>, FabricStandIn),
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
            _rest: (vec![control, balancer], fabric),
        }
    }

    /// Connects until the agent with this index has accepted.
    async fn connect(&self, index: usize) -> ServiceCaller {
        let wanted = format!("upstream-{index}");
        for _ in 0..400 {
            let caller = self.site.connect(0, "barge-control").await;
            if get(&caller, "/name").await.body == wanted {
                return caller;
            }
            tokio::time::sleep(support::LOOK_PAUSE).await;
        }
        panic!("agent {index} accepts nothing\n{}", self.site.logs());
    }

    fn begun(&self) -> u32 {
        self.upstreams.iter().map(|upstream| upstream.begun()).sum()
    }
}

fn hold(millis: u64, ticket: &str) -> CallRequest {
    CallRequest::new("POST", &format!("/hold/{millis}"))
        .with_ticket(ticket)
        .with_body("feed pen 3")
}

fn problem(answer: &CallAnswer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_else(|_| panic!("no problem: {answer:?}"))
}

async fn fetch_ticket(caller: &ServiceCaller) -> String {
    let answer = caller.send(hold(0, "none")).await.expect("an answer");
    assert_eq!(answer.status, 428);
    let problem = problem(&answer);
    assert_eq!(problem["not_run"], true);
    problem["ticket"].as_str().expect("a ticket").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_runs_once_however_often_and_wherever_it_is_sent() {
    let pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    assert_eq!(pair.begun(), 0);

    let (one, other) = tokio::join!(
        first.send(hold(300, &ticket)),
        second.send(hold(300, &ticket))
    );
    for answer in [one.expect("an answer"), other.expect("an answer")] {
        assert_eq!((answer.status, &answer.body[..]), (200, &b"upstream-0"[..]));
    }
    for caller in [&first, &second] {
        let again = caller.send(hold(300, &ticket)).await.expect("an answer");
        assert_eq!((again.status, &again.body[..]), (200, &b"upstream-0"[..]));
    }
    assert_eq!(pair.begun(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_whose_agent_is_killed_is_unknown_and_runs_no_second_time() {
    let mut pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    let running = hold(60_000, &ticket);
    let run = tokio::spawn(async move { first.send(running).await });
    let upstream = Arc::clone(&pair.upstreams[0]);
    eventually("the command runs", async || upstream.begun() == 1).await;
    pair.agents[0].kill();
    let answer = second.send(hold(60_000, &ticket)).await.expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(problem(&answer)["not_run"], false);
    assert_eq!(pair.begun(), 1);
    run.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_leaves_finishes_its_run_and_hands_its_answer_over() {
    let mut pair = AgentPair::start().await;
    let first = pair.connect(0).await;
    let second = pair.connect(1).await;
    let ticket = fetch_ticket(&first).await;
    let running = hold(1_500, &ticket);
    let run = tokio::spawn(async move { first.send(running).await });
    let upstream = Arc::clone(&pair.upstreams[0]);
    eventually("the command runs", async || upstream.begun() == 1).await;
    pair.agents[0].signal("TERM");
    let answer = run.await.expect("no panic").expect("it is not cut");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"upstream-0"[..]));
    let leaving = &mut pair.agents[0];
    eventually("the agent exits", async || leaving.try_wait().is_some()).await;
    let again = second.send(hold(1_500, &ticket)).await.expect("an answer");
    assert_eq!((again.status, &again.body[..]), (200, &b"upstream-0"[..]));
    assert_eq!(pair.begun(), 1);
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
    assert!(cut.is_err(), "a cut body never looks whole: {cut:?}");

    let malformed = CallRequest::new("GET", "/name").with_header("x-deadline-millis", "soon");
    let answer = caller.send(malformed).await.expect("an answer");
    assert_eq!(answer.status, 400);

    let leaving = pair.connect(0).await;
    let begun = upstream.begun();
    let running = tokio::spawn(async move {
        let request = CallRequest::new("GET", "/hold/60000");
        let answer = tokio::time::timeout(Duration::from_secs(2), leaving.send(request)).await;
        assert!(answer.is_err(), "it runs for longer");
        leaving.close().await;
    });
    eventually("the request runs", async || upstream.begun() == begun + 1).await;
    running.await.expect("no panic");
    eventually("the departure reaches the upstream", async || {
        upstream.dropped() == 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_on_one_connection_fills_both_targets_and_no_fifth_slot() {
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
        assert!(upstream.most() <= 4, "{} at once", upstream.most());
        assert!(upstream.begun() >= 6, "{} of 24", upstream.begun());
    }
    assert_eq!(pair.begun(), 24);
}
