//! Calls over loopback, from the client through the server to the state.

use super::fixture::{TestReplica, announcement, manifest};
use crate::control::{
    api::{CallRefusal, HeartbeatReply, HeartbeatRequest, WithdrawRequest},
    client::ControlClientError,
};

#[tokio::test]
async fn a_target_registers_renews_its_lease_and_is_withdrawn() {
    let replica = TestReplica::start();
    let client = replica.client();
    let first = client.apply(&manifest(1, 0, &["barge"])).await;
    assert!(!first.expect("accepted").resent);
    let request = announcement("barge", 1, 11);
    client.announce(&request).await.expect("registered");
    let heartbeat = HeartbeatRequest {
        target: request.target,
        incarnation: request.incarnation,
    };
    let renewed = client.heartbeat(&heartbeat).await.expect("answered");
    assert!(matches!(renewed, HeartbeatReply::Renewed { .. }));
    let withdrawal = WithdrawRequest {
        target: request.target,
        incarnation: request.incarnation,
    };
    client.withdraw(&withdrawal).await.expect("withdrawn");
    let status = client.status().await.expect("answered");
    assert_eq!((status.targets, status.services), (0, 1));
    let late = client.announce(&request).await;
    assert_eq!(
        late,
        Err(ControlClientError::Refused(CallRefusal::StaleIncarnation))
    );
}

#[tokio::test]
async fn a_heartbeat_of_another_run_is_unknown() {
    let replica = TestReplica::start();
    let client = replica.client();
    client
        .apply(&manifest(1, 0, &["barge"]))
        .await
        .expect("accepted");
    let request = announcement("barge", 1, 11);
    client.announce(&request).await.expect("registered");
    let heartbeat = HeartbeatRequest {
        target: request.target,
        incarnation: announcement("barge", 1, 12).incarnation,
    };
    let answer = client.heartbeat(&heartbeat).await;
    assert_eq!(answer, Ok(HeartbeatReply::Unknown));
}

#[tokio::test]
async fn a_version_conflict_reports_the_version_in_force() {
    let replica = TestReplica::start();
    let client = replica.client();
    let winner = client
        .apply(&manifest(2, 0, &["barge"]))
        .await
        .expect("accepted");
    let loser = client.apply(&manifest(2, 0, &["logbook"])).await;
    assert_eq!(
        loser,
        Err(ControlClientError::Refused(CallRefusal::VersionConflict {
            offered: 2,
            replaces: 0,
            in_force: 2,
            digest: Some(winner.digest),
        }))
    );
}

#[tokio::test]
async fn a_dump_lists_services_and_targets() {
    let replica = TestReplica::start();
    let client = replica.client();
    client
        .apply(&manifest(1, 0, &["barge", "logbook"]))
        .await
        .expect("accepted");
    client
        .announce(&announcement("logbook", 3, 1))
        .await
        .expect("registered");
    let dump = client.dump_at(replica.address).await.expect("answered");
    let counts: Vec<usize> = dump
        .services
        .iter()
        .map(|service| service.targets)
        .collect();
    assert_eq!(counts, [0, 1]);
    assert_eq!(dump.targets.len(), 1);
    replica.server.stop().await;
}
