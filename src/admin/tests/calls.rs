//! Authenticated calls are answered by the admin handlers.

use tokio::sync::mpsc;

use super::{ANY_PORT, sample_handlers, sample_secret, start};
use crate::{
    admin::{AdminClient, AdminError, AdminRefusal, AdminServer, DrainCommand, DrainRequest},
    agent::drain::{DrainReport, DrainStage, OpenWork},
    clock::{ClockMillis, SpanMillis},
};

fn sample_report() -> DrainReport {
    DrainReport {
        stage: DrainStage::Leaving {
            since: ClockMillis::new(5),
            cut_at: None,
        },
        announced: true,
        open: OpenWork {
            streams: 2,
            ..OpenWork::default()
        },
    }
}

#[tokio::test]
async fn a_dump_returns_the_state_as_json() {
    let secret = sample_secret();
    let (server, address) = start(&secret, sample_handlers()).await;
    let client = AdminClient::new(address, secret).expect("a client");
    let state = client.dump().await.expect("a dump");
    assert_eq!(state["packets"], 7);
    server.stop().await;
}

#[tokio::test]
async fn drain_calls_reach_the_agent_and_return_its_report() {
    let secret = sample_secret();
    let (commands, mut received) = mpsc::unbounded_channel();
    let handlers = sample_handlers().with_drain(move |command| {
        commands.send(command).expect("the receiver is open");
        async { Some(sample_report()) }
    });
    let (_server, address) = start(&secret, handlers).await;
    let client = AdminClient::new(address, secret).expect("a client");
    let request = DrainRequest {
        deadline: Some(SpanMillis::new(5_000)),
    };
    assert_eq!(
        client.drain(request).await.expect("a report"),
        sample_report()
    );
    client.cancel_drain().await.expect("a report");
    client.drain_status().await.expect("a report");
    assert_eq!(received.recv().await, Some(DrainCommand::Start(request)));
    assert_eq!(received.recv().await, Some(DrainCommand::Cancel));
    assert_eq!(received.recv().await, Some(DrainCommand::Report));
}

#[tokio::test]
async fn a_process_that_is_no_agent_refuses_drain_calls() {
    let secret = sample_secret();
    let (_server, address) = start(&secret, sample_handlers()).await;
    let client = AdminClient::new(address, secret).expect("a client");
    let error = client.drain_status().await.expect_err("not an agent");
    assert!(matches!(
        error,
        AdminError::Refused {
            refusal: AdminRefusal::NothingToDrain,
            ..
        }
    ));
}

#[tokio::test]
async fn the_error_for_an_address_in_use_contains_the_address() {
    let secret = sample_secret();
    let (_server, address) = start(&secret, sample_handlers()).await;
    assert_eq!(address.ip(), ANY_PORT.ip());
    let error = AdminServer::start(address, secret, sample_handlers()).await;
    let error = error.expect_err("the port is taken");
    assert!(error.to_string().contains(&address.to_string()));
}
