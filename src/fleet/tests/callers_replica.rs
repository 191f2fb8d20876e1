//! Where a VM without a replica sends the calls of operators.

use std::net::Ipv4Addr;

use crate::fleet::group_view::GroupView;

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);

fn group() -> GroupView {
    let group = GroupView::new(Vec::new());
    assert_eq!(group.replica_for_callers(), None);
    group.update_members(vec![FIRST, SECOND, THIRD]);
    group
}

#[test]
fn any_member_gets_calls_while_no_replica_has_answered() {
    assert_eq!(group().replica_for_callers(), Some(FIRST));
}

/// After the death of a leader, calls were sent to it for 0.8 s beyond the next election.
#[test]
fn calls_are_not_sent_to_a_leader_that_a_replica_no_longer_trusts() {
    let group = group();
    group.set_leader(Some(FIRST), SECOND);
    assert_eq!(group.replica_for_callers(), Some(FIRST));
    group.set_leader(None, SECOND);
    assert_eq!(group.replica_for_callers(), Some(SECOND));
    group.set_leader(Some(THIRD), SECOND);
    assert_eq!(group.replica_for_callers(), Some(THIRD));
}

/// The watched replica led: its end is known before any other replica tells.
#[test]
fn calls_are_not_sent_to_a_replica_that_no_longer_answers() {
    let group = group();
    group.set_leader(Some(FIRST), FIRST);
    group.forget_replica(FIRST);
    group.update_members(vec![FIRST, SECOND, THIRD]);
    assert_ne!(group.leader(), Some(FIRST));
    group.set_leader(None, THIRD);
    assert_eq!(group.replica_for_callers(), Some(THIRD));
}
