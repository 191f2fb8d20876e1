//! Tests of the datagrams between processes of different builds.

use std::net::Ipv4Addr;

use crate::{
    directory::{TargetAttributes, TargetRecord, TargetStatus},
    fleet::fleet_datagram::FleetDatagram,
    key::DomainTag,
    listener::ServiceTag,
};

fn record() -> TargetRecord {
    TargetRecord {
        agent: Ipv4Addr::new(10, 0, 1, 1),
        service: ServiceTag::of("barge-control"),
        agent_run: 5,
        sequence: 9,
        incarnation: None,
        status: TargetStatus::Serving,
        attributes: TargetAttributes::default(),
    }
}

/// Builds without attributes announce records that end before them, and read records
/// that others announce with them.
#[test]
fn an_announcement_without_attributes_and_one_with_them_are_both_read() {
    let record = TargetRecord {
        attributes: TargetAttributes {
            domain: Some(DomainTag::of("fjord-a")),
            speed: 415,
            failures: 30,
        },
        ..record()
    };
    let bytes = FleetDatagram::Announce(record).encode().expect("encodes");
    assert_eq!(
        FleetDatagram::decode(&bytes),
        Some(FleetDatagram::Announce(record))
    );
    let old: FleetDatagram = postcard::from_bytes(&bytes).expect("an old build reads it");
    let without = TargetRecord {
        attributes: TargetAttributes::default(),
        ..record
    };
    assert_eq!(old, FleetDatagram::Announce(without));
    let old_bytes = postcard::to_stdvec(&old).expect("encodes");
    assert_eq!(FleetDatagram::decode(&old_bytes), Some(old));
}

#[test]
fn a_damaged_tail_of_an_announcement_drops_it() {
    let mut bytes = postcard::to_stdvec(&FleetDatagram::Announce(record())).expect("encodes");
    bytes.push(7);
    assert_eq!(FleetDatagram::decode(&bytes), None);
}

/// Builds that don't name the sender of a list of members send lists that end before it, and
/// read those that others send with it.
#[test]
fn members_without_a_sender_and_with_one_are_both_read() {
    let members = vec![Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2)];
    let sender = Some(Ipv4Addr::new(10, 0, 0, 2));
    let named = FleetDatagram::Located {
        members: members.clone(),
        sender,
    };
    let bytes = named.encode().expect("encodes");
    assert_eq!(FleetDatagram::decode(&bytes), Some(named));
    let old: FleetDatagram = postcard::from_bytes(&bytes).expect("an old build reads it");
    let unnamed = FleetDatagram::Located {
        members,
        sender: None,
    };
    assert_eq!(old, unnamed);
    let old_bytes = postcard::to_stdvec(&old).expect("encodes");
    assert_eq!(FleetDatagram::decode(&old_bytes), Some(unnamed));
}
