//! Requests to each service are answered completely while every datagram takes
//! a random path through the balancers.

mod support;

use cyclamenrouter::caller::CallRequest;
use support::{TestSite, eventually, get, scrape_metrics};

#[tokio::test(flavor = "multi_thread")]
async fn each_service_responds_through_randomly_chosen_balancers() {
    let site = TestSite::new();
    let _control = site.start_control();
    site.apply(site.manifest(1)).await;
    let _balancers = [site.start_balancer(0), site.start_balancer(1)];
    let barge = site.start_upstream(0, "barge").await;
    let logbook = site.start_upstream(1, "logbook").await;
    let _agents = [
        site.start_agent(0, "barge-control", barge.address()),
        site.start_agent(1, "logbook", logbook.address()),
    ];
    let fabrics = [
        site.start_fabric(0, &[0, 1]).await,
        site.start_fabric(1, &[0, 1]).await,
    ];

    let services = [("barge-control", "barge"), ("logbook", "logbook")];
    for (index, (service, upstream)) in (0..).zip(services) {
        let caller = site.connect(index, service).await;
        assert_eq!(get(&caller, "/name").await.body, upstream);
        let upload: Vec<u8> = (0..=250).cycle().take(300_000).collect();
        let request = CallRequest::new("PUT", "/echo").with_body(upload.clone());
        let echo = caller.send(request).await.expect("an answer");
        assert_eq!(echo.status, 200);
        assert_eq!(echo.body, upload);
    }
    assert!(
        fabrics
            .iter()
            .all(|fabric| fabric.forwarded_datagrams() > 100)
    );
    let expected_series = [
        (
            site.balancer_metrics(0),
            "cyclamen_balancer_packets_total{kind=\"known\"}",
        ),
        (
            site.agent_metrics(0),
            "cyclamen_agent_packets_total{kind=\"delivered\"}",
        ),
    ];
    for (address, series) in expected_series {
        eventually("the metrics count the packets", async || {
            let text = scrape_metrics(address).await;
            let line = text.lines().find(|line| line.starts_with(series));
            line.is_some_and(|line| !line.ends_with(" 0"))
        })
        .await;
    }
}
