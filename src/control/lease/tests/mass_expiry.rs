//! Holding back the expiry of many leases at once.

use rstest::rstest;

use super::renewal::{expired, holder, renew, three_targets};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::lease::{HoldReport, LeaseTable},
    key::ServiceNumber,
};

#[test]
fn targets_that_fall_silent_together_are_held_and_reported() {
    let (mut table, holders) = three_targets();
    // Their last heartbeats are spread over one heartbeat period.
    renew(&mut table, holders[0], 10_000);
    renew(&mut table, holders[1], 11_500);
    renew(&mut table, holders[2], 13_000);
    let decision = table.decide_expiries(ClockMillis::new(25_000));
    assert!(decision.expired.is_empty());
    let report = HoldReport {
        service: ServiceNumber::new(1),
        silent: 3,
        targets: 3,
        hold: SpanMillis::new(60_000),
    };
    assert_eq!(decision.held, [report]);
    for now in [26_500, 28_000, 60_000, 84_999] {
        let decision = table.decide_expiries(ClockMillis::new(now));
        assert!(decision.expired.is_empty() && decision.held.is_empty());
    }
}

#[test]
fn while_all_targets_are_silent_the_hold_is_renewed_and_reported_again() {
    let (mut table, _) = three_targets();
    let mut reports = 0;
    for now in (0..600_000).step_by(250) {
        let decision = table.decide_expiries(ClockMillis::new(now));
        assert!(decision.expired.is_empty());
        reports += decision.held.len();
    }
    assert_eq!(reports, 10);
}

#[test]
fn targets_still_silent_after_the_hold_expire_if_others_send_heartbeats() {
    let (mut table, holders) = three_targets();
    assert!(expired(&mut table, 15_000).is_empty());
    for now in (16_000..75_000).step_by(5_000) {
        renew(&mut table, holders[0], now);
        assert!(expired(&mut table, now).is_empty());
    }
    let mut expired_holders = expired(&mut table, 75_000);
    expired_holders.sort_by_key(|holder| holder.target);
    assert_eq!(expired_holders, holders[1..]);
}

#[test]
fn targets_that_send_heartbeats_again_end_the_hold() {
    let (mut table, holders) = three_targets();
    assert!(expired(&mut table, 15_000).is_empty());
    for now in (20_000..120_000).step_by(5_000) {
        for holder in holders {
            renew(&mut table, holder, now);
        }
        assert!(expired(&mut table, now).is_empty());
    }
    // A single target that falls silent later expires without another hold.
    renew(&mut table, holders[0], 124_000);
    renew(&mut table, holders[1], 124_000);
    assert_eq!(expired(&mut table, 130_000), [holders[2]]);
}

#[rstest]
#[case::less_than_half(7, 3, true)]
#[case::more_than_half(7, 4, false)]
#[case::half(2, 1, true)]
#[case::the_only_one(1, 1, false)]
fn the_share_of_silent_targets_decides(
    #[case] targets: u8,
    #[case] silent: u8,
    #[case] expire: bool,
) {
    let holders: Vec<_> = (1..=targets).map(|host| holder(1, host, 1)).collect();
    let mut table = LeaseTable::with_holders(holders.clone(), ClockMillis::ORIGIN);
    for holder in &holders[usize::from(silent)..] {
        renew(&mut table, *holder, 14_000);
    }
    let expired_count = expired(&mut table, 15_000).len();
    assert_eq!(expired_count, if expire { usize::from(silent) } else { 0 });
}

#[test]
fn a_hold_of_one_service_does_not_affect_another() {
    let mut holders: Vec<_> = (1..=3).map(|host| holder(1, host, 1)).collect();
    holders.extend((4..=6).map(|host| holder(2, host, 1)));
    let mut table = LeaseTable::with_holders(holders.clone(), ClockMillis::ORIGIN);
    renew(&mut table, holders[3], 14_000);
    renew(&mut table, holders[4], 14_000);
    let decision = table.decide_expiries(ClockMillis::new(15_000));
    assert_eq!(decision.held.len(), 1);
    let expired_target = (holders[5].target, holders[5].incarnation);
    assert_eq!(decision.expired, [expired_target]);
    assert_eq!(table.holds(), 1);
}
