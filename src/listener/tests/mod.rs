//! Tests of the listener routes.

mod checking;
mod evacuations;

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use rstest::rstest;

use super::{
    ListenerError, ListenerManifest, ListenerRoute, ListenerStore, ListenerTable, RouteUrgency,
    ServiceShare, ServiceTag, StoredManifest,
};
use crate::clock::{ClockMillis, SpanMillis};

const START: ClockMillis = ClockMillis::new(1_000);
const FLOW_AGE: SpanMillis = SpanMillis::new(60_000);

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn route(port: u16, service: &str) -> ListenerRoute {
    ListenerRoute {
        address: address(port),
        shares: vec![ServiceShare {
            service: ServiceTag::of(service),
            weight: 1,
        }],
        urgency: RouteUrgency::default(),
    }
}

fn manifest(version: u64, routes: Vec<ListenerRoute>) -> ListenerManifest {
    ListenerManifest {
        cold_limits: Vec::new(),
        version,
        routes,
        idle: SpanMillis::new(15_000),
    }
}

fn command(version: u64, content: u8) -> Vec<u8> {
    let stored = StoredManifest {
        manifest: manifest(version, Vec::new()),
        document: vec![content],
    };
    stored.encode().expect("encodable")
}

proptest! {
    /// In whatever order and however often versions are applied, the highest one is
    /// in force, with the content that was applied first.
    #[test]
    fn the_highest_version_wins(versions in proptest::collection::vec(0_u64..9, 1..24)) {
        let store = ListenerStore::new();
        let mut highest: Option<(u64, u8)> = None;
        for (content, version) in (0_u8..).zip(&versions) {
            store.apply(&command(*version, content));
            if highest.is_none_or(|(held, _)| held < *version) {
                highest = Some((*version, content));
            }
            let held = store.current().expect("a manifest");
            prop_assert_eq!(Some((held.manifest.version, held.document[0])), highest);
        }
        let copy = ListenerStore::new();
        copy.restore(&store.snapshot().expect("encodable")).expect("a state");
        prop_assert_eq!(copy.current(), store.current());
    }

    #[test]
    fn an_invalid_command_changes_nothing(bytes: Vec<u8>) {
        let store = ListenerStore::new();
        store.apply(&command(3, 1));
        let before = store.current();
        if postcard::from_bytes::<StoredManifest>(&bytes).is_err() {
            store.apply(&bytes);
            prop_assert_eq!(store.current(), before);
        }
    }
}

/// Guards against a first manifest of version zero that counts as none.
#[test]
fn a_first_manifest_of_version_zero_is_in_force() {
    let mut table = ListenerTable::new(FLOW_AGE);
    assert!(table.may_lack_former_services(START));
    assert!(table.replace(&manifest(0, vec![route(1, "tavole")]), START));
    assert!(table.choose(address(1), 0, START).is_some());
    assert!(!table.replace(&manifest(0, Vec::new()), START));
    assert!(table.choose(address(1), 0, START).is_some());
    assert!(table.replace(&manifest(1, Vec::new()), START));
    assert!(table.has_removed(address(1)));
}

#[test]
fn a_table_ignores_lower_and_equal_versions() {
    let mut table = ListenerTable::new(FLOW_AGE);
    assert!(table.replace(&manifest(5, vec![route(1, "tavole")]), START));
    assert!(!table.replace(&manifest(4, Vec::new()), START));
    assert!(!table.replace(&manifest(5, Vec::new()), START));
    assert_eq!(table.version(), Some(5));
    assert!(table.choose(address(1), 0, START).is_some());
}

#[test]
fn former_services_are_kept_until_their_flows_expire() {
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(1, vec![route(1, "tavole")]), START);
    table.replace(&manifest(2, vec![route(1, "raccolta")]), START);
    let choice = table.choose(address(1), 0, START).expect("a route");
    assert_eq!(choice.new_flow_service, ServiceTag::of("raccolta"));
    assert_eq!(
        choice.owner_services,
        [ServiceTag::of("raccolta"), ServiceTag::of("tavole")]
    );
    let later = START.after(FLOW_AGE);
    let choice = table.choose(address(1), 0, later).expect("a route");
    assert_eq!(choice.owner_services, [ServiceTag::of("raccolta")]);
}

#[test]
fn new_flows_are_split_by_weight() {
    let mut split = route(1, "tavole");
    split.shares[0].weight = 90;
    split.shares.push(ServiceShare {
        service: ServiceTag::of("raccolta"),
        weight: 10,
    });
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(1, vec![split]), START);
    let minor_share = (0..1_000)
        .filter(|flow_hash| {
            let choice = table.choose(address(1), *flow_hash, START);
            choice.is_some_and(|choice| choice.new_flow_service == ServiceTag::of("raccolta"))
        })
        .count();
    assert_eq!(minor_share, 100);
}

#[rstest]
#[case::shared_address(
    vec![route(1, "tavole"), route(1, "raccolta")],
    ListenerError::AddressTaken { route: "r1".to_owned(), address: address(1) }
)]
#[case::no_share(
    vec![ListenerRoute { address: address(1), shares: Vec::new(), urgency: RouteUrgency::default() }],
    ListenerError::NoWeight { route: "r0".to_owned() }
)]
fn an_invalid_manifest_is_rejected(
    #[case] routes: Vec<ListenerRoute>,
    #[case] error: ListenerError,
) {
    let names: Vec<String> = (0..routes.len()).map(|index| format!("r{index}")).collect();
    assert_eq!(manifest(1, routes).check(&names), Err(error));
}
