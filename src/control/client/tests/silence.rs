//! Replicas that say nothing, refuse the proof or are not there.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use tokio::net::TcpListener;

use crate::control::{
    api::{HeartbeatReceipt, HeartbeatRequest, StatusRequest},
    client::{ControlClient, ControlClientError, LinkFault},
    server::tests::fixture::{TestReplica, announcement, test_secret},
};

/// Listens and accepts connections, and never answers.
async fn silent_replica() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    match listener.local_addr().expect("a bound port") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => panic!("an IPv4 address was asked for"),
    }
}

fn heartbeat() -> HeartbeatRequest {
    let request = announcement("barge", 1, 1);
    HeartbeatRequest {
        target: request.target,
        incarnation: request.incarnation,
    }
}

#[tokio::test]
async fn a_silent_replica_is_left_and_not_tried_first_again() {
    let replica = TestReplica::start();
    let (_listener, silent) = silent_replica().await;
    let addresses = vec![silent, replica.address];
    let client = ControlClient::new(addresses, replica.secret.clone());
    let answer = client.heartbeat(&heartbeat()).await;
    assert_eq!(answer, Ok(HeartbeatReceipt::Unknown));
    // The second call starts at the replica that answered.
    assert_eq!(client.known_leader(), Some(replica.address));
}

#[tokio::test]
async fn silence_everywhere_leaves_the_outcome_unknown() {
    let (_listener, silent) = silent_replica().await;
    let client = ControlClient::new(vec![silent], test_secret(7));
    let call = client.heartbeat(&heartbeat()).await;
    assert!(matches!(
        call,
        Err(ControlClientError::OutcomeUnknown { .. })
    ));
}

#[tokio::test]
async fn a_closed_port_means_that_nothing_was_sent() {
    let (listener, closed) = silent_replica().await;
    drop(listener);
    let client = ControlClient::new(vec![closed], test_secret(7));
    let last = LinkFault::NoConnection;
    assert_eq!(client.status_at(closed).await, Err(last.clone()));
    let call = client.status().await;
    assert!(
        matches!(&call, Err(ControlClientError::Unreachable { last: fault, .. }) if *fault == last)
    );
}

#[tokio::test]
async fn another_secret_is_told_apart_from_an_unreachable_replica() {
    let replica = TestReplica::start();
    let client = ControlClient::new(vec![replica.address], test_secret(8));
    let refused = client.status_at(replica.address).await;
    assert_eq!(refused, Err(LinkFault::ProofRefused));
}

#[test]
fn the_argument_of_status_is_an_empty_object() {
    let text = serde_json::to_string(&StatusRequest {}).expect("plain JSON");
    assert_eq!(text, "{}");
}
