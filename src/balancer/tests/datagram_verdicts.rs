//! Tests of forwarding decisions for valid, malformed and forged datagrams.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use crate::{
    balancer::{DropCause, ForwardVerdict, decide_datagram},
    clock::SpanMillis,
    key::{FailureDomain, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    manifest::{ServiceLimits, ServiceSpec},
    route::{
        ConnectionRoute, RouteChange, RouteDelta, RouteSnapshot, RouteTable, ServiceRoute,
        TargetPhase, TargetRoute,
    },
    secret::{DeploymentSecret, KeyRing},
};

const OPENING_DATAGRAM_BYTES: usize = 1_200;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, last), 443)
}

fn keys() -> KeyRing {
    KeyRing::new(&DeploymentSecret::random(1)).expect("a valid secret")
}

fn service(number: u8) -> ServiceRoute {
    ServiceRoute {
        number: ServiceNumber::new(u16::from(number)),
        spec: ServiceSpec {
            name: format!("service-{number}"),
            address: address(number),
            limits: ServiceLimits::default(),
            deadline: SpanMillis::new(1_000),
            retry_percent: 10,
            rules: Vec::new(),
        },
    }
}

fn target(service: u8, index: u8) -> TargetRoute {
    let key = SocketAddrV4::new(Ipv4Addr::new(10, 8, service, index), 4_000);
    TargetRoute {
        key: TargetKey::new(key),
        service: ServiceNumber::new(u16::from(service)),
        incarnation: IncarnationId::new(u64::from(index)),
        domain: FailureDomain::new(
            "vestland",
            if index.is_multiple_of(2) {
                "sund"
            } else {
                "fjord-a"
            },
        ),
        peer_address: key,
        weight: 1,
        phase: TargetPhase::Serving,
    }
}

fn table() -> RouteTable {
    let mut table = RouteTable::new();
    let snapshot = RouteSnapshot {
        revision: FeedRevision::new(1),
        services: vec![service(1), service(2), service(3)],
        targets: vec![target(1, 1), target(1, 2), target(2, 1)],
        manifest_version: 1,
    };
    table.apply_snapshot(snapshot).expect("initial snapshot");
    table
}

fn established_packet(route: ConnectionRoute, keys: &KeyRing) -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&route.seal(keys));
    datagram.extend_from_slice(&[7; 30]);
    datagram
}

fn route_of(target: &TargetRoute, nonce: u32) -> ConnectionRoute {
    ConnectionRoute {
        service: target.service,
        target: target.key,
        incarnation_tag: target.incarnation.tag(),
        nonce,
    }
}

/// Returns a first packet with the destination connection ID `id`.
fn first_packet(id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0xc0, 0, 0, 0, 1, u8::try_from(id.len()).expect("short")];
    datagram.extend_from_slice(id);
    datagram.resize(OPENING_DATAGRAM_BYTES, 0);
    datagram
}

#[test]
fn a_connection_keeps_its_target_when_the_route_table_changes() {
    let keys = keys();
    let datagram = established_packet(route_of(&target(1, 1), 9), &keys);
    let expected = ForwardVerdict::Known {
        service: ServiceNumber::new(1),
        target: target(1, 1).key,
    };
    let mut table = table();
    assert_eq!(
        decide_datagram(&table, &keys, address(1), &datagram),
        expected
    );
    let removal_delta = RouteDelta {
        base_revision: FeedRevision::new(1),
        revision: FeedRevision::new(2),
        changes: vec![
            RouteChange::TargetRemoved(target(1, 1).key),
            RouteChange::TargetRemoved(target(1, 2).key),
        ],
        manifest_version: 1,
    };
    table.apply_delta(&removal_delta).expect("the next delta");
    assert_eq!(
        decide_datagram(&table, &keys, address(1), &datagram),
        expected
    );
}

#[test]
fn a_connection_id_of_one_service_is_dropped_at_the_address_of_another() {
    let keys = keys();
    let datagram = established_packet(route_of(&target(1, 1), 9), &keys);
    let verdict = decide_datagram(&table(), &keys, address(2), &datagram);
    assert_eq!(verdict, ForwardVerdict::Drop(DropCause::OtherService));
}

#[test]
fn bad_datagrams_are_dropped_with_their_cause() {
    let (keys, other_keys) = (keys(), keys());
    let table = table();
    let verdict = |service_number, datagram: &[u8]| {
        decide_datagram(&table, &keys, address(service_number), datagram)
    };
    let drop = ForwardVerdict::Drop;
    let forged = established_packet(route_of(&target(1, 1), 9), &other_keys);
    assert_eq!(verdict(1, &forged), drop(DropCause::UnknownConnection));
    assert_eq!(verdict(1, b""), drop(DropCause::NotQuic));
    assert_eq!(verdict(1, b"GET / HTTP"), drop(DropCause::NotQuic));
    assert_eq!(
        verdict(9, &first_packet(b"eightlet")),
        drop(DropCause::UnknownAddress)
    );
    assert_eq!(
        verdict(3, &first_packet(b"eightlet")),
        drop(DropCause::NoTarget)
    );
    let too_short = &first_packet(b"eightlet")[..1_199];
    assert_eq!(verdict(1, too_short), drop(DropCause::NotQuic));
    assert_eq!(
        verdict(1, &first_packet(b"seven__")),
        drop(DropCause::NotQuic)
    );
}

proptest! {
    #[test]
    fn no_datagram_reaches_another_service(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400), service_number in 1u8..=2,
    ) {
        let (keys, table) = (keys(), table());
        match decide_datagram(&table, &keys, address(service_number), &bytes) {
            ForwardVerdict::Known { service, target } => {
                prop_assert_eq!(service, ServiceNumber::new(u16::from(service_number)));
                prop_assert_eq!(target.address().ip().octets()[2], service_number);
            }
            ForwardVerdict::First { service, chain } => {
                prop_assert_eq!(service, ServiceNumber::new(u16::from(service_number)));
                prop_assert!(chain.iter().all(|target| target.address().ip().octets()[2] == service_number));
            }
            ForwardVerdict::Drop(_) => {}
        }
    }

    #[test]
    fn every_balancer_chooses_the_same_candidates(id in prop::collection::vec(any::<u8>(), 8..=20)) {
        let (keys, other_keys) = (keys(), keys());
        let datagram = first_packet(&id);
        let one = decide_datagram(&table(), &keys, address(1), &datagram);
        let other = decide_datagram(&table(), &other_keys, address(1), &datagram);
        prop_assert_eq!(one, other);
    }
}
