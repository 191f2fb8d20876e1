//! How processes that know no group, or a former one, are told of the current one.

use std::{collections::BTreeSet, net::Ipv4Addr};

use crate::{
    clock::{ClockMillis, SpanMillis},
    fleet::{
        entry_node::{
            MAINTENANCE_INTERVAL_MILLIS, RECALLS_PER_TURN, SEED_NOTICE_MILLIS,
            SEED_NOTICE_MILLIS_PER_TARGET,
        },
        fleet_datagram::FleetDatagram,
        group_view::GroupView,
        known_balancers::KnownBalancers,
    },
};

const START: ClockMillis = ClockMillis::new(100_000);
/// The bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// What control may cost a node, in bytes a second.
const BUDGET_BYTES_PER_SECOND: u64 = 3_000;
/// The largest control group, of all VMs that may be set aside for control.
const MOST_MEMBERS: u8 = 25;

fn vm(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn after(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

/// Guards against a seed that forgot the group and is recalled too late for processes that
/// start beside it.
#[test]
fn a_balancer_that_disconnected_is_recalled_at_once_and_then_every_second() {
    let mut balancers = KnownBalancers::default();
    balancers.note_heard(vm(1), START);
    assert!(balancers.take_recalls(9, after(100)).is_empty());
    balancers.note_disconnected(vm(1));
    assert_eq!(balancers.take_recalls(9, after(200)), [vm(1)]);
    assert!(balancers.take_recalls(9, after(900)).is_empty());
    assert_eq!(balancers.take_recalls(9, after(1_200)), [vm(1)]);
    balancers.note_heard(vm(1), after(1_300));
    assert!(balancers.take_recalls(9, after(2_400)).is_empty());
}

/// Guards against a balancer that lost power, whose connection does not end.
#[test]
fn a_silent_balancer_is_recalled_for_as_long_as_a_region_may_be_cut_off() {
    let mut balancers = KnownBalancers::default();
    balancers.note_heard(vm(1), START);
    assert!(balancers.take_recalls(9, after(2_999)).is_empty());
    assert_eq!(balancers.take_recalls(9, after(3_000)), [vm(1)]);
    let hour = 3_600_000;
    assert_eq!(balancers.take_recalls(9, after(hour)), [vm(1)]);
    assert!(balancers.take_recalls(9, after(2 * hour)).is_empty());
}

/// Guards against balancers that never come back and take the turns of one that does.
#[test]
fn silent_balancers_are_recalled_in_turn() {
    let mut balancers = KnownBalancers::default();
    for number in 1..=200 {
        balancers.note_heard(vm(number), START);
    }
    let mut recalled = BTreeSet::new();
    for turn in 0..67 {
        let now = after(3_000 + turn * 250);
        recalled.extend(balancers.take_recalls(RECALLS_PER_TURN, now));
    }
    assert_eq!(recalled.len(), 200);
}

#[test]
fn balancers_that_ran_before_a_restart_are_recalled_until_they_are_heard() {
    let mut balancers = KnownBalancers::default();
    balancers.expect(&BTreeSet::from([vm(1), vm(2)]), START);
    balancers.note_heard(vm(2), START);
    assert_eq!(balancers.take_recalls(9, START), [vm(1)]);
}

/// Guards against messages of stray senders that fill the memory.
#[test]
fn the_number_of_known_balancers_is_bounded() {
    let mut balancers = KnownBalancers::default();
    for number in 0..20_000_u32 {
        let address = Ipv4Addr::from_bits(0x0a00_0000 + number);
        balancers.note_heard(address, START.after(SpanMillis::new(number.into())));
    }
    let running = balancers.running(after(20_000));
    assert!(running.len() <= 8_192, "{}", running.len());
    assert!(running.contains(&Ipv4Addr::from_bits(0x0a00_0000 + 19_999)));
}

/// Guards against a seed with a former list of members that replaces the current one.
#[test]
fn what_a_process_says_that_is_no_member_only_adds_contacts() {
    let group = GroupView::new(Vec::new());
    // Nobody is known yet, so anybody may tell.
    assert!(group.note_members(&[vm(1), vm(2)], vm(9)));
    assert!(!group.note_members(&[vm(3)], vm(9)));
    assert_eq!(group.members(), [vm(1), vm(2)]);
    assert_eq!(group.contacts(), [vm(1), vm(2), vm(3)]);
    assert!(group.note_members(&[vm(3), vm(4)], vm(3)));
    assert_eq!(group.members(), [vm(3), vm(4)]);
    assert_eq!(group.contacts(), [vm(3), vm(4)]);
}

/// Guards against an odd list that leaves a process without contacts, or with too many.
#[test]
fn addresses_that_no_vm_can_have_are_not_members() {
    let group = GroupView::new(Vec::new());
    let odd = [
        Ipv4Addr::UNSPECIFIED,
        Ipv4Addr::BROADCAST,
        Ipv4Addr::new(239, 0, 0, 1),
    ];
    assert!(!group.note_members(&odd, vm(9)));
    assert!(group.members().is_empty());
    let mut mixed = odd.to_vec();
    mixed.extend([vm(1), vm(1), vm(2)]);
    assert!(group.note_members(&mixed, vm(9)));
    assert_eq!(group.members(), [vm(1), vm(2)]);
    let many: Vec<Ipv4Addr> = (1..=255).map(vm).collect();
    group.note_members(&many, vm(1));
    assert!(group.members().len() <= 32);
}

/// Guards against discovery that costs a node more than control may: a replica that recalls
/// without pause, and a seed that all entry VMs of the largest deployment notify.
#[test]
fn recalls_and_notices_stay_within_the_budget_of_a_node() {
    let members: Vec<Ipv4Addr> = (1..=MOST_MEMBERS).map(vm).collect();
    let sender = Some(vm(1));
    let recall = FleetDatagram::Recall {
        members: members.clone(),
        sender,
    };
    let located = FleetDatagram::Located { members, sender };
    let size =
        |datagram: &FleetDatagram| datagram.encode().expect("it fits").len() as u64 + HEADER_BYTES;
    let turns = 1_000 / MAINTENANCE_INTERVAL_MILLIS.millis();
    let recalls = turns * RECALLS_PER_TURN as u64 * size(&recall);
    let (nodes, targets, seeds) = (11_000, 100_000, 3);
    let pause = SEED_NOTICE_MILLIS.millis() + SEED_NOTICE_MILLIS_PER_TARGET.millis() * targets;
    let notices = nodes * 1_000 * size(&located) / pause / seeds;
    println!("a replica sends {recalls} B/s, a seed receives {notices} B/s");
    assert!(recalls <= BUDGET_BYTES_PER_SECOND);
    assert!(notices <= BUDGET_BYTES_PER_SECOND);
}
