//! Orders, policies and watch replies of evacuations.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{
        DirectoryPosition, DirectoryUpdate, TargetAttributes, TargetDirectory, TargetRecord,
        TargetStatus,
    },
    fleet::{
        EntryHandle, EvacuationRefusal,
        agent_policy::AgentPolicy,
        fleet_datagram::FleetDatagram,
        group_view::GroupView,
        watch_frame::{WatchReply, decode_reply, encode_reply},
    },
    key::DomainTag,
    listener::{
        ColdLimit, EvacuationOrder, ListenerManifest, ListenerStore, ServiceColdLimit, ServiceTag,
        StoredManifest,
    },
};

const START: ClockMillis = ClockMillis::new(1_000);
const MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
const OPERATOR_PORT: u16 = 8_166;

fn record() -> TargetRecord {
    TargetRecord {
        agent: Ipv4Addr::new(10, 0, 1, 1),
        service: ServiceTag::of("barge-control"),
        agent_run: 5,
        sequence: 9,
        incarnation: None,
        status: TargetStatus::Serving,
        attributes: TargetAttributes {
            domain: Some(DomainTag::of("fjord-a")),
            ..TargetAttributes::default()
        },
    }
}

fn apply(store: &ListenerStore, order: &EvacuationOrder) {
    store.apply(&order.encode().expect("encodable"));
}

/// Returns a store in which `domain` is evacuated.
fn store_without(domain: &str) -> ListenerStore {
    let store = ListenerStore::new();
    apply(&store, &EvacuationOrder::Evacuate(domain.to_owned()));
    store
}

fn entry(members: Vec<Ipv4Addr>) -> EntryHandle {
    let group = GroupView::new(Vec::new());
    group.update_members(members);
    let domains = vec!["fjord-a".to_owned()];
    EntryHandle::new(
        Arc::default(),
        group,
        OPERATOR_PORT,
        Arc::default(),
        domains,
    )
}

/// A misspelt domain must not count as evacuated.
#[tokio::test]
async fn an_order_about_an_unknown_domain_is_refused_by_any_entry_vm() {
    let entry = entry(vec![MEMBER]);
    for domain in ["fjord-z", "", "FJORD-A"] {
        let refusal = Err(EvacuationRefusal::UnknownDomain);
        assert_eq!(entry.evacuate(domain).await, refusal);
        assert_eq!(entry.readmit(domain).await, refusal);
    }
}

#[tokio::test]
async fn an_entry_vm_without_a_replica_redirects_orders() {
    let member = SocketAddrV4::new(MEMBER, OPERATOR_PORT);
    let redirect = Err(EvacuationRefusal::Redirect(member));
    assert_eq!(entry(vec![MEMBER]).evacuate("fjord-a").await, redirect);
    assert_eq!(entry(vec![MEMBER]).readmit("fjord-a").await, redirect);
    let unavailable = Err(EvacuationRefusal::Unavailable);
    assert_eq!(entry(Vec::new()).evacuate("fjord-a").await, unavailable);
}

#[test]
fn a_policy_tells_an_agent_of_its_own_domain_and_service() {
    let store = store_with_limit(7, 12);
    apply(&store, &EvacuationOrder::Evacuate("fjord-a".to_owned()));
    let policy = AgentPolicy::for_agent(&record(), &store);
    let expected = AgentPolicy {
        agent_run: 5,
        evacuation_revision: 1,
        evacuated: true,
        manifest_version: Some(7),
        cold_limit: Some(ColdLimit { per_second: 12 }),
    };
    assert_eq!(policy, expected);
    let other = TargetRecord {
        service: ServiceTag::of("tavole"),
        attributes: TargetAttributes::default(),
        ..record()
    };
    let policy = AgentPolicy::for_agent(&other, &store);
    assert!(!policy.evacuated);
    assert_eq!(policy.cold_limit, None);
}

/// Datagrams of several replicas arrive in any order and late, and a replica may be
/// behind the others.
#[test]
fn an_agent_keeps_the_policy_of_the_highest_revision() {
    let mut policy = AgentPolicy {
        agent_run: 5,
        ..AgentPolicy::default()
    };
    let store = store_without("fjord-a");
    let evacuated = AgentPolicy::for_agent(&record(), &store);
    apply(&store, &EvacuationOrder::Readmit("fjord-a".to_owned()));
    let readmitted = AgentPolicy::for_agent(&record(), &store);
    assert!(policy.merge(&evacuated));
    assert!(policy.evacuated);
    assert!(!policy.merge(&evacuated));
    assert!(policy.merge(&readmitted));
    assert!(!policy.evacuated);
    assert!(!policy.merge(&evacuated));
    assert!(!policy.evacuated);
}

/// The replica with the newest evacuations may have an older manifest.
#[test]
fn the_cold_limit_has_a_version_of_its_own() {
    let limit = |version, per_second| AgentPolicy {
        manifest_version: Some(version),
        cold_limit: Some(ColdLimit { per_second }),
        ..AgentPolicy::default()
    };
    let mut policy = AgentPolicy::default();
    policy.merge(&limit(4, 12));
    let behind = AgentPolicy {
        evacuation_revision: 3,
        evacuated: true,
        ..limit(2, 30)
    };
    policy.merge(&behind);
    assert!(policy.evacuated);
    assert_eq!(policy.cold_limit, Some(ColdLimit { per_second: 12 }));
    let none = AgentPolicy {
        manifest_version: Some(5),
        ..AgentPolicy::default()
    };
    policy.merge(&none);
    assert_eq!(policy.cold_limit, None);
    assert!(policy.evacuated);
}

/// Returns a store with a manifest that states a cold limit for the agent's service.
fn store_with_limit(version: u64, per_second: u32) -> ListenerStore {
    let store = ListenerStore::new();
    let stored = StoredManifest {
        manifest: ListenerManifest {
            version,
            routes: Vec::new(),
            idle: SpanMillis::new(15_000),
            cold_limits: vec![ServiceColdLimit {
                service: record().service,
                limit: ColdLimit { per_second },
            }],
        },
        document: Vec::new(),
    };
    store.apply(&stored.encode().expect("encodable"));
    store
}

/// Returns the policy of a replica as an agent reads it.
fn received(store: &ListenerStore) -> AgentPolicy {
    let datagram = FleetDatagram::Policy(AgentPolicy::for_agent(&record(), store));
    let bytes = datagram.encode().expect("encodable");
    match FleetDatagram::decode(&bytes) {
        Some(FleetDatagram::Policy(policy)) => policy,
        other => panic!("{other:?} is no policy"),
    }
}

/// Guards against an agent that ignores the cold limit of a first manifest of version zero.
#[test]
fn the_cold_limit_of_version_zero_is_in_force() {
    let mut policy = AgentPolicy {
        agent_run: 5,
        ..AgentPolicy::default()
    };
    assert!(!policy.merge(&received(&ListenerStore::new())));
    assert!(policy.merge(&received(&store_with_limit(0, 12))));
    assert_eq!(policy.cold_limit, Some(ColdLimit { per_second: 12 }));
    // A replica that has no manifest yet, and one with another under the same number.
    assert!(!policy.merge(&received(&ListenerStore::new())));
    assert!(!policy.merge(&received(&store_with_limit(0, 30))));
    assert_eq!(policy.cold_limit, Some(ColdLimit { per_second: 12 }));
    assert!(policy.merge(&received(&store_with_limit(1, 30))));
    assert!(!policy.merge(&received(&store_with_limit(0, 12))));
    assert_eq!(policy.cold_limit, Some(ColdLimit { per_second: 30 }));
}

/// The address of an agent may be used by another one, of another domain.
#[test]
fn a_late_policy_for_another_run_is_ignored() {
    let mut policy = AgentPolicy {
        agent_run: 6,
        ..AgentPolicy::default()
    };
    let late = AgentPolicy::for_agent(&record(), &store_without("fjord-a"));
    assert!(!policy.merge(&late));
    assert!(!policy.evacuated);
}

#[test]
fn a_truncated_policy_is_dropped() {
    let policy = AgentPolicy::for_agent(&record(), &store_without("fjord-a"));
    let datagram = FleetDatagram::Policy(policy);
    let bytes = datagram.encode().expect("encodable");
    assert_eq!(FleetDatagram::decode(&bytes), Some(datagram));
    for length in 0..bytes.len() {
        assert_eq!(FleetDatagram::decode(&bytes[..length]), None);
    }
}

/// A node may spend at most 3 KB a second on control. Five replicas answer two
/// announcements a second, each in a datagram with 28 bytes of headers.
#[test]
fn policies_take_a_small_part_of_the_control_budget() {
    let policy = AgentPolicy {
        agent_run: u64::MAX,
        evacuation_revision: 10_000,
        evacuated: true,
        manifest_version: Some(1_000_000),
        cold_limit: Some(ColdLimit { per_second: 1_000 }),
    };
    let bytes = FleetDatagram::Policy(policy).encode().expect("encodable");
    assert_eq!(bytes.len(), 20);
    assert!(5 * 2 * (bytes.len() + 28) < 500);
}

/// Returns the reply of a replica to a watcher that knows nothing.
fn reply(store: &ListenerStore) -> WatchReply {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(record(), START);
    directory.set_evacuations(&store.evacuations());
    WatchReply {
        routes: None,
        targets: Some(directory.changes_since(DirectoryPosition::default(), START)),
        members: vec![MEMBER],
        leader: Some(MEMBER),
        caught_up: true,
    }
}

fn targets(reply: &WatchReply) -> &DirectoryUpdate {
    reply.targets.as_ref().expect("a directory")
}

#[test]
fn a_watch_reply_carries_evacuations_behind_what_an_old_build_reads() {
    let reply = reply(&store_without("fjord-a"));
    let bytes = encode_reply(&reply).expect("encodable");
    assert_eq!(decode_reply(&bytes).expect("a reply"), reply);
    let old: WatchReply = postcard::from_bytes(&bytes).expect("an old build reads it");
    assert_eq!(targets(&old).records[0].status, TargetStatus::Leaving);
    assert_eq!(targets(&old).records[0].sequence, record().sequence);
}

#[test]
fn a_watch_reply_of_an_old_build_is_read_without_evacuations() {
    let reply = reply(&ListenerStore::new());
    let old_bytes = postcard::to_stdvec(&reply).expect("encodable");
    let read = decode_reply(&old_bytes).expect("a reply");
    assert_eq!(targets(&read).evacuation.evacuated.revision, 0);
    assert_eq!(targets(&read).records.len(), 1);
}
