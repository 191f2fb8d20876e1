//! Which routes a poll asks for, and how replicas and watchers of two builds agree on it.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use rstest::rstest;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, timeout},
};

use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    control::{replica::DiskId, replica_shell::ReplicaStorage},
    directory::{DirectoryPosition, TargetDirectory},
    fleet::{
        FleetPorts, FleetSettings,
        group_view::GroupView,
        local_replica::LocalReplica,
        watch_client::{WatchClient, WatchUpdate},
        watch_frame::{
            WantedRoutes, WatchPoll, WatchReply, read_poll, read_reply, write_poll, write_reply,
        },
        watch_server::{SharedDirectory, WatchServer},
    },
    listener::{ListenerManifest, StoredManifest},
};

const WATCHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// A reply that takes at least this long was held for news: most of the time that replicas
/// hold a poll.
const HELD: Duration = Duration::from_millis(300);
const POSITION: DirectoryPosition = DirectoryPosition {
    run: 7,
    revision: 3,
};

/// A poll as builds without `WantedRoutes` read and send it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OldPoll {
    watcher: Ipv4Addr,
    version: u64,
    place: DirectoryPosition,
}

fn poll(routes: WantedRoutes) -> WatchPoll {
    WatchPoll {
        watcher: WATCHER,
        routes,
        position: POSITION,
    }
}

fn manifest(version: u64) -> ListenerManifest {
    ListenerManifest {
        version,
        routes: Vec::new(),
        idle: SpanMillis::new(15_000),
        cold_limits: Vec::new(),
    }
}

#[rstest]
#[case::no_routes(WantedRoutes::Any, 0)]
#[case::version_zero(WantedRoutes::Above(0), 0)]
#[case::another_version(WantedRoutes::Above(7), 7)]
#[case::highest_version(WantedRoutes::Above(u64::MAX), u64::MAX)]
#[case::only_the_directory(WantedRoutes::None, u64::MAX)]
fn an_old_replica_reads_the_head_of_a_poll(#[case] routes: WantedRoutes, #[case] version: u64) {
    let bytes = poll(routes).encode().expect("encodable");
    assert_eq!(WatchPoll::decode(&bytes), Ok(poll(routes)));
    let old: OldPoll = postcard::from_bytes(&bytes).expect("an old build reads it");
    assert_eq!((old.version, old.place), (version, POSITION));
}

/// Guards against routes of version zero that are sent again and again to an old watcher,
/// which never puts them into force.
#[rstest]
#[case(0, 0, false)]
#[case(0, 1, true)]
#[case(7, 7, false)]
#[case(7, 8, true)]
#[case(u64::MAX, u64::MAX, false)]
fn an_old_watcher_gets_only_higher_versions(
    #[case] known: u64,
    #[case] version: u64,
    #[case] is_sent: bool,
) {
    let old = OldPoll {
        watcher: WATCHER,
        version: known,
        place: POSITION,
    };
    let bytes = postcard::to_stdvec(&old).expect("encodable");
    let read = WatchPoll::decode(&bytes).expect("a poll");
    assert_eq!(read.routes.includes(version), is_sent);
    assert_eq!((read.watcher, read.position), (WATCHER, POSITION));
}

#[test]
fn a_truncated_poll_is_refused() {
    let bytes = poll(WantedRoutes::Above(1 << 20))
        .encode()
        .expect("encodable");
    let head_length = bytes.len() - 4;
    for length in (0..bytes.len()).filter(|length| *length != head_length) {
        assert!(WatchPoll::decode(&bytes[..length]).is_err(), "{length}");
    }
}

/// Starts a replica that serves watchers on loopback, in no group and without a manifest.
async fn started_server() -> (LocalReplica, TcpStream, DirectoryPosition) {
    let own = Ipv4Addr::LOCALHOST;
    let settings = FleetSettings {
        name: "entry".to_owned(),
        address: own,
        domain: "fjord-a".to_owned(),
        domains: vec!["fjord-a".to_owned()],
        ports: FleetPorts {
            datagrams: 0,
            watch: 0,
            links: 0,
            inspections: 0,
        },
        seeds: Vec::new(),
        bootstrap: false,
        data_folder: None,
        tolerated_losses: 0,
        packet_address: SocketAddrV4::new(own, 0),
        link_rate: None,
        grace: SpanMillis::new(1_000),
        max_flow_age: SpanMillis::new(60_000),
    };
    let storage = ReplicaStorage::Memory(DiskId::new(1));
    let replica = LocalReplica::start(&settings, 0, storage).expect("a replica");
    let directory = SharedDirectory::new(TargetDirectory::new(9, ClockMillis::ORIGIN));
    let position = directory.with_directory(|directory| directory.position());
    let server = WatchServer::new(replica.clone(), directory, ProcessClock::new());
    let listener = TcpListener::bind((own, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    server.serve_watchers(listener);
    let stream = TcpStream::connect(address).await.expect("it listens");
    (replica, stream, position)
}

async fn ask(
    stream: &mut TcpStream,
    routes: WantedRoutes,
    position: DirectoryPosition,
) -> (WatchReply, Duration) {
    let start = Instant::now();
    let poll = WatchPoll {
        position,
        ..poll(routes)
    };
    write_poll(stream, &poll, FRAME_TIMEOUT)
        .await
        .expect("sent");
    let reply = read_reply(stream, FRAME_TIMEOUT).await.expect("a reply");
    (reply, start.elapsed())
}

fn apply(replica: &LocalReplica, version: u64) {
    let stored = StoredManifest {
        manifest: manifest(version),
        document: Vec::new(),
    };
    let command = stored.encode().expect("encodable");
    replica.store().apply(&command);
}

/// Guards against routes of version zero that no watcher gets.
#[tokio::test]
async fn a_watcher_without_routes_gets_those_of_version_zero() {
    let (replica, mut stream, position) = started_server().await;
    let (reply, waited) = ask(&mut stream, WantedRoutes::Any, position).await;
    assert_eq!(reply.routes, None);
    assert!(waited >= HELD, "{waited:?}");
    apply(&replica, 0);
    let (reply, _) = ask(&mut stream, WantedRoutes::Any, position).await;
    assert_eq!(reply.routes, Some(manifest(0)));
    let (reply, _) = ask(&mut stream, WantedRoutes::None, position).await;
    assert_eq!(reply.routes, None);
}

/// Guards against a watcher with version zero that gets a reply at once, and so polls in a
/// loop.
#[rstest]
#[case(0)]
#[case(1)]
#[tokio::test]
async fn a_watcher_that_is_up_to_date_waits_for_news(#[case] version: u64) {
    let (replica, mut stream, position) = started_server().await;
    apply(&replica, version);
    let known = WantedRoutes::Above(version);
    let (reply, waited) = ask(&mut stream, known, position).await;
    assert_eq!(reply.routes, None);
    assert!(waited >= HELD, "{waited:?}");
    let (news, ()) = tokio::join!(ask(&mut stream, known, position), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        apply(&replica, version + 1);
    });
    assert_eq!(news.0.routes, Some(manifest(version + 1)));
}

/// Guards against a client that asks for routes of version zero that it has.
#[tokio::test]
async fn a_client_asks_for_higher_versions_than_its_own() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    let group = GroupView::new(vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)]);
    let (updates, mut received) = mpsc::channel(8);
    let client = WatchClient::new(WATCHER, address.port(), group, updates);
    let watching = tokio::spawn(client.run());
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let steps = [
        (WantedRoutes::Any, None),
        (WantedRoutes::Any, Some(0)),
        (WantedRoutes::Above(0), None),
        (WantedRoutes::Above(0), Some(5)),
        (WantedRoutes::Above(5), None),
    ];
    for (wanted, version) in steps {
        let poll = read_poll(&mut stream, FRAME_TIMEOUT).await.expect("a poll");
        assert_eq!(poll.routes, wanted);
        let reply = WatchReply {
            routes: version.map(manifest),
            targets: None,
            members: Vec::new(),
            leader: None,
            caught_up: true,
        };
        write_reply(&mut stream, &reply, FRAME_TIMEOUT)
            .await
            .expect("sent");
        let update = timeout(FRAME_TIMEOUT, received.recv()).await;
        let Ok(Some(WatchUpdate::Reply { reply, .. })) = update else {
            panic!("{update:?} is no reply");
        };
        assert_eq!(reply.routes, version.map(manifest));
    }
    watching.abort();
}
