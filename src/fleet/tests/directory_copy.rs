//! A replica that starts asks another one for its directory, over loopback.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use tokio::{net::TcpListener, time::timeout};

use crate::{
    clock::ProcessClock,
    directory::{
        DirectoryPosition, DirectoryUpdate, EvacuationUpdate, TargetAttributes, TargetDirectory,
        TargetRecord, TargetStatus,
    },
    fleet::{
        directory_copy::DirectoryCopy,
        group_view::GroupView,
        watch_frame::{WantedRoutes, WatchReply, read_poll, write_reply},
        watch_server::SharedDirectory,
    },
    listener::ServiceTag,
};

const OWN_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

fn reply(settled: bool, caught_up: bool) -> WatchReply {
    let record = TargetRecord {
        agent: Ipv4Addr::new(10, 0, 1, 1),
        service: ServiceTag::of("tavole"),
        agent_run: 1,
        sequence: 1,
        incarnation: None,
        status: TargetStatus::Serving,
        attributes: TargetAttributes::default(),
    };
    WatchReply {
        routes: None,
        targets: Some(DirectoryUpdate {
            position: DirectoryPosition {
                run: 7,
                revision: 1,
            },
            full: true,
            settled,
            records: vec![record],
            evacuation: EvacuationUpdate::default(),
        }),
        members: Vec::new(),
        leader: None,
        caught_up,
    }
}

/// The first directory may have just started as well, and the second may be cut off.
#[tokio::test]
async fn a_settled_directory_of_a_caught_up_replica_is_copied() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let clock = ProcessClock::new();
    let directory = SharedDirectory::new(TargetDirectory::new(8, clock.now()));
    let group = GroupView::new(vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)]);
    let copy = DirectoryCopy::new(OWN_ADDRESS, port, group, directory.clone(), clock);
    let copying = tokio::spawn(copy.run());
    for (settled, caught_up) in [(false, true), (true, false), (true, true)] {
        let (mut stream, _) = timeout(FRAME_TIMEOUT, listener.accept())
            .await
            .unwrap()
            .unwrap();
        let poll = read_poll(&mut stream, FRAME_TIMEOUT).await.unwrap();
        assert_eq!(poll.routes, WantedRoutes::None);
        assert_eq!(poll.position, DirectoryPosition::default());
        let is_settled = directory.with_directory(|directory| directory.is_settled(clock.now()));
        assert!(!is_settled);
        write_reply(&mut stream, &reply(settled, caught_up), FRAME_TIMEOUT)
            .await
            .unwrap();
    }
    timeout(FRAME_TIMEOUT, copying).await.unwrap().unwrap();
    let now = clock.now();
    directory.with_directory(|directory| {
        let update = directory.changes_since(DirectoryPosition::default(), now);
        assert!(update.settled);
        assert_eq!(update.records.len(), 1);
    });
}
