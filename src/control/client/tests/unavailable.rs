//! Replicas that do not answer, reject the proof or are down.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use tokio::net::TcpListener;

use crate::control::{
    api::{HeartbeatReply, HeartbeatRequest, StatusRequest},
    client::{ControlClient, ControlClientError, ReplicaCallError},
    server::tests::fixture::{TestReplica, announcement, test_secret},
};

/// Returns a listener that accepts connections but never answers.
async fn unresponsive_replica() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    match listener.local_addr().expect("a bound port") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => panic!("expected an IPv4 address"),
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
async fn a_call_fails_over_from_an_unresponsive_replica_and_later_calls_skip_it() {
    let replica = TestReplica::start();
    let (_listener, unresponsive) = unresponsive_replica().await;
    let addresses = vec![unresponsive, replica.address];
    let client = ControlClient::new(addresses, replica.secret.clone());
    let answer = client.heartbeat(&heartbeat()).await;
    assert_eq!(answer, Ok(HeartbeatReply::Unknown));
    // The second call starts at the replica that answered.
    assert_eq!(client.known_leader(), Some(replica.address));
}

#[tokio::test]
async fn no_answer_from_any_replica_leaves_the_outcome_unknown() {
    let (_listener, unresponsive) = unresponsive_replica().await;
    let client = ControlClient::new(vec![unresponsive], test_secret(7));
    let call = client.heartbeat(&heartbeat()).await;
    assert!(matches!(
        call,
        Err(ControlClientError::OutcomeUnknown { .. })
    ));
}

#[tokio::test]
async fn a_closed_port_is_reported_as_unreachable() {
    let (listener, closed) = unresponsive_replica().await;
    drop(listener);
    let client = ControlClient::new(vec![closed], test_secret(7));
    let last = ReplicaCallError::NoConnection;
    assert_eq!(client.status_at(closed).await, Err(last.clone()));
    let call = client.status().await;
    assert!(
        matches!(&call, Err(ControlClientError::Unreachable { last: error, .. }) if *error == last)
    );
}

#[tokio::test]
async fn a_wrong_secret_is_reported_as_a_rejected_proof() {
    let replica = TestReplica::start();
    let client = ControlClient::new(vec![replica.address], test_secret(8));
    let refused = client.status_at(replica.address).await;
    assert_eq!(refused, Err(ReplicaCallError::ProofRefused));
}

#[test]
fn a_status_request_is_an_empty_object() {
    let text = serde_json::to_string(&StatusRequest {}).expect("plain JSON");
    assert_eq!(text, "{}");
}
