//! Orders about failure domains and cold limits in commands and snapshots, also of
//! builds that do not know them.

use proptest::prelude::*;
use rstest::rstest;
use serde::{Deserialize, Serialize};

use super::{command, manifest, route};
use crate::{
    clock::SpanMillis,
    key::DomainTag,
    listener::{
        ColdLimit, EvacuationOrder, ListenerRoute, ListenerStore, ServiceColdLimit, ServiceTag,
        StoredManifest,
    },
};

/// The manifest as builds before evacuations encode it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OldManifest {
    version: u64,
    routes: Vec<ListenerRoute>,
    idle: SpanMillis,
}

/// The stored manifest as builds before evacuations encode it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OldStored {
    manifest: OldManifest,
    document: Vec<u8>,
}

fn old_stored() -> OldStored {
    OldStored {
        manifest: OldManifest {
            version: 4,
            routes: vec![route(1, "tavole")],
            idle: SpanMillis::new(15_000),
        },
        document: vec![1, 2],
    }
}

fn stored_with_limits() -> StoredManifest {
    let mut manifest = manifest(4, vec![route(1, "tavole")]);
    manifest.cold_limits = vec![ServiceColdLimit {
        service: ServiceTag::of("tavole"),
        limit: ColdLimit { per_second: 12 },
    }];
    StoredManifest {
        manifest,
        document: vec![1, 2],
    }
}

fn evacuate(domain: &str) -> Vec<u8> {
    let order = EvacuationOrder::Evacuate(domain.to_owned());
    order.encode().expect("encodable")
}

fn readmit(domain: &str) -> Vec<u8> {
    let order = EvacuationOrder::Readmit(domain.to_owned());
    order.encode().expect("encodable")
}

fn evacuated(store: &ListenerStore) -> Vec<String> {
    store.evacuations().domains().iter().cloned().collect()
}

/// Operators send an order to another VM when an answer is late, so the same order
/// may be committed several times.
#[test]
fn a_repeated_order_is_acknowledged_and_changes_nothing() {
    let store = ListenerStore::new();
    for _ in 0..3 {
        assert!(store.apply(&evacuate("fjord-a")).is_empty());
        assert_eq!(evacuated(&store), ["fjord-a"]);
        assert_eq!(store.evacuations().revision(), 1);
    }
    for _ in 0..3 {
        assert!(store.apply(&readmit("fjord-a")).is_empty());
        assert!(evacuated(&store).is_empty());
        assert_eq!(store.evacuations().revision(), 2);
    }
}

#[test]
fn a_manifest_changes_no_evacuation_and_an_order_no_manifest() {
    let store = ListenerStore::new();
    store.apply(&command(3, 1));
    let before = store.current();
    store.apply(&evacuate("fjord-a"));
    assert_eq!(store.current(), before);
    store.apply(&command(4, 2));
    assert_eq!(evacuated(&store), ["fjord-a"]);
    let set = store.evacuations();
    assert!(set.contains(DomainTag::of("fjord-a")));
    assert!(!set.contains(DomainTag::of("fjord-b")));
}

proptest! {
    /// After a restart a replica replays the log from its start, or from a snapshot of
    /// any point; both must lead to the state before.
    #[test]
    fn a_replayed_log_leads_to_the_same_state(
        orders in proptest::collection::vec((0_u8..4, any::<bool>()), 0..24),
        cut in 0_usize..24,
    ) {
        let commands: Vec<Vec<u8>> = orders
            .iter()
            .zip(1..)
            .map(|((domain, evacuated), version)| match (domain, evacuated) {
                (0, _) => command(version, 0),
                (domain, true) => evacuate(&domain.to_string()),
                (domain, false) => readmit(&domain.to_string()),
            })
            .collect();
        let store = ListenerStore::new();
        let replayed = ListenerStore::new();
        let restored = ListenerStore::new();
        for (index, command) in commands.iter().enumerate() {
            if index == cut.min(commands.len() - 1) {
                let snapshot = store.snapshot().expect("encodable");
                restored.restore(&snapshot).expect("a state");
            }
            store.apply(command);
            replayed.apply(command);
            if index >= cut.min(commands.len() - 1) {
                restored.apply(command);
            }
        }
        for copy in [replayed, restored] {
            prop_assert_eq!(copy.evacuations(), store.evacuations());
            prop_assert_eq!(copy.current(), store.current());
        }
    }

    /// Damaged orders must change nothing, on all replicas alike.
    #[test]
    fn a_truncated_order_changes_nothing(length in 0_usize..18) {
        let store = ListenerStore::new();
        let order = evacuate("fjord-a");
        prop_assume!(length < order.len());
        store.apply(&order[..length]);
        prop_assert!(evacuated(&store).is_empty());
        prop_assert!(store.current().is_none());
    }
}

/// An old build must log an order as unread, not take it for a manifest.
#[rstest]
#[case(evacuate("fjord-a"))]
#[case(readmit("fjord-a"))]
fn an_old_build_cannot_read_an_order(#[case] order: Vec<u8>) {
    assert!(postcard::from_bytes::<OldStored>(&order).is_err());
}

#[test]
fn an_old_command_is_read_and_a_new_one_has_its_bytes() {
    let old_bytes = postcard::to_stdvec(&old_stored()).expect("encodable");
    let store = ListenerStore::new();
    store.apply(&old_bytes);
    let current = store.current().expect("a manifest");
    assert_eq!(current.manifest.version, 4);
    assert!(current.manifest.cold_limits.is_empty());
    assert_eq!(current.encode().expect("encodable"), old_bytes);
}

#[test]
fn cold_limits_follow_the_bytes_that_an_old_build_reads() {
    let bytes = stored_with_limits().encode().expect("encodable");
    let old: OldStored = postcard::from_bytes(&bytes).expect("an old build reads it");
    assert_eq!(old, old_stored());
    let store = ListenerStore::new();
    store.apply(&bytes);
    assert_eq!(*store.current().expect("a manifest"), stored_with_limits());
    let limit = stored_with_limits()
        .manifest
        .cold_limit(ServiceTag::of("tavole"));
    assert_eq!(limit, Some(ColdLimit { per_second: 12 }));
}

/// Builds that ignore the limits take the routes, so this one must as well.
#[test]
fn damaged_cold_limits_do_not_discard_the_routes() {
    let mut bytes = stored_with_limits().encode().expect("encodable");
    bytes.pop();
    let store = ListenerStore::new();
    store.apply(&bytes);
    let current = store.current().expect("a manifest");
    assert_eq!(current.manifest.version, 4);
    assert!(current.manifest.cold_limits.is_empty());
}

#[rstest]
#[case::manifest(Some(old_stored()))]
#[case::no_manifest(None)]
fn a_snapshot_of_an_old_build_has_no_evacuations(#[case] state: Option<OldStored>) {
    let store = ListenerStore::new();
    store.apply(&evacuate("fjord-a"));
    let snapshot = postcard::to_stdvec(&state).expect("encodable");
    store.restore(&snapshot).expect("a state");
    assert!(evacuated(&store).is_empty());
    let version = store.current().map(|current| current.manifest.version);
    assert_eq!(version, state.map(|state| state.manifest.version));
}

#[rstest]
#[case::manifest(true)]
#[case::no_manifest(false)]
fn an_old_build_reads_the_manifest_of_a_snapshot(#[case] has_manifest: bool) {
    let store = ListenerStore::new();
    if has_manifest {
        store.apply(&stored_with_limits().encode().expect("encodable"));
    }
    store.apply(&evacuate("fjord-b"));
    store.apply(&evacuate("fjord-a"));
    let snapshot = store.snapshot().expect("encodable");
    let old: Option<OldStored> = postcard::from_bytes(&snapshot).expect("an old build reads it");
    assert_eq!(old, has_manifest.then(old_stored));
    let copy = ListenerStore::new();
    copy.restore(&snapshot).expect("a state");
    assert_eq!(evacuated(&copy), ["fjord-a", "fjord-b"]);
    assert_eq!(copy.evacuations().revision(), 2);
    assert_eq!(copy.current(), store.current());
}

#[test]
fn a_damaged_snapshot_changes_nothing() {
    let store = ListenerStore::new();
    store.apply(&evacuate("fjord-a"));
    let mut snapshot = store.snapshot().expect("encodable");
    snapshot.truncate(snapshot.len() - 3);
    store.apply(&evacuate("fjord-b"));
    assert!(store.restore(&snapshot).is_err());
    assert_eq!(evacuated(&store), ["fjord-a", "fjord-b"]);
}

/// The set is bounded: an order beyond the bounds is refused, not acknowledged.
#[test]
fn an_order_beyond_the_bounds_is_refused() {
    let store = ListenerStore::new();
    for domain in 0..256 {
        let outcome = store.apply(&evacuate(&domain.to_string()));
        assert!(!ListenerStore::is_refused_outcome(&outcome));
    }
    let long = "f".repeat(256);
    for domain in ["one-more", &long] {
        let outcome = store.apply(&evacuate(domain));
        assert!(ListenerStore::is_refused_outcome(&outcome));
    }
    // A repeated order of a known domain is acknowledged all the same.
    assert!(store.apply(&evacuate("7")).is_empty());
    assert_eq!(evacuated(&store).len(), 256);
}
