//! Calls that arrive while the group elects a leader.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use tokio::sync::{mpsc, watch};

use super::ReplicaHandle;
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{
        DiskId, GroupAdmission, MemberId, RecoveredState, ReplicaCore, ReplicaId, ReplicaPeers,
        ReplicaView,
    },
};

/// The pause until the next leader is known.
const ELECTION_MILLIS: SpanMillis = SpanMillis::new(100);
/// The most that a call waits; its caller asks another replica after a second.
const WAIT_LIMIT_MILLIS: SpanMillis = SpanMillis::new(950);

/// Returns the view of a replica that has not heard a leader for `silence`.
fn leaderless_view(silence: SpanMillis) -> ReplicaView {
    let peers = ReplicaPeers {
        own: ReplicaId::new(1),
        others: vec![ReplicaId::new(2), ReplicaId::new(3)],
        admission: GroupAdmission::Listed,
    };
    let recovered = RecoveredState::new(DiskId::new(1));
    let core = ReplicaCore::new(peers, recovered, 1, ClockMillis::ORIGIN);
    core.view(ClockMillis::ORIGIN.after(silence))
}

fn handle_of(view: ReplicaView) -> (ReplicaHandle, watch::Sender<ReplicaView>) {
    let (view_sender, view) = watch::channel(view);
    let (commands, _) = mpsc::channel(1);
    let (_, leader) = watch::channel(None);
    let handle = ReplicaHandle {
        commands,
        view,
        leader,
        call_addresses: Arc::new(BTreeMap::new()),
        ports: None,
    };
    (handle, view_sender)
}

/// Guards against calls that come back to a replica a second later, although a leader is
/// elected within tenths of a second.
#[tokio::test]
async fn a_call_waits_until_the_next_leader_is_known() {
    let (handle, view_sender) = handle_of(leaderless_view(SpanMillis::new(500)));
    let start = Instant::now();
    let elect = async {
        tokio::time::sleep(ELECTION_MILLIS.duration()).await;
        view_sender.send_modify(|view| {
            view.trusted_leader = Some(MemberId {
                replica: ReplicaId::new(2),
                disk: DiskId::new(2),
            });
        });
    };
    tokio::join!(handle.wait_for_leader(), elect);
    assert!(start.elapsed() >= ELECTION_MILLIS.duration());
    assert!(start.elapsed() < WAIT_LIMIT_MILLIS.duration());
}

#[tokio::test]
async fn a_call_is_refused_within_the_second_of_its_caller() {
    let (handle, _view_sender) = handle_of(leaderless_view(SpanMillis::new(500)));
    let start = Instant::now();
    handle.wait_for_leader().await;
    assert!(start.elapsed() < WAIT_LIMIT_MILLIS.duration());
}

/// What can't be served is refused at once: a replica without a majority elects none.
#[tokio::test]
async fn a_call_does_not_wait_where_no_leader_was_heard_for_long() {
    let (handle, _view_sender) = handle_of(leaderless_view(SpanMillis::new(4_000)));
    let start = Instant::now();
    handle.wait_for_leader().await;
    assert!(start.elapsed() < ELECTION_MILLIS.duration());
}
